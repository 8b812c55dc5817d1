"""Writes to connections, and tells how many written bytes still wait."""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.memory_account import ByteBudget

__all__ = ["UnsentBytes", "has_unsent_bytes", "write_with_head"]

# Size up to which a body is copied behind its head, so that both leave in one write.
MAX_JOINED_BYTES = 65_536


def has_unsent_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether written bytes wait for the peer; they are lost at a process exit.

    Parameters
    ----------
    transport : asyncio.Transport | None
        Transport of the connection; None before it is established.
    """
    return transport is not None and transport.get_write_buffer_size() > 0


def write_with_head(transport: asyncio.Transport, head: bytes, body: bytes) -> None:
    """Write a head and a body, without a second copy of a large body.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    head, body : bytes
        What is written.
    """
    if len(body) <= MAX_JOINED_BYTES:
        transport.write(head + body)
        return
    transport.write(head)
    transport.write(body)


class UnsentBytes:
    """Counts what a connection has written and its peer does not read.

    Parameters
    ----------
    budget : ByteBudget
        What waits to be sent on all connections.
    """

    __slots__ = ("_budget", "_counted_bytes", "_is_paused")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._counted_bytes = 0
        self._is_paused = False

    def pause(self, transport: asyncio.Transport | None) -> None:
        """Begin to count: the transport holds more than it usually does."""
        self._is_paused = True
        if transport is not None:
            self._count(transport.get_write_buffer_size())

    def record_write(self, size_bytes: int) -> None:
        """Count bytes that are about to be written to a transport that holds more.

        Those that make it hold more are counted by `pause`.
        """
        if self._is_paused:
            self._count(size_bytes)

    def resume(self) -> None:
        """Stop counting: most bytes were sent, or the connection is closed."""
        self._is_paused = False
        self._budget.release(self._counted_bytes)
        self._counted_bytes = 0

    def _count(self, size_bytes: int) -> None:
        self._budget.hold(size_bytes)
        self._counted_bytes += size_bytes
