"""Counts the answers of one upstream by route."""

from __future__ import annotations

import math

from gypsumlock.mesh.recent_table import RecentTable
from gypsumlock.rollout.messages import MAX_REPORTED_ROUTES, RouteCounts

__all__ = ["BUCKETS_PER_DOUBLING", "AnswerCounter", "duration_bucket"]

# Resolution of the histograms of service times.
BUCKETS_PER_DOUBLING = 4
MIN_DURATION_S = 1e-4
MAX_BUCKET = 95


def duration_bucket(duration_s: float) -> int:
    """Return the histogram bucket of a service time in seconds."""
    doublings = math.log2(max(duration_s, MIN_DURATION_S) / MIN_DURATION_S)
    return min(MAX_BUCKET, round(BUCKETS_PER_DOUBLING * doublings))


class AnswerCounter:
    """Counts since a roll-out began, and which of them the conductor knows."""

    __slots__ = ("_changed", "_counts", "_sent")

    def __init__(self) -> None:
        self._counts: RecentTable[str, RouteCounts] = RecentTable()
        # Routes whose counts the conductor does not know.
        self._changed: set[str] = set()
        # Routes of each report that was not answered.
        self._sent: dict[int, set[str]] = {}

    def record_error(self, route: str) -> None:
        """Count a server error or a lost answer."""
        self._route_counts(route).errors += 1

    def record_answer(self, route: str, duration_s: float) -> None:
        """Count another answer."""
        buckets = self._route_counts(route).buckets
        bucket = duration_bucket(duration_s)
        buckets[bucket] = buckets.get(bucket, 0) + 1

    def take_changes(self, number: int) -> list[RouteCounts]:
        """Return the counts for the report with a number."""
        for routes in self._sent.values():
            # Not answered in time: perhaps lost.
            self._changed |= routes
        self._sent.clear()
        routes = set(sorted(self._changed)[:MAX_REPORTED_ROUTES])
        self._changed -= routes
        self._sent[number] = routes
        counts = [self._counts.get(route, None) for route in sorted(routes)]
        return [x for x in counts if x is not None]

    def confirm(self, number: int) -> None:
        """Record that the conductor has answered a report."""
        self._sent.pop(number, None)

    def mark_unreported(self) -> None:
        """Report everything again, to another conductor."""
        self._sent.clear()
        self._changed = {x.route for x in self._counts.values()}

    def _route_counts(self, route: str) -> RouteCounts:
        counts = self._counts.get(route, None)
        if counts is None:
            counts = RouteCounts(route, 0, {})
            self._counts[route] = counts
        self._changed.add(route)
        return counts
