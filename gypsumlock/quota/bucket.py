"""Token bucket that also takes back tokens that were granted and not used.

A returned token is entered as if it had never been granted: the bucket remembers its
highest level in each of the last short periods, and accepts no more tokens than it
could have held throughout. So the tokens that are used never exceed what a bucket of
the same rate and capacity would have given out, whatever is returned and when.

The load it is for: thousands of grants per second at one holder, mostly of one token.
"""

from __future__ import annotations

import math

from gypsumlock.quota.parts import PartLimit

__all__ = ["RETURN_WINDOW_S", "TokenBucket"]

# Period for which the highest level is remembered, in seconds, and their number.
PERIOD_S = 0.1
PERIODS = 24
# Tokens granted earlier than this are not taken back, in seconds.
RETURN_WINDOW_S = 2.0
# Allows for rounding, so that a token that has just accrued is whole.
EPSILON = 1e-9


class TokenBucket:
    """Tokens of one part of a quota; it starts empty.

    Parameters
    ----------
    limit : PartLimit
        Rate and capacity.
    now_s : float
        The time.
    """

    __slots__ = ("_at_s", "_level", "_limit", "_peaks", "_period", "_valid_from_s")

    def __init__(self, limit: PartLimit, now_s: float) -> None:
        self._limit = limit
        self._level = 0.0
        self._at_s = now_s
        self._period = int(now_s / PERIOD_S)
        # Highest level in each period, by its number modulo `PERIODS`.
        self._peaks = [0.0] * PERIODS
        # The peaks before this time are not known.
        self._valid_from_s = now_s

    @property
    def limit(self) -> PartLimit:
        """Rate and capacity."""
        return self._limit

    def set_limit(self, limit: PartLimit, now_s: float) -> None:
        """Change rate and capacity from now on."""
        if limit == self._limit:
            return
        self._advance(now_s)
        self._limit = limit
        self._level = min(self._level, limit.capacity)
        self._valid_from_s = now_s
        self._peaks[self._period % PERIODS] = self._level

    def level(self, now_s: float) -> float:
        """Return the number of tokens that can be granted now."""
        self._advance(now_s)
        return self._level

    def take(self, wanted: int, now_s: float) -> int:
        """Grant up to the wanted number of tokens; return how many."""
        self._advance(now_s)
        count = min(wanted, math.floor(self._level + EPSILON))
        self._level = max(0.0, self._level - count)
        return count

    def give_back(self, count: int, granted_at_s: float, now_s: float) -> float:
        """Take back tokens that were not used; return how many were accepted.

        Parameters
        ----------
        count : int
            Number of tokens.
        granted_at_s : float
            When they were granted, or earlier.
        now_s : float
            The time.
        """
        self._advance(now_s)
        oldest_s = max(self._valid_from_s, now_s - RETURN_WINDOW_S)
        if not oldest_s <= granted_at_s <= now_s:
            return 0.0
        periods = range(int(granted_at_s / PERIOD_S), self._period + 1)
        peak = max(self._peaks[period % PERIODS] for period in periods)
        accepted = max(0.0, min(float(count), self._limit.capacity - peak))
        for period in periods:
            self._peaks[period % PERIODS] += accepted
        self._level += accepted
        return accepted

    def time_until_token_s(self, now_s: float) -> float:
        """Return the time until a token can be granted, in seconds."""
        self._advance(now_s)
        return max(0.0, 1.0 - self._level) / self._limit.rate_per_s

    def _advance(self, now_s: float) -> None:
        """Add the tokens that have accrued."""
        if now_s <= self._at_s:
            return
        capacity = self._limit.capacity
        rate = self._limit.rate_per_s
        period = int(now_s / PERIOD_S)
        for passed in range(max(self._period, period - PERIODS), period):
            end_s = PERIOD_S * (passed + 1)
            level = min(capacity, self._level + rate * (end_s - self._at_s))
            if passed == self._period:
                level = max(level, self._peaks[passed % PERIODS])
            self._peaks[passed % PERIODS] = level
        self._level = min(capacity, self._level + rate * (now_s - self._at_s))
        index = period % PERIODS
        if period == self._period:
            self._peaks[index] = max(self._peaks[index], self._level)
        else:
            self._peaks[index] = self._level
        self._period = period
        self._at_s = now_s
