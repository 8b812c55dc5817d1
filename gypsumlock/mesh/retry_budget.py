"""Limits the retries that a node sends to a service within a sliding window.

The limit for all nodes together is a share of the first attempts plus a fixed
allowance. Each node takes the share of its own first attempts and an equal part of
the allowance, so that all nodes together stay within the limit without coordination.
"""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget"]

# Share of the limit that nodes use. The rest is for retries that a node can't see:
# nested calls that an upstream makes once more when the call that it serves is retried.
USED_LIMIT_SHARE = 0.7


class RetryBudget:
    """Retries to one service that one node may send.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    allowance : float
        Further retries that all nodes together may send within a window.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ("_allowance", "_first_attempts", "_ratio", "_retries", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        # Monotonic times, the oldest first.
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a call."""
        self._first_attempts.append(now_s)
        self._expire(now_s)

    def try_spend(self, now_s: float, node_count: int) -> bool:
        """Count one retry; return False if the limit does not allow it.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        node_count : int
            Number of nodes that share the allowance.
        """
        self._expire(now_s)
        own_allowance = self._allowance / max(1, node_count)
        limit = USED_LIMIT_SHARE * (
            self._ratio * len(self._first_attempts) + own_allowance
        )
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        """Remove the attempts that are older than the window."""
        oldest_s = now_s - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
