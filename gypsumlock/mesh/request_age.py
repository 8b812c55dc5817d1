"""Estimates how long a client has waited before the attempt at hand.

A client that comes back after a refusal or a failure has a new identifier, but its
deadline has moved closer. The longest deadline of a route, as seen lately, is that
of first attempts; what an attempt lacks of it has passed already. The latency target
counts from the first attempt, so an attempt that can't meet it any more must not
take the place of one that can.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RequestAgeEstimator"]

# Time for which the longest deadline of a route is remembered, in seconds.
MEMORY_S = 20.0
# Part of the longest deadline that may be missing on a first attempt.
TOLERANCE_SHARE = 0.03


@dataclass(slots=True)
class _Longest:
    deadline_s: float
    seen_at_s: float


class RequestAgeEstimator:
    """Longest deadline of each route, as seen lately."""

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest: dict[str, _Longest] = {}

    def age_s(self, route: str, deadline_s: float, now_s: float) -> float:
        """Return the time that a client has waited already, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        deadline_s : float
            Time that the client will still wait, in seconds.
        now_s : float
            Monotonic time.
        """
        longest = self._longest.get(route)
        outdated = longest is not None and now_s - longest.seen_at_s > MEMORY_S
        if longest is None or outdated or deadline_s >= longest.deadline_s:
            self._longest[route] = _Longest(deadline_s, now_s)
            return 0.0
        missing_s = longest.deadline_s - deadline_s
        if missing_s <= TOLERANCE_SHARE * longest.deadline_s:
            longest.seen_at_s = now_s
            return 0.0
        return missing_s
