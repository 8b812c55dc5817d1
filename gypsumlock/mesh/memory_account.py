"""Limits the memory that responses take while they are received."""

from __future__ import annotations

__all__ = ["MAX_BUFFERED_BYTES", "ReceiveBudget"]

# Size that all response bodies being received from one server may have together.
MAX_BUFFERED_BYTES = 33_554_432


class ReceiveBudget:
    """Bytes of response bodies that the connections to one server hold together.

    Parameters
    ----------
    max_bytes : int
        Most bytes held at a time.
    """

    __slots__ = ("_max_bytes", "_used_bytes")

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve a number of bytes; return False if too few are left."""
        if self._used_bytes + size_bytes > self._max_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return reserved bytes."""
        self._used_bytes -= size_bytes
