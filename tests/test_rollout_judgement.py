"""Tests of the judgement of versions, in simulated roll-outs of the users' size."""

from __future__ import annotations

import random
import unittest

from gypsumlock.mesh.model import RolloutPhase
from gypsumlock.rollout.evidence import Evidence
from gypsumlock.rollout.judgement import Baseline, judge, log_evidence
from gypsumlock.rollout.messages import RouteCounts, VersionReport
from gypsumlock.rollout.share_sequence import ShareSequence
from tests.standins.rollout_simulation import (
    BOUNDS,
    Answering,
    Quality,
    RolloutSimulation,
    good,
)

NODES = 81
# Upstreams of the users' largest services, and calls per second of each.
UPSTREAMS = 29
RATE_PER_S = 270.0
SEEDS = (1, 2)
# Number of the bad answer after which the bound on the time of a rollback counts.
COUNTED_BAD = 50


def bad(
    errors: float = 0.0,
    slowness: float = 1.0,
    from_s: float = 0.0,
    route: int | None = None,
    load: float = 0.0,
) -> Quality:
    """Return the quality of a version that is bad in some of its calls.

    Parameters
    ----------
    errors : float
        Share of errors.
    slowness : float
        Factor of the service time.
    from_s : float
        Time since the start from which on it is bad, in seconds.
    route : int | None
        The only route on which it is bad; None for all.
    load : float
        Load from which on it is bad, as a multiple of an old upstream's.
    """

    def quality(answering: Answering) -> tuple[bool, float]:
        is_bad = (
            answering.age_s >= from_s
            and answering.load >= load
            and route in (None, answering.route)
        )
        if not is_bad:
            return good(answering)
        return answering.rng.random() < errors, slowness

    return quality


class TestSimulatedRollouts(unittest.TestCase):
    """Whole roll-outs of 12 s with the decisions of all nodes."""

    def check_rolled_back(self, quality: Quality) -> None:
        """Check that a version is rolled back within the users' bounds."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = RolloutSimulation(UPSTREAMS, RATE_PER_S, quality, seed=seed)
                run.run()
                self.assertIs(run.phase, RolloutPhase.ROLLED_BACK)
                allowed = BOUNDS.canary_share * run.calls + BOUNDS.canary_allowance
                self.assertLessEqual(run.exposed, allowed)
                if len(run.bad_at_s) >= COUNTED_BAD:
                    end_s = run.bad_at_s[COUNTED_BAD - 1] + BOUNDS.rollback_s
                    self.assertLessEqual(max(run.exposed_at_s), end_s)

    def test_good_version_is_completed_in_time(self) -> None:
        """Guards against a rollback for machines of unequal speed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = RolloutSimulation(UPSTREAMS, RATE_PER_S, good, seed=seed)
                run.run()
                self.assertIs(run.phase, RolloutPhase.COMPLETED)
                self.assertEqual(run.refused, 0)

    def test_faulty_machine_is_not_the_version(self) -> None:
        """Guards against a rollback for one upstream that fails its calls."""

        def quality(answering: Answering) -> tuple[bool, float]:
            is_faulty = answering.node.number == faulty
            return (True, 1.0) if is_faulty else good(answering)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = RolloutSimulation(UPSTREAMS, RATE_PER_S, quality, seed=seed)
                faulty = run.trial_nodes()[0].number
                run.run()
                self.assertIs(run.phase, RolloutPhase.COMPLETED)

    def test_version_with_errors_is_rolled_back(self) -> None:
        self.check_rolled_back(bad(errors=0.3))

    def test_slow_version_is_rolled_back(self) -> None:
        self.check_rolled_back(bad(slowness=5.0))

    def test_version_that_fails_later_is_rolled_back(self) -> None:
        """Guards against good answers of the start that hide the later ones."""
        self.check_rolled_back(bad(errors=0.4, from_s=4.0))

    def test_version_that_fails_on_one_route_is_rolled_back(self) -> None:
        """Guards against good answers of other routes that hide those of one."""
        self.check_rolled_back(bad(errors=0.8, route=3))

    def test_version_that_fails_under_load_is_rolled_back(self) -> None:
        """Guards against a trial whose upstreams are idle most of the time."""
        self.check_rolled_back(bad(errors=0.5, load=0.7))

    def test_low_traffic_gets_no_verdict_from_few_failures(self) -> None:
        """Guards against a rollback of a service with few calls."""
        run = RolloutSimulation(5, 8.0, good, seed=3)
        run.run()
        self.assertIs(run.phase, RolloutPhase.COMPLETED)


class TestConductorFaults(unittest.TestCase):
    """Conductors that stop in the middle of a roll-out."""

    def test_trial_pauses_without_a_conductor_and_goes_on_with_the_next(self) -> None:
        """Guards against calls of a version that nobody judges."""
        run = RolloutSimulation(UPSTREAMS, RATE_PER_S, good, duration_s=16.0)
        run.run(4.0)
        run.conductor, run.has_conductor = None, False
        run.run(6.5)
        exposed = run.exposed
        run.run(8.0)
        self.assertEqual(run.exposed, exposed)
        run.take_over(3)
        run.run(16.0)
        self.assertIs(run.phase, RolloutPhase.COMPLETED)

    def test_bad_version_gets_no_calls_while_its_conductor_is_dead(self) -> None:
        """Guards against a rollback that only a living conductor can bring about."""
        run = RolloutSimulation(UPSTREAMS, RATE_PER_S, bad(errors=1.0, from_s=4.0))
        run.run(4.0)
        run.conductor, run.has_conductor = None, False
        run.run(12.0)
        allowed = BOUNDS.canary_share * run.calls + BOUNDS.canary_allowance
        self.assertLessEqual(run.exposed, allowed)
        self.assertLessEqual(max(run.exposed_at_s), 4.0 + BOUNDS.rollback_s)

    def test_decision_that_was_not_published_has_no_effect(self) -> None:
        """Guards against a conductor that is cut off and completes by itself."""
        run = RolloutSimulation(UPSTREAMS, RATE_PER_S, good)
        run.run(5.5)
        run.can_publish = False
        run.run(12.0)
        self.assertIs(run.phase, RolloutPhase.FINISHING)
        self.assertFalse(any(node.gate.retired for node in run.nodes))

    def test_next_conductor_finishes_what_the_last_one_has_begun(self) -> None:
        """Guards against a trial that begins anew after all calls were moved."""
        run = RolloutSimulation(UPSTREAMS, RATE_PER_S, good)
        run.run(8.8)
        self.assertIs(run.phase, RolloutPhase.FINISHING)
        run.take_over(3)
        run.run(12.0)
        self.assertIs(run.phase, RolloutPhase.COMPLETED)


class TestEvidence(unittest.TestCase):
    """The sequential test and the selection of a share of the calls."""

    def test_false_alarms_are_rare_however_often_one_looks(self) -> None:
        """Guards against a test that any version fails in the end."""
        rng = random.Random(4)
        alarms = 0
        for _ in range(300):
            failed = 0
            for count in range(1, 200):
                failed += rng.random() < 0.05
                if log_evidence(count, failed, 0.05) > 5.0:
                    alarms += 1
                    break
        self.assertLess(alarms, 300 * 2.718**-5 * 2 + 3)

    def test_good_answers_of_the_start_do_not_hide_later_errors(self) -> None:
        """Guards against a version that fails only after hundreds of good answers."""
        evidence = Evidence()
        for now_s, good_count, errors in ((1.0, 300, 0), (9.0, 310, 8)):
            for instance, version in (("i1", "v1"), ("i2", "v2"), ("i3", "v2")):
                counts = RouteCounts(
                    "search", errors if version == "v2" else 0, {30: good_count}
                )
                report = VersionReport(
                    "n", "finder", instance, version, 7, 1, False, [counts]
                )
                evidence.absorb(report, now_s)
        base = Baseline(evidence, "v1")
        self.assertTrue(judge(evidence, "v2", base, ("i2", "i3"), (), 9.5).is_bad)

    def test_first_calls_of_all_nodes_are_not_selected_at_once(self) -> None:
        """Guards against nodes whose sequences begin in the same phase."""
        rng = random.Random(5)
        sequences = [ShareSequence(rng) for _ in range(NODES)]
        for calls in range(1, 21):
            selected = sum(x.select("finder", 0.08) for x in sequences)
            with self.subTest(calls=calls):
                self.assertLess(selected, 0.08 * NODES + 12)

    def test_share_is_exact_over_many_calls(self) -> None:
        sequence = ShareSequence(random.Random(6))
        selected = sum(sequence.select("finder", 0.08) for _ in range(1000))
        self.assertAlmostEqual(selected, 80, delta=1)
