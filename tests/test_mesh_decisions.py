"""Pure decisions of a mesh node: routes, shares, budgets, upstream, placement."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from gypsumlock.mesh.link import RoundTripEstimator
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    OwnerLoad,
    RouteSpec,
    ServiceShare,
)
from gypsumlock.mesh.placement import CallShape, Placement, UpstreamView
from gypsumlock.mesh.retry_budget import RetryBudget
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.share_counter import ShareCounter
from gypsumlock.mesh.upstream_registry import (
    Departure,
    Heartbeat,
    UpstreamIncarnation,
    UpstreamRegistry,
)

LIMITS = ClientLimits(16_384, 1_000_000, 3.0, 15.0)
ADDRESS = "127.0.0.1:9000"


def make_route(
    name: str = "search",
    prefix: str = "/search/",
    shares: tuple[ServiceShare, ...] = (ServiceShare("finder", 1.0),),
    target_latency_s: float = 0.4,
) -> RouteSpec:
    """Return a route of a test."""
    return RouteSpec(
        name=name,
        host="a.example",
        prefix=prefix,
        repeatable=True,
        timeout_s=1.0,
        target_latency_s=target_latency_s,
        rank=0,
        max_attempts=2,
        shares=shares,
    )


def make_beat(
    instance: str = "i-1",
    born_ms: int = 1000,
    sequence: int = 1,
    leaving: bool = False,
    address: str = ADDRESS,
) -> Heartbeat:
    """Return a heartbeat of a test."""
    return Heartbeat(
        instance=instance,
        address=address,
        service="finder",
        zone="a",
        slots=18,
        leaving=leaving,
        sequence=sequence,
        cold_left_s=0.0,
        born_ms=born_ms,
    )


class TestRouteTable(unittest.TestCase):
    """The longest prefix of the call's host."""

    def setUp(self) -> None:
        routes = (
            make_route("root", "/"),
            make_route("search", "/search/"),
            make_route("deep", "/search/players/"),
        )
        self.table = RouteTable(MeshConfig(7, routes, (), LIMITS))

    def found(self, path: str, host: str = "a.example") -> str | None:
        """Return the name of the route that was found."""
        route = self.table.route_of(host, path)
        return route.name if route else None

    def test_longest_prefix(self) -> None:
        cases = {
            "/search/players/7": "deep",
            "/search/players/": "deep",
            "/search/players": "search",
            "/search/": "search",
            "/search": "root",
            "/": "root",
            "search": None,
            "": None,
        }
        for path, name in cases.items():
            with self.subTest(path=path):
                self.assertEqual(self.found(path), name)

    def test_other_host(self) -> None:
        self.assertIsNone(self.found("/search/", host="b.example"))


class TestShareCounter(unittest.TestCase):
    """Split routes are dealt in their shares."""

    def test_shares_are_exact_over_one_cycle(self) -> None:
        shares = (ServiceShare("x", 90.0), ServiceShare("y", 10.0))
        route = make_route(shares=shares)
        counter = ShareCounter()
        dealt = Counter(counter.choose_service(route) for _ in range(100))
        self.assertEqual(dealt, Counter(x=90, y=10))

    def test_part_without_weight_gets_nothing(self) -> None:
        shares = (ServiceShare("x", 1.0), ServiceShare("y", 0.0))
        counter = ShareCounter()
        route = make_route(shares=shares)
        dealt = Counter(counter.choose_service(route) for _ in range(50))
        self.assertEqual(dealt, Counter(x=50))


class TestRetryBudget(unittest.TestCase):
    """Nodes together stay within the fleet's bound in every window."""

    def test_fleet_bound_holds(self) -> None:
        nodes = 12
        budgets = [RetryBudget(0.2, 56.0, 10.0) for _ in range(nodes)]
        firsts = repeats = 0
        for step in range(500):
            now_s = step * 0.01
            for budget in budgets:
                budget.note_first(now_s)
                firsts += 1
                repeats += budget.take(now_s, nodes)
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, 0.2 * firsts + 56.0)

    def test_old_repeats_are_forgotten(self) -> None:
        budget = RetryBudget(0.0, 4.0, 10.0)
        self.assertEqual([budget.take(0.0, 1) for _ in range(3)], [True, True, False])
        self.assertTrue(budget.take(10.5, 1))


class TestUpstreamRegistry(unittest.TestCase):
    """Reports that come late, out of order or from another incarnation."""

    def setUp(self) -> None:
        self.registry = UpstreamRegistry(ADDRESS)
        self.registry.observe(make_beat(sequence=5))

    def current(self) -> UpstreamIncarnation:
        """Return the incarnation that is believed."""
        assert self.registry.current is not None
        return self.registry.current

    def test_late_heartbeat_changes_nothing(self) -> None:
        self.registry.observe(make_beat(sequence=6, leaving=True))
        self.assertFalse(self.registry.observe(make_beat(sequence=4)))
        self.assertTrue(self.current().leaving)

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        self.registry.observe(make_beat(sequence=6, leaving=True))
        self.registry.observe(make_beat(sequence=7))
        self.assertTrue(self.current().leaving)

    def test_same_identifier_reborn_serves(self) -> None:
        self.registry.record_departure(Departure("i-1", 0))
        self.assertTrue(self.current().leaving)
        self.registry.observe(make_beat(born_ms=2000))
        self.assertFalse(self.current().leaving)

    def test_heartbeat_of_an_ended_incarnation_is_ignored(self) -> None:
        self.registry.observe(make_beat("i-2", born_ms=2000))
        self.assertFalse(self.registry.observe(make_beat("i-1", 1000, 99)))
        self.assertEqual(self.current().instance, "i-2")

    def test_departure_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.registry.observe(make_beat(born_ms=3000))
        self.assertFalse(self.registry.record_departure(Departure("i-1", 1000)))
        self.assertFalse(self.current().leaving)

    def test_heartbeat_for_another_address_is_ignored(self) -> None:
        beat = make_beat("i-9", 9000, address="127.0.0.1:9999")
        self.assertFalse(self.registry.observe(beat))
        self.assertEqual(self.current().instance, "i-1")

    def test_departure_is_kept_across_a_restart(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.restore_departure("i-1", 1000)
        registry.observe(make_beat(sequence=50))
        self.assertIsNone(registry.current)
        registry.observe(make_beat(born_ms=1500))
        self.assertIsNotNone(registry.current)

    def test_departure_before_any_heartbeat_is_final(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.record_departure(Departure("i-1", 1000))
        registry.observe(make_beat())
        self.assertIsNone(registry.current)


class TestPlacement(unittest.TestCase):
    """The least expected time to an answer, the own zone where it costs little."""

    def setUp(self) -> None:
        self.placement = Placement("n-own", "a", random.Random(1))
        self.route = make_route()
        self.near = UpstreamView("n-near", "i-1", "a")
        self.far = UpstreamView("n-far", "i-2", "b")
        for view in (self.near, self.far):
            view.note_load("search", OwnerLoad(18, 2, (), 0.1), 0.0)

    def best(self, size_bytes: float = 1000.0, now_s: float = 0.1) -> str:
        """Return the node of the upstream that is chosen."""
        shape = CallShape(self.route, size_bytes)
        return self.placement.rank(shape, [self.far, self.near], now_s)[0].node

    def share_near(self, size_bytes: float) -> float:
        """Return how often the own zone is chosen."""
        return sum(self.best(size_bytes) == "n-near" for _ in range(200)) / 200

    def test_large_answers_stay_in_their_zone(self) -> None:
        self.assertEqual(self.share_near(90_000.0), 1.0)

    def test_large_answers_avoid_a_link_that_is_taken(self) -> None:
        for view, egress_s in ((self.near, 0.6), (self.far, 0.0)):
            load = OwnerLoad(18, 2, (), 0.1, egress_s=egress_s)
            view.link_mbps = 5.0
            view.note_load("search", load, 0.0)
        self.assertEqual(self.best(size_bytes=20_000.0), "n-far")

    def test_large_answers_stay_on_the_machine(self) -> None:
        own = UpstreamView("n-own", "i-3", "a", 5.0)
        own.note_load("search", OwnerLoad(18, 9, (), 0.1), 0.0)
        self.near.link_mbps = 5.0
        shape = CallShape(self.route, 60_000.0)
        ranked = self.placement.rank(shape, [self.near, own], 0.1)
        self.assertEqual(ranked[0].node, "n-own")

    def test_wait_goes_before_zone(self) -> None:
        self.near.note_load("search", OwnerLoad(18, 18, (0.3,), 0.1), 0.1)
        self.assertEqual(self.best(), "n-far")

    def test_speed_goes_before_zone(self) -> None:
        self.near.note_load("search", OwnerLoad(18, 2, (), 0.3), 0.1)
        self.assertEqual(self.best(), "n-far")

    def test_failing_upstream_is_avoided(self) -> None:
        self.near.note_load("search", OwnerLoad(18, 2, (), 0.1, 0.5), 0.1)
        self.assertEqual(self.best(90_000.0), "n-far")

    def test_upstream_that_takes_no_calls_is_avoided(self) -> None:
        load = OwnerLoad(18, 2, (), 0.1, 0.0, accepting=False)
        self.near.note_load("search", load, 0.1)
        self.assertEqual(self.best(90_000.0), "n-far")

    def test_unreachable_upstream_is_left_out_until_restored(self) -> None:
        self.near.eject(0.1)
        self.assertEqual(self.best(90_000.0, now_s=50.0), "n-far")
        self.near.restore()
        self.assertEqual(self.best(90_000.0, now_s=50.0), "n-near")

    def test_only_unreachable_upstreams_are_tried_all_the_same(self) -> None:
        self.near.eject(0.1)
        self.far.eject(0.1)
        self.assertEqual(self.best(90_000.0), "n-near")


class TestLinkMeter(unittest.TestCase):
    """What waits for a machine's own link."""

    def test_backlog_drains_at_the_rate_of_the_link(self) -> None:
        meter = LinkMeter(8.0)
        meter.note(1_000_000, 10.0)
        meter.note(500_000, 10.0)
        self.assertAlmostEqual(meter.backlog_s(10.0), 1.5)
        self.assertAlmostEqual(meter.backlog_s(11.0), 0.5)
        self.assertEqual(meter.backlog_s(12.0), 0.0)

    def test_idle_time_is_not_saved_up(self) -> None:
        meter = LinkMeter(8.0)
        meter.note(1_000_000, 10.0)
        meter.note(1_000_000, 20.0)
        self.assertAlmostEqual(meter.backlog_s(20.0), 1.0)

    def test_unknown_link_holds_nothing_up(self) -> None:
        meter = LinkMeter(0.0)
        meter.note(1_000_000, 10.0)
        self.assertEqual(meter.backlog_s(10.0), 0.0)


class TestRoundTripEstimator(unittest.TestCase):
    """How long a pong may take before a link is suspected."""

    def test_quick_pongs_leave_little_patience(self) -> None:
        trip = RoundTripEstimator()
        for _ in range(50):
            trip.add_sample(0.002)
        self.assertLess(trip.extra_timeout_s(), 0.05)

    def test_slow_pongs_are_waited_for(self) -> None:
        trip = RoundTripEstimator()
        for took_s in (0.002, 0.1, 0.3, 0.6):
            trip.add_sample(took_s)
        self.assertGreater(trip.extra_timeout_s(), 0.6)

    def test_patience_has_an_end(self) -> None:
        trip = RoundTripEstimator()
        for _ in range(50):
            trip.add_sample(9.0)
        self.assertLessEqual(trip.extra_timeout_s(), 1.0)
