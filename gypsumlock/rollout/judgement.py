"""Judges a version by a sequential test of its answers against the established one's.

Designed for a trial of some 50 to 200 answers within a few seconds, spread over tens
of routes, in which a bad version fails or is slow on one route, or only after a while.

Errors (server errors and lost answers) and slow answers are tested apart: machines
differ in speed, but not in errors. An answer is slow if it took several times the
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
from collections.abc import Collection
from dataclasses import dataclass

from gypsumlock.rollout.answer_counts import BUCKETS_PER_DOUBLING
from gypsumlock.rollout.evidence import Evidence, RouteAnswers, merge_routes

__all__ = ["Baseline", "Judgement", "judge", "log_evidence"]

# Logarithm of the likelihood ratio from which on a version counts as bad: a false alarm
# in a thousand trials for each of the tests.
CONCLUSIVE = 7.0
# The same from which on the other upstreams confirm that it is not one machine.
CORROBORATION = 1.0
# The same once all calls go to the new version: there are many more answers, and its
# upstreams are busier than before.
CONCLUSIVE_FINISHING = {"error": 14.0, "slow": 25.0}
# Smallest number of bad answers that says anything.
MIN_BAD = 2
# Smallest rate of bad answers assumed of the established version. A lower one would
# condemn a version for a few failures that any upstream has.
MIN_BASE_RATES = {"error": 0.012, "slow": 0.03}
MAX_BASE_RATE = 0.9
# Answers of the established version on a route from which on its median is used.
MIN_ROUTE_ANSWERS = 20
# Answers by which the rate of a route or an upstream is drawn towards that of all.
PRIOR_ANSWERS = 25
# An answer is slow from 2.8 times the median on.
SLOW_BUCKETS = round(1.5 * BUCKETS_PER_DOUBLING)

# Name of all routes together.
_ALL_ROUTES = ""
_ERROR, _SLOW = "error", "slow"
# Kind of bad answers, and route.
_Test = tuple[str, str]
# Number of answers, and of bad ones.
_Counts = dict[_Test, tuple[int, int]]


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
    # Kind of bad answers in that test, and its route; empty for all routes.
    kind: str = ""
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


class Baseline:
    """Rates of bad answers and service times of the established version.

    Parameters
    ----------
    evidence : Evidence
        Answers of all versions.
    version : str
        The established version.
    """

    __slots__ = ("_rates", "_slow_buckets", "answers")

    def __init__(self, evidence: Evidence, version: str) -> None:
        parts = [upstream.routes for _, upstream in evidence.of_version(version)]
        routes = merge_routes(parts)
        self.answers = sum(x.count for x in routes.values())
        self._slow_buckets = {
            route: _median_bucket(answers) + SLOW_BUCKETS
            for route, answers in routes.items()
            if answers.buckets.total() >= MIN_ROUTE_ANSWERS
        }
        totals = self.count(routes)
        upstreams = [self.count(part) for part in parts]
        self._rates: dict[_Test, float] = {}
        for kind in (_ERROR, _SLOW):
            count, bad = totals[kind, _ALL_ROUTES]
            rate = bad / max(count, MIN_ROUTE_ANSWERS)
            rates = [
                (x[kind, _ALL_ROUTES][1] + PRIOR_ANSWERS * rate)
                / (x[kind, _ALL_ROUTES][0] + PRIOR_ANSWERS)
                for x in upstreams
            ]
            if kind == _SLOW and len(rates) > 1:
                # As slow as the second slowest machine is not conspicuous.
                rate = max(rate, sorted(rates)[-2])
            self._rates[kind, _ALL_ROUTES] = rate
            for test, (route_count, route_bad) in totals.items():
                if test[0] == kind and test[1] != _ALL_ROUTES:
                    self._rates[test] = (route_bad + PRIOR_ANSWERS * rate) / (
                        route_count + PRIOR_ANSWERS
                    )
                    if kind == _SLOW:
                        self._rates[test] = max(rate, self._rates[test])

    def rate(self, test: _Test) -> float:
        """Return the rate of bad answers that is expected in a test."""
        rate = self._rates.get(test, self._rates[test[0], _ALL_ROUTES])
        return min(MAX_BASE_RATE, max(MIN_BASE_RATES[test[0]], rate))

    def count(self, routes: dict[str, RouteAnswers]) -> _Counts:
        """Return the numbers of answers and of bad ones for each test."""
        counts: _Counts = {(_ERROR, _ALL_ROUTES): (0, 0), (_SLOW, _ALL_ROUTES): (0, 0)}
        for route, answers in routes.items():
            counts[_ERROR, route] = (answers.count, answers.errors)
            slow_bucket = self._slow_buckets.get(route)
            if slow_bucket is not None:
                counts[_SLOW, route] = (
                    answers.buckets.total(),
                    answers.slow_count(slow_bucket),
                )
        for kind in (_ERROR, _SLOW):
            by_route = [x for test, x in counts.items() if test[0] == kind]
            counts[kind, _ALL_ROUTES] = (
                sum(count for count, _ in by_route),
                sum(bad for _, bad in by_route),
            )
        return counts


def judge(
    evidence: Evidence,
    candidate: str,
    base: Baseline,
    serving: Collection[str],
    suspects: Collection[str],
    now_s: float,
    finishing: bool = False,
) -> Judgement:
    """Judge a candidate version.

    Parameters
    ----------
    evidence : Evidence
        Answers of both versions.
    candidate : str
        The version.
    base : Baseline
        Rates of the established version.
    serving : Collection[str]
        Instances of the candidate's serving upstreams.
    suspects : Collection[str]
        Those of them that were found to be suspect before.
    now_s : float
        Monotonic time.
    finishing : bool
        Whether the candidate gets all calls.
    """
    trusted = {
        instance: upstream
        for instance, upstream in evidence.of_version(candidate)
        if instance not in suspects
    }
    whole = {name: base.count(x.routes) for name, x in trusted.items()}
    recent = {name: base.count(x.recent(now_s)) for name, x in trusted.items()}
    found = frozenset(suspects)
    is_bad = False
    largest, largest_test = 0.0, ("", _ALL_ROUTES)
    for by_upstream in (whole, recent):
        for test in sorted(
            {test for counts in by_upstream.values() for test in counts}
        ):
            conclusive = CONCLUSIVE_FINISHING[test[0]] if finishing else CONCLUSIVE
            weight, worst, rest = _weigh(by_upstream, test, base.rate(test))
            if weight > largest:
                largest, largest_test = weight, test
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
        kind=largest_test[0],
        route=largest_test[1],
    )


def _weigh(
    by_upstream: dict[str, _Counts], test: _Test, rate: float
) -> tuple[float, str, float]:
    """Return the evidence of all upstreams, the worst, and the evidence of the rest."""
    counts = {name: x[test] for name, x in by_upstream.items() if test in x}
    count = sum(n for n, _ in counts.values())
    bad = sum(b for _, b in counts.values())
    worst = max(counts, key=lambda name: (log_evidence(*counts[name], rate), name))
    worst_count, worst_bad = counts[worst]
    rest = log_evidence(count - worst_count, bad - worst_bad, rate)
    alone = log_evidence(worst_count, worst_bad, rate)
    return max(alone, log_evidence(count, bad, rate)), worst, rest


def _total(by_upstream: dict[str, _Counts], excluded: Collection[str]) -> int:
    return sum(
        counts[_ERROR, _ALL_ROUTES][0]
        for name, counts in by_upstream.items()
        if name not in excluded
    )


def _median_bucket(answers: RouteAnswers) -> int:
    half = answers.buckets.total() / 2
    seen = 0
    for bucket in sorted(answers.buckets):
        seen += answers.buckets[bucket]
        if seen >= half:
            return bucket
    return 0
