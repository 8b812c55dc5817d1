"""Bounds what is read of a request outside of its body, before a parser holds it.

A parser passes on a header field or a trailer only once it has read all of it, and
nothing of the empty lines before a request. The bytes are therefore counted on the way
into the parser, from the last place at which it made progress: the end of a head, a
part of a body, the size of a chunk, or the end of a request.

A section may exceed its limit by one slice before this is noticed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

__all__ = ["SectionLimit", "split_read"]

# Bytes that are passed to a parser at a time.
SLICE_BYTES: Final = 16_384
# Bytes of a head beside its target and its headers, with empty lines before it.
SECTION_SLACK_BYTES: Final = 1024


def split_read(data: bytes) -> Iterator[bytes | memoryview]:
    """Yield received bytes in slices."""
    if len(data) <= SLICE_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), SLICE_BYTES):
        yield view[start : start + SLICE_BYTES]


class SectionLimit:
    """Counts the bytes of one connection since the last progress of its parser."""

    __slots__ = ("_has_ended", "_section_bytes")

    def __init__(self) -> None:
        self._section_bytes = 0
        # True if the parser made progress in the slice that it is reading.
        self._has_ended = False

    def end_section(self) -> None:
        """Record progress of the parser; called while it reads a slice."""
        self._has_ended = True

    def record_slice(self, size_bytes: int, max_bytes: int) -> bool:
        """Count a slice that was read; return False if the section is too long.

        Parameters
        ----------
        size_bytes : int
            Size of the slice.
        max_bytes : int
            Most bytes that the headers of a request may have.
        """
        if self._has_ended:
            self._has_ended = False
            self._section_bytes = 0
            return True
        self._section_bytes += size_bytes
        return self._section_bytes <= max_bytes + SECTION_SLACK_BYTES
