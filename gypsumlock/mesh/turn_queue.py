"""Order in which the senders of large responses use the machine's network link.

Designed for a link that is full of large responses for seconds. Urgent ranks go first,
and of one rank the response with the earliest latency target. If the responses of a
rank shared the link equally, each new one would delay all others beyond the time for
which they were admitted. The lower ranks together keep a small share of the turns, as
they would get none otherwise while the link stays full.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

__all__ = ["Turn", "TurnQueue"]

# While lower ranks wait, one in this many turns is theirs.
LOWER_RANK_INTERVAL = 8


@dataclass(order=True, slots=True)
class Turn:
    """A sender that waits for its turn; ordered by target and arrival."""

    target_at_s: float
    arrival: int
    granted: asyncio.Future[None] = field(compare=False)


class TurnQueue:
    """Senders that wait, and the choice of the next one."""

    __slots__ = ("_arrivals", "_by_rank", "_turns_of_highest_rank")

    def __init__(self) -> None:
        self._arrivals = itertools.count()
        # A heap for each rank; one that became empty is removed.
        self._by_rank: dict[int, list[Turn]] = {}
        # Since the last turn of a lower rank.
        self._turns_of_highest_rank = 0

    def __bool__(self) -> bool:
        """Return whether anyone waits, or has been cancelled while waiting."""
        return bool(self._by_rank)

    def push(
        self, rank: int, target_at_s: float, granted: asyncio.Future[None]
    ) -> None:
        """Add a sender.

        Parameters
        ----------
        rank : int
            Rank of the route; 0 is the most urgent.
        target_at_s : float
            Monotonic time at which the latency target of the call ends.
        granted : asyncio.Future[None]
            Done once the sender has been cancelled.
        """
        turn = Turn(target_at_s, next(self._arrivals), granted)
        heapq.heappush(self._by_rank.setdefault(rank, []), turn)

    def pop(self) -> Turn | None:
        """Remove and return the next sender, or None if nobody waits."""
        self._drop_cancelled()
        if not self._by_rank:
            return None
        rank = min(self._by_rank)
        lower_ranks = [other for other in self._by_rank if other != rank]
        self._turns_of_highest_rank += 1
        if lower_ranks and self._turns_of_highest_rank >= LOWER_RANK_INTERVAL:
            self._turns_of_highest_rank = 0
            rank = min(lower_ranks, key=lambda other: self._by_rank[other][0])
        turn = heapq.heappop(self._by_rank[rank])
        if not self._by_rank[rank]:
            del self._by_rank[rank]
        return turn

    def _drop_cancelled(self) -> None:
        """Remove senders that were cancelled and would be the next of their rank."""
        for rank, turns in list(self._by_rank.items()):
            while turns and turns[0].granted.done():
                heapq.heappop(turns)
            if not turns:
                del self._by_rank[rank]
