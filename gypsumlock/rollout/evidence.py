"""Answers of the upstreams of one service during a roll-out, as their owners report."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from gypsumlock.rollout.messages import RouteCounts, VersionReport

__all__ = ["Evidence", "RouteAnswers", "UpstreamEvidence"]

# Time over which the most recent answers are judged by themselves, in seconds. Answers
# from before a version turned bad would otherwise hide the later ones.
RECENT_S = 3.0


@dataclass(slots=True)
class RouteAnswers:
    """Answers on one route."""

    errors: int = 0
    # Other answers by the bucket of their service time.
    buckets: Counter[int] = field(default_factory=Counter)

    @property
    def count(self) -> int:
        """Number of answers, with the errors."""
        return self.errors + self.buckets.total()

    def add(self, other: RouteAnswers) -> None:
        """Add the answers of another upstream."""
        self.errors += other.errors
        self.buckets.update(other.buckets)

    def slow_count(self, slow_bucket: int) -> int:
        """Return the number of answers from a bucket on."""
        return sum(n for bucket, n in self.buckets.items() if bucket >= slow_bucket)


class UpstreamEvidence:
    """Answers of one upstream by route."""

    __slots__ = ("_increments", "last_seen_s", "retired", "routes", "version")

    def __init__(self, version: str) -> None:
        self.version = version
        self.routes: dict[str, RouteAnswers] = {}
        self.retired = False
        self.last_seen_s = float("-inf")
        # When each recent increment arrived, and its route.
        self._increments: deque[tuple[float, str, RouteAnswers]] = deque()

    def absorb(self, report: VersionReport, now_s: float) -> None:
        """Apply a report, whose counts are totals."""
        self.last_seen_s = now_s
        self.retired = report.retired
        for counts in report.routes:
            known = self.routes.get(counts.route) or RouteAnswers()
            increment = _increment(known, counts)
            if increment.count:
                self._increments.append((now_s, counts.route, increment))
            total = RouteAnswers(counts.errors, Counter(counts.buckets))
            self.routes[counts.route] = total

    def recent(self, now_s: float) -> dict[str, RouteAnswers]:
        """Return the most recent answers by route."""
        while self._increments and self._increments[0][0] < now_s - RECENT_S:
            self._increments.popleft()
        routes: dict[str, RouteAnswers] = {}
        for _, route, increment in self._increments:
            routes.setdefault(route, RouteAnswers()).add(increment)
        return routes


class Evidence:
    """Answers of all upstreams of a service since a roll-out began."""

    __slots__ = ("first_answer_s", "upstreams")

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamEvidence] = {}
        # When the first answer of each version was reported, in monotonic seconds.
        self.first_answer_s: dict[str, float] = {}

    def absorb(self, report: VersionReport, now_s: float) -> None:
        """Apply a report.

        Parameters
        ----------
        report : VersionReport
            The report.
        now_s : float
            Monotonic time.
        """
        upstream = self.upstreams.get(report.instance)
        if upstream is None or upstream.version != report.version:
            upstream = self.upstreams[report.instance] = UpstreamEvidence(
                report.version
            )
        upstream.absorb(report, now_s)
        if upstream.routes:
            self.first_answer_s.setdefault(report.version, now_s)

    def of_version(self, version: str) -> Iterator[tuple[str, UpstreamEvidence]]:
        """Return the upstreams of a version and their instances."""
        return (x for x in self.upstreams.items() if x[1].version == version)


def merge_routes(
    parts: Iterable[dict[str, RouteAnswers]],
) -> dict[str, RouteAnswers]:
    """Return the sums of several upstreams' answers by route."""
    merged: dict[str, RouteAnswers] = {}
    for routes in parts:
        for route, answers in routes.items():
            merged.setdefault(route, RouteAnswers()).add(answers)
    return merged


def _increment(known: RouteAnswers, counts: RouteCounts) -> RouteAnswers:
    """Return what a report adds to the known answers.

    A restarted owner counts from zero again; that adds nothing.
    """
    errors = max(0, counts.errors - known.errors)
    buckets = {
        bucket: count - known.buckets[bucket]
        for bucket, count in counts.buckets.items()
        if count > known.buckets[bucket]
    }
    return RouteAnswers(errors, Counter(buckets))
