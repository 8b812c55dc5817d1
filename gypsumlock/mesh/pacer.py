"""Paces large responses in chunks, so that small messages can overtake them.

Designed for large responses on a low-bandwidth link. A message waits behind everything
that was written before it, on any connection. A large response is therefore written
only as fast as the link transmits it, and a short urgent message waits for a few chunks
at most. `TurnQueue` decides which response goes first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.turn_queue import TurnQueue

__all__ = ["CHUNK_BYTES", "Pacer", "split_into_chunks"]

# Maximum size of a chunk. Its transmission at 5 Mbit/s takes 13 ms.
CHUNK_BYTES = 8192
# Maximum backlog of the link at which the next chunk may be written, in seconds.
MAX_BACKLOG_S = 0.02


def split_into_chunks(body: bytes) -> Iterator[bytes]:
    """Yield the chunks of a body; an empty body gives one empty chunk.

    They are cut one at a time, as all of them together would be a second copy.
    """
    if len(body) <= CHUNK_BYTES:
        yield body
        return
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]


class Pacer:
    """Grants turns on the machine's network link for chunks of large responses.

    Parameters
    ----------
    meter : LinkMeter
        Estimates the backlog of the link.
    """

    __slots__ = ("_loop", "_meter", "_pending_bytes", "_timer", "_turns")

    def __init__(self, meter: LinkMeter) -> None:
        self._meter = meter
        self._loop = asyncio.get_running_loop()
        self._turns = TurnQueue()
        # Bytes of responses that will be written to the link.
        self._pending_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def add_pending(self, size_bytes: int) -> None:
        """Add bytes that will be written."""
        self._pending_bytes += size_bytes

    def remove_pending(self, size_bytes: int) -> None:
        """Remove pending bytes that were written, or never will be."""
        self._pending_bytes -= size_bytes

    def egress_delay_s(self, size_bytes: int = 0) -> float:
        """Return the seconds expected until a response of a given size has been sent.

        Parameters
        ----------
        size_bytes : int
            Size of the response, unless it is counted as pending.
        """
        queued_s = self._meter.backlog_s(self._loop.time())
        return queued_s + self._meter.transmission_s(self._pending_bytes + size_bytes)

    async def wait_turn(self, rank: int, target_at_s: float) -> None:
        """Wait until one chunk may be written.

        Parameters
        ----------
        rank : int
            Rank of the route; 0 is the most urgent.
        target_at_s : float
            Monotonic time at which the latency target of the call ends.
        """
        if not self._turns and self._excess_backlog_s() <= 0:
            return
        granted: asyncio.Future[None] = self._loop.create_future()
        self._turns.push(rank, target_at_s, granted)
        self._schedule_turn()
        await granted

    def _excess_backlog_s(self) -> float:
        """Return the time until another chunk may be written, in seconds.

        It is zero or negative if one may be written now.
        """
        return self._meter.backlog_s(self._loop.time()) - MAX_BACKLOG_S

    def _schedule_turn(self) -> None:
        if self._timer is None and self._turns:
            # The chunk of the last granted turn may not have been written yet.
            delay_s = max(
                self._excess_backlog_s(), self._meter.transmission_s(CHUNK_BYTES) / 2
            )
            self._timer = self._loop.call_later(delay_s, self._grant_turn)

    def _grant_turn(self) -> None:
        self._timer = None
        if self._excess_backlog_s() <= 0:
            turn = self._turns.pop()
            if turn is not None:
                turn.granted.set_result(None)
        self._schedule_turn()
