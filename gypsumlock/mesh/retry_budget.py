"""Bounds the repeats that a node sends to a service in a sliding window.

The bound of the fleet is a share of the first sends plus a fixed allowance. Each
node takes the share from its own sends, and an equal part of the allowance, so
that the fleet keeps its bound without talking about it.
"""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget"]

# Part of the fleet's bound that is used. The rest is for repeats that a node
# can't see: calls that a repeated run makes again.
USED_SHARE = 0.7


class RetryBudget:
    """Repeats of one service within one node's part of the fleet's bound.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each first send.
    allowance : float
        Repeats that all nodes together may send besides, in a window.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ("_allowance", "_firsts", "_ratio", "_repeats", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_first_attempt(self, now_s: float) -> None:
        """Count the first send of a call."""
        self._firsts.append(now_s)
        self._expire(now_s)

    def try_spend(self, now_s: float, node_count: int) -> bool:
        """Spend one repeat; return False when the bound is reached.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        node_count : int
            Nodes that share the allowance.
        """
        self._expire(now_s)
        own_allowance = self._allowance / max(1, node_count)
        bound = USED_SHARE * (self._ratio * len(self._firsts) + own_allowance)
        if len(self._repeats) + 1 > bound:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
