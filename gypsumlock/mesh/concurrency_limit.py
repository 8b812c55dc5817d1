"""Limits the concurrent calls of one upstream to what it can take.

Designed for upstreams that reset connections, stop responding on them or reject calls
once they are full, and that are full below their announced slots: health checks and
calls that nobody waits for any more occupy slots too. The owner passes in the time and
what became of each call; nothing here reads a clock.

Phases:
1. The slots alone limit the calls until `MIN_LOSSES` calls were lost at more than one
   call in flight.
2. If too few calls were sent at less concurrency to compare with, the limit is halved,
   and then grows by one for every `MIN_CALLS` answered calls.
3. The upstream is full if losses are clearly more frequent from some concurrency on:
   the limit is one less. It is faulty if they are not: the limit is lifted, and for
   `FAULTY_S` no loss changes it.
4. The limit grows by one after a while in which it was reached. If a call is lost
   then, the larger limit is withdrawn at once, and that while doubles.

Without lost calls the limit is always the number of slots.
"""

from __future__ import annotations

import math

__all__ = ["ConcurrencyLimit"]

# Time constant with which outcomes are forgotten, in seconds.
MEMORY_S = 10.0
# Lost calls without which the limit isn't lowered. A single one may have any cause.
MIN_LOSSES = 2
# Calls that have to be known of a concurrency to compare with it.
MIN_CALLS = 8
# Losses are clearly more frequent if they are so by this factor. The calls that are
# compared with count one lost call in `PRIOR_CALLS` at least.
MIN_LOSS_RATIO = 3.0
PRIOR_CALLS = 100.0
# Time for which an upstream counts as faulty, in seconds.
FAULTY_S = 10.0
# Time without a loss after which the limit grows, at first and at most, in seconds. A
# limit that is too large costs about one lost call in that time.
MIN_GROWTH_INTERVAL_S = 1.0
MAX_GROWTH_INTERVAL_S = 8.0
# Concurrency from which on no further levels are told apart.
MAX_LEVEL = 64


class ConcurrencyLimit:
    """Largest number of concurrent calls that one upstream is sent.

    Parameters
    ----------
    slots : int
        Slots that the upstream announces.
    """

    __slots__ = (
        "_answered",
        "_calls",
        "_changed_at_s",
        "_decayed_at_s",
        "_exploring",
        "_faulty_until_s",
        "_growth_interval_s",
        "_limit",
        "_lost",
        "_losses",
        "_probing",
        "slots",
    )

    def __init__(self, slots: int = 1) -> None:
        self.slots = slots
        # None while the slots alone limit the calls.
        self._limit: int | None = None
        # Recent calls by their concurrency, and the lost ones among them.
        self._calls: dict[int, float] = {}
        self._losses: dict[int, float] = {}
        self._decayed_at_s = 0.0
        # Calls that were sent since the limit changed: answered at the limit, and lost.
        self._answered = 0
        self._lost = 0
        self._changed_at_s = float("-inf")
        self._faulty_until_s = float("-inf")
        self._growth_interval_s = MIN_GROWTH_INTERVAL_S
        # True from an increase until the larger limit has proved itself.
        self._probing = False
        # True while the limit grows with answered calls.
        self._exploring = False

    @property
    def value(self) -> int:
        """The limit; at least 1."""
        return self.slots if self._limit is None else min(self._limit, self.slots)

    def record(
        self, concurrency: int, lost: bool, sent_at_s: float, now_s: float
    ) -> None:
        """Record the outcome of one call.

        Parameters
        ----------
        concurrency : int
            Calls in flight when it was sent, including itself.
        lost : bool
            True if the connection was reset, no response came, or the upstream rejected
            the call as one too many.
        sent_at_s, now_s : float
            Monotonic times of its start and of its end.
        """
        level = min(concurrency, MAX_LEVEL)
        self._decay(now_s)
        self._calls[level] = self._calls.get(level, 0.0) + 1
        if lost:
            self._losses[level] = self._losses.get(level, 0.0) + 1
        if now_s < self._faulty_until_s:
            return
        is_new = sent_at_s >= self._changed_at_s
        # A call beyond a limit that was lowered meanwhile says nothing about that.
        if lost and (is_new or concurrency <= self.value):
            self._lost += 1
            self._review_losses(level, now_s)
        elif not lost and is_new and concurrency >= self.value:
            self._answered += 1
            self._grow(now_s)

    def _review_losses(self, level: int, now_s: float) -> None:
        """Lower or lift the limit after a call was lost at a concurrency."""
        if self._lost < (1 if self._probing else MIN_LOSSES):
            return
        full_at = self._full_at(level)
        if full_at is not None:
            if self._probing:
                self._growth_interval_s = min(
                    MAX_GROWTH_INTERVAL_S, 2 * self._growth_interval_s
                )
            self._set_limit(full_at - 1, now_s)
        elif self._calls_below(self.value // 2 + 1) >= MIN_CALLS:
            self._faulty_until_s = now_s + FAULTY_S
            self._set_limit(None, now_s)
        elif self.value > 1 and not self._exploring and self._is_frequent():
            self._set_limit(max(1, self.value // 2), now_s)
            self._exploring = True

    def _full_at(self, level: int) -> int | None:
        """Return the concurrency from which on losses are clearly more frequent."""
        for at in sorted(self._losses):
            if not 1 < at <= level or self._calls_below(at) < MIN_CALLS:
                continue
            calls = sum(x for other, x in self._calls.items() if other >= at)
            losses = sum(x for other, x in self._losses.items() if other >= at)
            low_losses = sum(x for other, x in self._losses.items() if other < at)
            low_share = low_losses / self._calls_below(at)
            expected = calls * max(low_share, 1 / PRIOR_CALLS)
            if losses >= MIN_LOSS_RATIO * expected:
                return at
        return None

    def _is_frequent(self) -> bool:
        """Return whether losses are more frequent than they may be by chance."""
        calls = sum(self._calls.values())
        return sum(self._losses.values()) >= MIN_LOSS_RATIO * calls / PRIOR_CALLS

    def _calls_below(self, level: int) -> float:
        return sum(calls for at, calls in self._calls.items() if at < level)

    def _grow(self, now_s: float) -> None:
        if self._limit is None:
            return
        if self._exploring:
            if self._answered < MIN_CALLS:
                return
        elif now_s - self._changed_at_s < self._growth_interval_s:
            return
        elif self._probing:
            # The larger limit has lasted for as long as it took to try it.
            self._growth_interval_s = max(
                MIN_GROWTH_INTERVAL_S, self._growth_interval_s / 2
            )
        exploring = self._exploring
        limit = self._limit + 1
        # What was seen above the old limit no longer counts.
        for counts in (self._calls, self._losses):
            for level in [at for at in counts if at >= limit]:
                del counts[level]
        self._set_limit(limit if limit < self.slots else None, now_s)
        self._probing = True
        self._exploring = exploring and self._limit is not None

    def _set_limit(self, limit: int | None, now_s: float) -> None:
        self._limit = limit
        self._changed_at_s = now_s
        self._answered = self._lost = 0
        self._probing = self._exploring = False

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._decayed_at_s - now_s) / MEMORY_S)
        self._decayed_at_s = now_s
        for counts in (self._calls, self._losses):
            for level in counts:
                counts[level] *= factor
