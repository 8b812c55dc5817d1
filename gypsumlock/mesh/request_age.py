"""Estimates how long a client had waited before the current attempt of a request.

A client that retries after a refusal or a failure sends a new request identifier and
a shorter timeout, as its deadline has moved closer. The longest timeout recently seen
on a route is taken as that of first attempts; the time by which an attempt falls short
of it has already passed. The latency target counts from the first attempt, so an
attempt that can no longer meet it must not take the place of one that can.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RequestAgeEstimator"]

# Time for which the longest timeout of a route is remembered, in seconds.
LONGEST_TIMEOUT_TTL_S = 20.0
# Share of the longest timeout by which a first attempt may fall short of it.
FIRST_ATTEMPT_TOLERANCE = 0.03


@dataclass(slots=True)
class _LongestTimeout:
    timeout_s: float
    seen_at_s: float


class RequestAgeEstimator:
    """Estimates request ages from the longest recent timeout of each route."""

    __slots__ = ("_longest_timeouts",)

    def __init__(self) -> None:
        self._longest_timeouts: dict[str, _LongestTimeout] = {}

    def age_s(self, route: str, timeout_s: float, now_s: float) -> float:
        """Return the time that a client has already waited, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        timeout_s : float
            Time for which the client will still wait, in seconds.
        now_s : float
            Monotonic time.
        """
        longest = self._longest_timeouts.get(route)
        expired = (
            longest is not None and now_s - longest.seen_at_s > LONGEST_TIMEOUT_TTL_S
        )
        if longest is None or expired or timeout_s >= longest.timeout_s:
            self._longest_timeouts[route] = _LongestTimeout(timeout_s, now_s)
            return 0.0
        elapsed_s = longest.timeout_s - timeout_s
        if elapsed_s <= FIRST_ATTEMPT_TOLERANCE * longest.timeout_s:
            longest.seen_at_s = now_s
            return 0.0
        return elapsed_s
