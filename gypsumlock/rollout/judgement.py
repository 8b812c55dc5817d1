"""Judges a version by a sequential test of its answers against the established one's.

Designed for a trial of some 50 to 200 answers within a few seconds, spread over tens
of routes, in which a bad version fails or is slow on one route, or only after a while.

An answer is bad if it is a server error, was lost, or took several times as long as the
median of the established version on the same route. For each route and for all routes
together, for the whole trial and for its last seconds, the likelihood of the bad
answers under any constant rate is weighed against that under the established version's
rate (a mixture sequential probability ratio test). It may be looked at after every
answer: the ratio exceeds x for a good version with a probability of at most 1/x.

A machine can be faulty. An upstream whose answers alone are conspicuous is only
suspect, and the trial goes on with others; the version is bad if a second one agrees.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from gypsumlock.rollout.answer_counts import BUCKETS_PER_DOUBLING
from gypsumlock.rollout.evidence import Evidence, RouteAnswers, merge_routes

__all__ = ["DOUBT", "Judgement", "judge", "log_evidence"]

# Logarithm of the likelihood ratio from which on a version counts as bad: a false alarm
# in a thousand trials for each of the tests.
CONCLUSIVE = 7.0
# The same from which on the other upstreams confirm that it is not one machine.
CORROBORATION = 1.0
# The same from which on a version is in doubt at the end of the trial.
DOUBT = 2.0
# Once all calls go to the new version, only errors count, as its upstreams are cold
# and busier than before; the bound is higher as there are more answers.
CONCLUSIVE_FINISHING = 14.0
# Smallest number of bad answers that says anything.
MIN_BAD = 3
# Smallest rate of bad answers assumed of the established version. A lower one would
# condemn a version for a few failures that any upstream has.
MIN_BASE_RATE = 0.02
# Answers of the established version on a route from which on its own rate and its
# median service time are used.
MIN_ROUTE_ANSWERS = 20
# Answers of an upstream from which on it is compared with the others.
MIN_UPSTREAM_ANSWERS = 30
# Quantile of the rates of the established version's upstreams that a good upstream may
# have: their machines are not equally fast.
UPSTREAM_QUANTILE = 0.8
# An answer is slow from 2.8 times the median on.
SLOW_BUCKETS = round(1.5 * BUCKETS_PER_DOUBLING)

# Name of all routes together.
_ALL_ROUTES = ""
_Counts = dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class Judgement:
    """What the answers say of a version."""

    is_bad: bool = False
    # Upstreams whose answers are conspicuous while those of the others are not.
    suspects: frozenset[str] = frozenset()
    # Answers of the version, without those of suspects, and the most recent of them.
    answers: int = 0
    recent_answers: int = 0
    # Answers of the established version.
    base_answers: int = 0
    # Largest logarithm of a likelihood ratio.
    evidence: float = 0.0
    # Route of that test; empty for all routes.
    route: str = _ALL_ROUTES


def log_evidence(count: int, bad: int, base_rate: float) -> float:
    """Return the logarithm of the likelihood ratio of some answers.

    Parameters
    ----------
    count, bad : int
        Number of answers, and of bad ones.
    base_rate : float
        Rate of bad answers under the null hypothesis.
    """
    if bad < MIN_BAD or bad <= base_rate * count:
        return 0.0
    good = count - bad
    mixture = math.lgamma(bad + 1) + math.lgamma(good + 1) - math.lgamma(count + 2)
    null = bad * math.log(base_rate) + good * math.log1p(-base_rate)
    return max(0.0, mixture - null)


class _Baseline:
    """Rates of bad answers and service times of the established version."""

    __slots__ = ("_rates", "_slow_buckets", "answers")

    def __init__(self, evidence: Evidence, version: str, errors_only: bool) -> None:
        parts = [upstream.routes for _, upstream in evidence.of_version(version)]
        routes = merge_routes(parts)
        self.answers = sum(x.count for x in routes.values())
        self._slow_buckets: dict[str, int] = {}
        if not errors_only:
            self._slow_buckets = {
                route: _median_bucket(answers) + SLOW_BUCKETS
                for route, answers in routes.items()
                if answers.buckets.total() >= MIN_ROUTE_ANSWERS
            }
        rate = self._overall_rate(parts, routes)
        self._rates = {_ALL_ROUTES: rate}
        for route, (count, bad) in self.count(routes).items():
            if count >= MIN_ROUTE_ANSWERS and route != _ALL_ROUTES:
                self._rates[route] = _bounded_rate((bad + 1) / (count + 2))

    def rate(self, route: str) -> float:
        """Return the rate of bad answers that is expected on a route."""
        return self._rates.get(route, self._rates[_ALL_ROUTES])

    def count(self, routes: dict[str, RouteAnswers]) -> _Counts:
        """Return the numbers of answers and of bad ones by route, and of all."""
        counts = {
            route: (answers.count, answers.bad_count(self._slow_buckets.get(route)))
            for route, answers in routes.items()
        }
        counts[_ALL_ROUTES] = (
            sum(count for count, _ in counts.values()),
            sum(bad for _, bad in counts.values()),
        )
        return counts

    def _overall_rate(
        self, parts: Iterable[dict[str, RouteAnswers]], routes: dict[str, RouteAnswers]
    ) -> float:
        count, bad = self.count(routes)[_ALL_ROUTES]
        rate = bad / count if count >= MIN_ROUTE_ANSWERS else 0.0
        upstreams = [self.count(part)[_ALL_ROUTES] for part in parts]
        rates = sorted(b / n for n, b in upstreams if n >= MIN_UPSTREAM_ANSWERS)
        if rates:
            rate = max(rate, rates[int(UPSTREAM_QUANTILE * (len(rates) - 1))])
        return _bounded_rate(rate)


def judge(
    evidence: Evidence,
    candidate: str,
    established: str,
    serving: Collection[str],
    suspects: Collection[str],
    now_s: float,
    errors_only: bool = False,
) -> Judgement:
    """Judge a candidate version.

    Parameters
    ----------
    evidence : Evidence
        Answers of both versions.
    candidate, established : str
        The versions.
    serving : Collection[str]
        Instances of the candidate's serving upstreams.
    suspects : Collection[str]
        Those of them that were found to be suspect before.
    now_s : float
        Monotonic time.
    errors_only : bool
        Whether slow answers don't count.
    """
    base = _Baseline(evidence, established, errors_only)
    conclusive = CONCLUSIVE_FINISHING if errors_only else CONCLUSIVE
    trusted = {
        instance: upstream
        for instance, upstream in evidence.of_version(candidate)
        if instance not in suspects
    }
    whole = {name: base.count(x.routes) for name, x in trusted.items()}
    recent = {name: base.count(x.recent(now_s)) for name, x in trusted.items()}
    found = frozenset(suspects)
    is_bad = False
    largest, largest_route = 0.0, _ALL_ROUTES
    for by_upstream in (whole, recent):
        for route in {route for counts in by_upstream.values() for route in counts}:
            weight, worst, rest = _weigh(by_upstream, route, base.rate(route))
            if weight > largest:
                largest, largest_route = weight, route
            if weight < conclusive:
                continue
            others = set(serving) - found - {worst}
            if rest >= CORROBORATION or found - {worst} or not others:
                is_bad = True
            found |= {worst}
    return Judgement(
        is_bad=is_bad,
        suspects=found,
        answers=_total(whole, found),
        recent_answers=_total(recent, found),
        base_answers=base.answers,
        evidence=largest,
        route=largest_route,
    )


def _weigh(
    by_upstream: dict[str, _Counts], route: str, rate: float
) -> tuple[float, str, float]:
    """Return the evidence of all upstreams, the worst, and the evidence of the rest."""
    counts = {name: x[route] for name, x in by_upstream.items() if route in x}
    count = sum(n for n, _ in counts.values())
    bad = sum(b for _, b in counts.values())
    worst = max(counts, key=lambda name: (log_evidence(*counts[name], rate), name))
    worst_count, worst_bad = counts[worst]
    rest = log_evidence(count - worst_count, bad - worst_bad, rate)
    alone = log_evidence(worst_count, worst_bad, rate)
    return max(alone, log_evidence(count, bad, rate)), worst, rest


def _total(by_upstream: dict[str, _Counts], excluded: Collection[str]) -> int:
    return sum(
        counts[_ALL_ROUTES][0]
        for name, counts in by_upstream.items()
        if name not in excluded
    )


def _bounded_rate(rate: float) -> float:
    return min(0.9, max(MIN_BASE_RATE, rate))


def _median_bucket(answers: RouteAnswers) -> int:
    half = answers.buckets.total() / 2
    seen = 0
    for bucket in sorted(answers.buckets):
        seen += answers.buckets[bucket]
        if seen >= half:
            return bucket
    return 0
