"""Tests of the decision when calls leave their availability zone."""

from __future__ import annotations

import random
import unittest

from gypsumlock.mesh.model import OwnerLoad
from gypsumlock.mesh.placement import UpstreamView
from gypsumlock.mesh.zone_policy import MIN_LEAVING_SHARE, RankedUpstream, ZonePolicy

SERVICE = "finder"
TARGET_S = 0.4


def make_upstream(
    node: str, zone: str, latency_ratio: float, load: OwnerLoad | None = None
) -> RankedUpstream:
    """Return an upstream whose cost follows from its expected latency alone."""
    view = UpstreamView(node, f"i-{node}", zone)
    if load is not None:
        view.record_load("search", load, 0.0)
    return RankedUpstream(view, TARGET_S * latency_ratio**4, latency_ratio)


class TestZonePolicy(unittest.TestCase):
    """Calls leave their zone where that pays, and only as many as another can take."""

    def setUp(self) -> None:
        self.policy = ZonePolicy("a", random.Random(3))

    def first_zones(self, near: float, far: float, size_bytes: float = 500.0) -> float:
        """Return the share of calls whose first offer goes to the other zone."""
        upstreams = [make_upstream("near", "a", near), make_upstream("far", "b", far)]
        upstreams.sort(key=lambda upstream: upstream.cost_s)
        first = [
            self.policy.order(SERVICE, size_bytes, upstreams)[0].zone
            for _ in range(200)
        ]
        return first.count("b") / len(first)

    def test_calls_stay_while_their_zone_answers_in_time(self) -> None:
        # A faster answer elsewhere has no value for the caller.
        self.assertEqual(self.first_zones(near=0.6, far=0.1), 0.0)

    def test_calls_leave_a_zone_that_would_answer_late(self) -> None:
        self.assertEqual(self.first_zones(near=1.2, far=0.3), 1.0)

    def test_large_calls_stay_longer(self) -> None:
        self.assertEqual(self.first_zones(near=0.8, far=0.3, size_bytes=500.0), 1.0)
        self.assertEqual(self.first_zones(near=0.8, far=0.3, size_bytes=60_000.0), 0.0)

    def test_calls_return_later_than_they_leave(self) -> None:
        # With one threshold for both, calls would alternate at every small change.
        self.assertEqual(self.first_zones(near=0.7, far=0.1), 1.0)
        self.assertEqual(self.first_zones(near=0.55, far=0.1), 1.0)
        self.assertEqual(self.first_zones(near=0.4, far=0.1), 0.0)
        self.assertEqual(self.first_zones(near=0.55, far=0.1), 0.0)

    def test_refusals_of_the_own_zone_let_calls_leave(self) -> None:
        for _ in range(10):
            self.policy.record_offer(SERVICE, "a", in_time=False)
        self.assertEqual(self.first_zones(near=0.6, far=0.1), 1.0)

    def test_upstream_that_accepts_nothing_is_left(self) -> None:
        refusing = OwnerLoad(18, 2, (), 0.1, accepting=False)
        near = make_upstream("near", "a", 0.3, refusing)
        far = make_upstream("far", "b", 0.2)
        near = RankedUpstream(near.view, 10 * TARGET_S, 0.3)
        self.assertEqual(self.policy.order(SERVICE, 500.0, [far, near])[0].zone, "b")

    def test_zone_without_upstreams_of_the_service(self) -> None:
        far = make_upstream("far", "b", 2.0)
        self.assertEqual(self.policy.order(SERVICE, 500.0, [far]), [far.view])

    def test_call_refused_at_home_is_offered_elsewhere(self) -> None:
        upstreams = [make_upstream(f"n-{i}", "a", 0.2) for i in range(4)]
        upstreams.append(make_upstream("far", "b", 0.3))
        ordered = self.policy.order(SERVICE, 500.0, upstreams)
        self.assertEqual([view.zone for view in ordered[:3]], ["a", "a", "b"])


class TestLeavingShare(unittest.TestCase):
    """Nodes that run short together don't overload the other zone together."""

    def setUp(self) -> None:
        self.policy = ZonePolicy("a", random.Random(3))

    def test_refusals_lower_the_share_at_once(self) -> None:
        for _ in range(10):
            self.policy.record_offer(SERVICE, "b", in_time=False)
        self.assertEqual(self.policy.leaving_share(SERVICE, "b"), MIN_LEAVING_SHARE)
        self.assertEqual(self.policy.leaving_share(SERVICE, "c"), 1.0)

    def test_answers_in_time_raise_the_share_slowly(self) -> None:
        for _ in range(10):
            self.policy.record_offer(SERVICE, "b", in_time=False)
        for _ in range(5):
            self.policy.record_offer(SERVICE, "b", in_time=True)
        share = self.policy.leaving_share(SERVICE, "b")
        self.assertGreater(share, MIN_LEAVING_SHARE)
        self.assertLess(share, 0.5)

    def test_offered_load_follows_the_capacity_of_the_other_zone(self) -> None:
        # Twenty nodes of a zone short of slots, and another zone that answers thirty of
        # a hundred calls in time: most offers must be answered, not refused.
        rng = random.Random(5)
        nodes = [ZonePolicy("a", random.Random(i)) for i in range(20)]
        upstreams = [make_upstream("far", "b", 0.3), make_upstream("near", "a", 2.0)]
        offered, answered = 0, 0
        for _ in range(400):
            senders = [
                node
                for node in rng.sample(nodes, 10)
                if node.order(SERVICE, 500.0, upstreams)[0].zone == "b"
            ]
            free = 3
            for node in senders:
                node.record_offer(SERVICE, "b", in_time=free > 0)
                offered += 1
                answered += free > 0
                free -= 1
        self.assertGreater(answered / (400 * 3), 0.7)
        self.assertGreater(answered / offered, 0.6)


if __name__ == "__main__":
    unittest.main()
