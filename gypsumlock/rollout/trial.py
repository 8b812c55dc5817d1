"""Decides when the trial of a version ends, and how.

Designed for orders that allow 12 to 16 s, of which the propagation of decisions and the
end of the calls at old upstreams take four. The trial has two parts: a small share at
first, and a larger one for about two seconds if nothing speaks against the version. The
second part shows what happens under load, and on routes and services with few calls.
Both together stay below the bound on the calls that a bad version may get.

Does no I/O and reads no clock.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from gypsumlock.mesh.model import RolloutEntry
from gypsumlock.rollout.judgement import Judgement

__all__ = [
    "TrialBounds",
    "TrialDecision",
    "decide_trial",
    "larger_share",
    "small_share",
]

# Shares of the calls in the two parts, as a multiple of the share that a bad version
# may get of all calls from the order to its deadline.
SMALL_SHARE_OF_BOUND = 0.8
LARGER_SHARE_OF_BOUND = 2.2
# Part of the calls allowed beyond that share which the second part may use, for a
# service with few calls; and the largest share in any case.
ALLOWANCE_SHARE = 0.6
MAX_SHARE = 0.5
# Shares of the time that an order allows after which the second part may begin, the
# trial may end, and it has to end.
ENLARGE_AFTER_SHARE = 0.4
DECIDE_AFTER_SHARE = 0.6
DECIDE_LATEST_SHARE = 0.66
# Time from the first answer of a candidate to the second part and to the end, in
# seconds. Some versions fail only three seconds after their start.
MIN_SMALL_S = 2.5
MIN_TRIAL_S = 4.5
# Answers that a candidate should have before the second part and before the end, and
# those in the last seconds.
MIN_SMALL_ANSWERS = 8
MIN_ANSWERS = 30
MIN_RECENT_ANSWERS = 5
# Answers that are needed from the other upstreams if one is suspect.
MIN_ANSWERS_BESIDE_SUSPECT = 15
# Logarithm of the likelihood ratio from which on a version is in doubt, and the same by
# kind from which on it is rolled back at the latest end of its trial. Machines differ
# in speed, so that slow answers say less than errors.
DOUBT = 2.0
LATE_DOUBTS = {"error": 3.0, "slow": 4.5}


class TrialDecision(Enum):
    """What to do with a candidate on trial."""

    CONTINUE = "continue"
    ENLARGE = "nothing speaks against the version"
    FINISH = "version good"
    FINISH_UNTESTED = "no sign of a bad version"
    ROLL_BACK_BAD = "bad answers"
    ROLL_BACK_DOUBTFUL = "version in doubt"
    ROLL_BACK_UNANSWERED = "no answers"


class TrialBounds(Protocol):
    """Bounds on the calls that a bad version may get."""

    @property
    def canary_share(self) -> float:
        """Share of the service's calls from the order to its deadline."""

    @property
    def canary_allowance(self) -> float:
        """Calls beyond that share."""


def small_share(bounds: TrialBounds) -> float:
    """Return the share of the calls in the first part of a trial."""
    return min(MAX_SHARE, SMALL_SHARE_OF_BOUND * bounds.canary_share)


def larger_share(bounds: TrialBounds, calls_per_s: float, duration_s: float) -> float:
    """Return the share of the calls in the second part of a trial.

    Parameters
    ----------
    bounds : TrialBounds
        Bounds on the calls that a bad version may get.
    calls_per_s : float
        Calls of the service per second.
    duration_s : float
        Time that the order allows, in seconds.
    """
    second_part_s = (DECIDE_LATEST_SHARE - ENLARGE_AFTER_SHARE) * duration_s
    calls = max(1.0, calls_per_s * second_part_s)
    extra = ALLOWANCE_SHARE * bounds.canary_allowance / calls
    return min(MAX_SHARE, LARGER_SHARE_OF_BOUND * bounds.canary_share + extra)


def decide_trial(
    entry: RolloutEntry,
    judgement: Judgement,
    elapsed_s: float,
    answering_s: float,
    bounds: TrialBounds,
) -> TrialDecision:
    """Return what to do with a candidate on trial.

    Parameters
    ----------
    entry : RolloutEntry
        Entry of the trial.
    judgement : Judgement
        What the answers say so far.
    elapsed_s : float
        Time since the order, in seconds.
    answering_s : float
        Time since the candidate's first answer, in seconds; negative before it.
    bounds : TrialBounds
        Bounds on the calls that a bad version may get.
    """
    if judgement.is_bad:
        return TrialDecision.ROLL_BACK_BAD
    in_first_part = entry.share <= small_share(bounds)
    if (
        in_first_part
        and elapsed_s >= ENLARGE_AFTER_SHARE * entry.duration_s
        and answering_s >= MIN_SMALL_S
        and judgement.answers >= MIN_SMALL_ANSWERS
        and judgement.evidence < DOUBT
    ):
        return TrialDecision.ENLARGE
    if elapsed_s >= DECIDE_LATEST_SHARE * entry.duration_s:
        return _decide_late(judgement)
    if (
        not in_first_part
        and elapsed_s >= DECIDE_AFTER_SHARE * entry.duration_s
        and answering_s >= MIN_TRIAL_S
        and judgement.answers >= MIN_ANSWERS
        and judgement.recent_answers >= MIN_RECENT_ANSWERS
        and judgement.evidence < DOUBT
    ):
        return TrialDecision.FINISH
    return TrialDecision.CONTINUE


def _decide_late(judgement: Judgement) -> TrialDecision:
    """Decide by what there is: a service may have few calls, or none."""
    if judgement.evidence >= LATE_DOUBTS.get(judgement.kind, DOUBT):
        return TrialDecision.ROLL_BACK_DOUBTFUL
    if judgement.suspects and judgement.answers < MIN_ANSWERS_BESIDE_SUSPECT:
        return TrialDecision.ROLL_BACK_DOUBTFUL
    if judgement.answers == 0 and judgement.base_answers > 0:
        return TrialDecision.ROLL_BACK_UNANSWERED
    return TrialDecision.FINISH_UNTESTED
