"""Queue policies, which choose the waiting call that gets the next free slot.

A policy holds the waiting calls; it does not depend on slots or clocks.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict, deque
from collections.abc import Sequence
from typing import Final

import anyio

from gypsumlock.model import Rank

__all__ = ["FifoPolicy", "QueuePolicy", "RankedPolicy", "StrictPolicy", "Waiter"]

# Maximum credit that a rank can accumulate.
MAX_CREDIT_CALLS: Final = 2.0
# Maximum length of the single queue of the FIFO policy, in calls.
FIFO_QUEUE_LIMIT: Final = 128


class Waiter:
    """A call that waits for a slot."""

    __slots__ = ("admitted", "done", "order", "rank")

    def __init__(self, rank: Rank, order: int) -> None:
        self.rank = rank
        # Index of the rank; 0 is the most urgent.
        self.order = order
        self.admitted = anyio.Event()
        # Whether the call stopped waiting: admitted, timed out or cancelled.
        self.done = False


class QueuePolicy(ABC):
    """Holds the waiting calls and chooses the next one to admit."""

    @abstractmethod
    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False if the queue is full."""

    @abstractmethod
    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""


class FifoPolicy(QueuePolicy):
    """Admits calls in order of arrival, from one bounded queue for all ranks."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[Waiter] = deque()

    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False if the queue is full."""
        _remove_done(self._queue)
        if len(self._queue) >= FIFO_QUEUE_LIMIT:
            return False
        self._queue.append(waiter)
        return True

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        return _pop_waiting(self._queue)


class StrictPolicy(QueuePolicy):
    """Always admits the most urgent rank first; lower ranks may starve."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[int, deque[Waiter]] = defaultdict(deque)

    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False if the queue is full."""
        queue = self._queues[waiter.order]
        _remove_done(queue)
        if len(queue) >= waiter.rank.queue_limit:
            return False
        queue.append(waiter)
        return True

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        for order in self._waiting_rank_orders():
            waiter = self._take_from(order)
            if waiter is not None:
                return waiter
        return None

    def _waiting_rank_orders(self) -> Sequence[int]:
        """Return the indices of the ranks with waiting calls, most urgent first."""
        return sorted(order for order, queue in self._queues.items() if queue)

    def _take_from(self, order: int) -> Waiter | None:
        return _pop_waiting(self._queues[order])


class RankedPolicy(StrictPolicy):
    """Admits the most urgent rank first, but guarantees each rank its floor share.

    With each admission, every rank with waiting calls earns its floor share as
    credit. A rank with credit for a whole call is served first and spends that
    credit, so over time it gets its share of the admissions even while any other
    rank is flooded with calls. All other admissions go to the most urgent rank.
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        super().__init__()
        self._credit: dict[int, float] = defaultdict(float)

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        waiting = self._waiting_rank_orders()
        self._accrue_credit(waiting)
        credited = [order for order in waiting if self._credit[order] >= 1]
        for order in sorted(credited, key=lambda o: -self._credit[o]):
            waiter = self._take_from(order)
            if waiter is not None:
                self._credit[order] -= 1
                return waiter
        return super().take()

    def _accrue_credit(self, waiting: Sequence[int]) -> None:
        for order in waiting:
            share = self._queues[order][0].rank.floor_share
            self._credit[order] = min(MAX_CREDIT_CALLS, self._credit[order] + share)


def _pop_waiting(queue: deque[Waiter]) -> Waiter | None:
    while queue:
        waiter = queue.popleft()
        if not waiter.done:
            return waiter
    return None


def _remove_done(queue: deque[Waiter]) -> None:
    """Remove calls that stopped waiting, so that they take no place in the queue."""
    if any(waiter.done for waiter in queue):
        waiting = [waiter for waiter in queue if not waiter.done]
        queue.clear()
        queue.extend(waiting)
