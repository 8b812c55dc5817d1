"""Limits the retries that a node sends to a service within a sliding window.

The limit for all nodes together is a share of the first attempts plus a fixed
allowance. Each node takes the share of its own first attempts and an equal part of
the allowance, so that all nodes together stay within the limit without coordination.

The nested calls of a retried call count against the limit too, although no node can
tell them from first attempts. Each retry is therefore charged to the other services as
well, whose own retries give way to it. For the same reason each route has a limit of
its own: were all retries of a service spent on the one route whose calls make nested
calls, the service that these go to would get more repeats than its limit allows.
"""

from __future__ import annotations

from collections import deque

from gypsumlock.mesh.recent_table import RecentTable
from gypsumlock.mesh.retry_yield import RetryYield

__all__ = ["RetryBudgets"]

# Share of the limit that nodes use. The rest is a margin for runs that make more nested
# calls than `NESTED_CALLS_PER_RETRY`.
USED_LIMIT_SHARE = 0.7
# Nested calls assumed of a retried call. The upstream makes them a second time, and
# they count as retries of the service that they go to.
NESTED_CALLS_PER_RETRY = 1.0


class _Attempts:
    """Monotonic times of attempts that one node sent, oldest first."""

    __slots__ = ("first_attempts", "retries")

    def __init__(self) -> None:
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self, oldest_s: float) -> None:
        """Remove the attempts made before a time."""
        for times in (self.first_attempts, self.retries):
            while times and times[0] < oldest_s:
                times.popleft()

    def unused_retries(self, ratio: float, own_allowance: float) -> float:
        """Return how many more retries the used share of the limit allows."""
        limit = ratio * len(self.first_attempts) + own_allowance
        return USED_LIMIT_SHARE * limit - len(self.retries)


class RetryBudgets:
    """Retries that one node may send to each service.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ("_by_route", "_by_service", "_window_s", "yields")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._by_service: dict[str, _Attempts] = {}
        self._by_route: RecentTable[str, _Attempts] = RecentTable()
        # How often retries succeed.
        self.yields = RetryYield()

    def record_first_attempt(self, service: str, route: str, now_s: float) -> None:
        """Count the first attempt of a call that was sent to an upstream.

        A call that every owner refused does not run and makes no nested calls. The
        retries that it would allow could exceed the limit of the service that nested
        calls go to.
        """
        for attempts in self._recent_attempts(service, route, now_s):
            attempts.first_attempts.append(now_s)

    def try_spend(
        self, service: str, route: str, now_s: float, ratio: float, own_allowance: float
    ) -> bool:
        """Count one retry; return False if the limit does not allow it.

        Parameters
        ----------
        service : str
            Service that the call would be sent to once more.
        route : str
            Name of the call's route.
        now_s : float
            Monotonic time.
        ratio : float
            Retries allowed for each first attempt.
        own_allowance : float
            This node's part of the further retries that all nodes together may send
            within a window.
        """
        if self.yields.gives_way(service, now_s):
            return False
        by_service, by_route = self._recent_attempts(service, route, now_s)
        nested_retries = NESTED_CALLS_PER_RETRY * self._retries_elsewhere(
            service, now_s
        )
        unused_retries = min(
            by_service.unused_retries(ratio, own_allowance) - nested_retries,
            by_route.unused_retries(ratio, own_allowance),
        )
        if unused_retries < 1:
            self.yields.record_denied(service, now_s)
            return False
        by_service.retries.append(now_s)
        by_route.retries.append(now_s)
        return True

    def _recent_attempts(
        self, service: str, route: str, now_s: float
    ) -> tuple[_Attempts, _Attempts]:
        """Return the attempts in the window, of a service and of a route."""
        by_service = self._by_service.setdefault(service, _Attempts())
        by_route = self._by_route.get(route, None) or _Attempts()
        self._by_route[route] = by_route
        for attempts in (by_service, by_route):
            attempts.expire(now_s - self._window_s)
        return by_service, by_route

    def _retries_elsewhere(self, service: str, now_s: float) -> int:
        """Return the number of retries in the window that went to other services."""
        count = 0
        for other, attempts in self._by_service.items():
            if other != service:
                attempts.expire(now_s - self._window_s)
                count += len(attempts.retries)
        return count
