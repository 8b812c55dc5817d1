"""Lets large answers out piece by piece, so that small messages overtake them.

Load that this answers: large answers on a narrow link. A message waits behind all
that was written before it, on whatever connection; so a large answer is written only
as fast as the link takes it, and what is short and urgent waits for a few pieces at
most. Large answers take turns, those of urgent routes first.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

from gypsumlock.mesh.link_meter import LinkMeter

__all__ = ["CHUNK_BYTES", "Pacer", "split_into_chunks"]

# Largest piece. At 5 Mbit/s one takes 12 ms.
CHUNK_BYTES = 8192
# Time for which the link may be taken by what was written already, in seconds.
AHEAD_S = 0.02


def split_into_chunks(body: bytes) -> list[bytes]:
    """Cut a body into pieces; an empty one gives one empty piece."""
    if len(body) <= CHUNK_BYTES:
        return [body]
    return [
        body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)
    ]


@dataclass(order=True, slots=True)
class _Turn:
    """A sender that waits for its turn; smaller ones go first."""

    rank: int
    number: int
    given: asyncio.Future[None] = field(compare=False)


class Pacer:
    """Turns on the machine's link, for pieces of large answers.

    Parameters
    ----------
    meter : LinkMeter
        Counts what is written to the link.
    """

    __slots__ = ("_loop", "_meter", "_order", "_promised_bytes", "_timer", "_turns")

    def __init__(self, meter: LinkMeter) -> None:
        self._meter = meter
        self._loop = asyncio.get_running_loop()
        self._turns: list[_Turn] = []
        self._order = itertools.count()
        # Bytes of answers that are on their way to the link.
        self._promised_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def add_pending(self, size_bytes: int) -> None:
        """Count bytes that will be written."""
        self._promised_bytes += size_bytes

    def remove_pending(self, size_bytes: int) -> None:
        """Count promised bytes that were written, or never will be."""
        self._promised_bytes -= size_bytes

    def egress_delay_s(self, size_bytes: int = 0) -> float:
        """Return the expected time until an answer of some size is out, in seconds."""
        ahead_s = self._meter.backlog_s(self._loop.time())
        return ahead_s + self._meter.time_of_s(self._promised_bytes + size_bytes)

    async def wait_turn(self, rank: int) -> None:
        """Wait until one piece may be written.

        Parameters
        ----------
        rank : int
            Rank of the route; 0 is the most urgent.
        """
        if not self._turns and self._excess_s() <= 0:
            return
        turn = _Turn(rank, next(self._order), self._loop.create_future())
        heapq.heappush(self._turns, turn)
        self._arm()
        await turn.given

    def _excess_s(self) -> float:
        """Return the time until the link can take another piece, in seconds."""
        return self._meter.backlog_s(self._loop.time()) - AHEAD_S

    def _arm(self) -> None:
        if self._timer is None and self._turns:
            # The piece of the last turn may not have been written yet.
            delay_s = max(self._excess_s(), self._meter.time_of_s(CHUNK_BYTES) / 2)
            self._timer = self._loop.call_later(delay_s, self._give_turn)

    def _give_turn(self) -> None:
        self._timer = None
        while self._turns and self._excess_s() <= 0:
            turn = heapq.heappop(self._turns)
            # Whoever gave up in the meantime has no turn.
            if not turn.given.done():
                turn.given.set_result(None)
                break
        self._arm()
