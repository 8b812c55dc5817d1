"""Policies that choose which waiting call gets the next free slot.

A policy holds the waiting calls and knows nothing of slots or time.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict, deque
from collections.abc import Sequence
from typing import Final

import anyio

from gypsumlock.model import Rank

__all__ = ["FifoPolicy", "QueuePolicy", "RankedPolicy", "StrictPolicy", "Waiter"]

# Credit that a rank may save up, in calls.
MAX_CREDIT: Final = 2.0
# Places of the single queue of the FIFO policy.
FIFO_LIMIT: Final = 128


class Waiter:
    """One call that waits for a slot."""

    __slots__ = ("admitted", "gone", "order", "rank")

    def __init__(self, rank: Rank, order: int) -> None:
        self.rank = rank
        # Position of the rank; 0 is the most urgent.
        self.order = order
        self.admitted = anyio.Event()
        # True once the call no longer waits for a slot.
        self.gone = False


class QueuePolicy(ABC):
    """Keeps waiting calls and picks the next one."""

    @abstractmethod
    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False when there is no place for it."""

    @abstractmethod
    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""


class FifoPolicy(QueuePolicy):
    """One queue with a cap, whatever the rank."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[Waiter] = deque()

    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False when there is no place for it."""
        _drop_gone(self._queue)
        if len(self._queue) >= FIFO_LIMIT:
            return False
        self._queue.append(waiter)
        return True

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        return _pop_waiting(self._queue)


class StrictPolicy(QueuePolicy):
    """The most urgent rank first, always; lower ranks may starve."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[int, deque[Waiter]] = defaultdict(deque)

    def offer(self, waiter: Waiter) -> bool:
        """Queue a call; return False when there is no place for it."""
        queue = self._queues[waiter.order]
        _drop_gone(queue)
        if len(queue) >= waiter.rank.queue_limit:
            return False
        queue.append(waiter)
        return True

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        for order in self._waiting_orders():
            waiter = self._take_from(order)
            if waiter is not None:
                return waiter
        return None

    def _waiting_orders(self) -> Sequence[int]:
        """Return the ranks with waiting calls, the most urgent first."""
        return sorted(order for order, queue in self._queues.items() if queue)

    def _take_from(self, order: int) -> Waiter | None:
        return _pop_waiting(self._queues[order])


class RankedPolicy(StrictPolicy):
    """The most urgent rank first, but every rank keeps its floor.

    With each call that is admitted, each rank with waiting calls earns its
    floor share as credit. A rank with a whole call of credit goes first and
    pays with it, so over time it gets its share of the admissions during a
    flood of any other rank; whatever is left goes to the most urgent.
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        super().__init__()
        self._credit: dict[int, float] = defaultdict(float)

    def take(self) -> Waiter | None:
        """Remove and return the call that gets the next slot."""
        waiting = self._waiting_orders()
        self._earn(waiting)
        indebted = [order for order in waiting if self._credit[order] >= 1]
        for order in sorted(indebted, key=lambda o: -self._credit[o]):
            waiter = self._take_from(order)
            if waiter is not None:
                self._credit[order] -= 1
                return waiter
        return super().take()

    def _earn(self, waiting: Sequence[int]) -> None:
        for order in waiting:
            floor = self._queues[order][0].rank.floor_share
            self._credit[order] = min(MAX_CREDIT, self._credit[order] + floor)


def _pop_waiting(queue: deque[Waiter]) -> Waiter | None:
    while queue:
        waiter = queue.popleft()
        if not waiter.gone:
            return waiter
    return None


def _drop_gone(queue: deque[Waiter]) -> None:
    """Remove calls that gave up, so that they take no place in the queue."""
    if any(waiter.gone for waiter in queue):
        waiting = [waiter for waiter in queue if not waiter.gone]
        queue.clear()
        queue.extend(waiting)
