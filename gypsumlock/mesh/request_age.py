"""Estimates how long a client had waited before the current attempt of a request.

A client that retries after a refusal or a failure sends a new request identifier and
a shorter timeout, as its deadline has moved closer. The latency target counts from the
first attempt, so an attempt that can no longer meet it must not take the place of one
that can.

The timeouts of first attempts differ from client to client. They are taken to lie in a
band below the longest timeout recently seen on the route. The width of the band follows
from the timeouts themselves, most of which belong to first attempts. An attempt below
the band is a retry; the time by which it falls short of the band's middle has passed.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.mesh.recent_table import RecentTable

__all__ = ["RequestAgeEstimator"]

# Time for which the longest timeout of a route is remembered, in seconds.
LONGEST_TIMEOUT_TTL_S = 20.0
# A timeout that exceeds the longest one by this factor is an exception among the
# route's clients, and says nothing about the others.
OUTLIER_FACTOR = 2.0
# Largest and smallest width of the band, as shares of the longest timeout.
MAX_BAND_SHARE = 0.25
MIN_BAND_SHARE = 0.03
# Share of the first attempts whose timeouts lie in the upper part of the band. The
# boundary of that part is estimated, as retries have shorter timeouts and hardly move
# it.
UPPER_PART_SHARE = 0.3
# Step by which one attempt moves that boundary, as a share of the longest timeout.
BOUNDARY_STEP_SHARE = 0.01


@dataclass(slots=True)
class _RouteTimeouts:
    """Timeouts recently seen on one route."""

    longest_s: float
    longest_seen_at_s: float
    # Lower boundary of the upper part of the band.
    boundary_s: float

    def band_s(self) -> float:
        """Return the width of the band that holds the timeouts of first attempts."""
        width_s = (self.longest_s - self.boundary_s) / UPPER_PART_SHARE
        return max(width_s, MIN_BAND_SHARE * self.longest_s)

    def move_boundary(self, timeout_s: float) -> None:
        """Adjust the boundary to the timeout of one more attempt."""
        is_above = timeout_s > self.boundary_s
        share = 1 - UPPER_PART_SHARE if is_above else -UPPER_PART_SHARE
        self.boundary_s += share * BOUNDARY_STEP_SHARE * self.longest_s
        lowest_s = _lowest_boundary_s(self.longest_s)
        self.boundary_s = max(lowest_s, min(self.longest_s, self.boundary_s))


class RequestAgeEstimator:
    """Estimates request ages from the timeouts recently seen on each route."""

    __slots__ = ("_timeouts",)

    def __init__(self) -> None:
        self._timeouts: RecentTable[str, _RouteTimeouts] = RecentTable()

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
        seen = self._timeouts.get(route, None)
        if seen is None or now_s - seen.longest_seen_at_s > LONGEST_TIMEOUT_TTL_S:
            # Until more is known, as many attempts as possible count as first ones.
            self._timeouts[route] = _RouteTimeouts(
                timeout_s, now_s, _lowest_boundary_s(timeout_s)
            )
            return 0.0
        self._timeouts[route] = seen
        if timeout_s > OUTLIER_FACTOR * seen.longest_s:
            return 0.0
        if timeout_s >= seen.longest_s:
            seen.longest_s = timeout_s
        seen.move_boundary(timeout_s)
        missing_s = seen.longest_s - timeout_s
        band_s = seen.band_s()
        if missing_s > band_s:
            return missing_s - band_s / 2
        seen.longest_seen_at_s = now_s
        return 0.0


def _lowest_boundary_s(longest_s: float) -> float:
    """Return the boundary of the upper part of the widest band."""
    return longest_s * (1 - UPPER_PART_SHARE * MAX_BAND_SHARE)
