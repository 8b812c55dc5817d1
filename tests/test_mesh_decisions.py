"""Decisions of a mesh node that need no I/O, such as routing and upstream selection."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, LinkMeter, usable_mbps
from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    OwnerLoad,
    RouteSpec,
    ServiceShare,
)
from gypsumlock.mesh.pacer import CHUNK_BYTES, MAX_BACKLOG_S
from gypsumlock.mesh.placement import CallProfile, UpstreamSelector, UpstreamView
from gypsumlock.mesh.retry_budget import RetryBudgets
from gypsumlock.mesh.round_trip import RoundTripEstimator
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.upstream_registry import (
    Departure,
    Heartbeat,
    UpstreamIncarnation,
    UpstreamRegistry,
)
from gypsumlock.mesh.weighted_round_robin import WeightedRoundRobin

LIMITS = ClientLimits(16_384, 1_000_000, 3.0, 15.0)
ADDRESS = "127.0.0.1:9000"

# Simulated link: time step, and sizes of TCP segments over IPv4 on Ethernet.
STEP_S = 0.001
PACKET_PAYLOAD_BYTES = 1448
PACKET_HEADER_BYTES = 78


def make_route(
    name: str = "search",
    prefix: str = "/search/",
    shares: tuple[ServiceShare, ...] = (ServiceShare("finder", 1.0),),
    target_latency_s: float = 0.4,
) -> RouteSpec:
    """Return a route of the host `a.example`."""
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


def make_heartbeat(
    instance: str = "i-1",
    born_ms: int = 1000,
    sequence: int = 1,
    leaving: bool = False,
    address: str = ADDRESS,
) -> Heartbeat:
    """Return a heartbeat of an upstream of the service `finder`."""
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
    """Routes are found by host and longest matching path prefix."""

    def setUp(self) -> None:
        routes = (
            make_route("root", "/"),
            make_route("search", "/search/"),
            make_route("deep", "/search/players/"),
        )
        self.table = RouteTable(MeshConfig(7, routes, (), LIMITS))

    def route_name(self, path: str, host: str = "a.example") -> str | None:
        """Return the name of the route that is found, or None."""
        route = self.table.find_route(host, path)
        return route.name if route else None

    def test_longest_prefix_is_found(self) -> None:
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
                self.assertEqual(self.route_name(path), name)

    def test_other_host_has_no_route(self) -> None:
        self.assertIsNone(self.route_name("/search/", host="b.example"))


class TestWeightedRoundRobin(unittest.TestCase):
    """Calls of a split route are distributed in proportion to its shares."""

    def test_shares_are_exact_over_one_cycle(self) -> None:
        shares = (ServiceShare("x", 90.0), ServiceShare("y", 10.0))
        route = make_route(shares=shares)
        round_robin = WeightedRoundRobin()
        chosen = Counter(round_robin.choose_service(route) for _ in range(100))
        self.assertEqual(chosen, Counter(x=90, y=10))

    def test_share_without_weight_gets_no_calls(self) -> None:
        shares = (ServiceShare("x", 1.0), ServiceShare("y", 0.0))
        round_robin = WeightedRoundRobin()
        route = make_route(shares=shares)
        chosen = Counter(round_robin.choose_service(route) for _ in range(50))
        self.assertEqual(chosen, Counter(x=50))


class TestRetryBudget(unittest.TestCase):
    """All nodes together stay within the limit in every window."""

    def test_all_nodes_together_stay_within_the_limit(self) -> None:
        node_count = 12
        budgets = [RetryBudgets(10.0) for _ in range(node_count)]
        first_attempts = retries = 0
        for step in range(500):
            now_s = step * 0.01
            for budget in budgets:
                budget.record_first_attempt("finder", "search", now_s)
                first_attempts += 1
                retries += budget.try_spend(
                    "finder", "search", now_s, 0.2, 56.0 / node_count
                )
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries, 0.2 * first_attempts + 56.0)

    def test_retries_older_than_the_window_do_not_count(self) -> None:
        budget = RetryBudgets(10.0)
        self.assertEqual(
            [budget.try_spend("finder", "search", 0.0, 0.0, 4.0) for _ in range(3)],
            [True, True, False],
        )
        self.assertTrue(budget.try_spend("finder", "search", 10.5, 0.0, 4.0))

    def test_nested_calls_of_repeated_runs_stay_within_the_limit(self) -> None:
        # Clients of all nodes call `desk`, which runs on nine of them. Most of these
        # calls fail; their runs make 1.4 calls to `archive` on average, and those of a
        # repeated run count as retries there. Later the calls to `archive` fail too.
        node_count = 12
        budgets = [RetryBudgets(10.0) for _ in range(node_count)]
        own_allowance = 62.0 / node_count
        first_attempts = retries = 0.0
        nested_calls = 0.0
        for step in range(3500):
            now_s = step * 0.01 / 3.5
            for budget in budgets:
                budget.record_first_attempt("desk", "lookup", now_s)
                if step % 5 < 2:
                    # A call of another kind, which succeeds.
                    budget.record_first_attempt("desk", "filing", now_s)
                nested_calls += 1.4
                if budget.try_spend("desk", "lookup", now_s, 0.2, own_allowance):
                    retries += 1.4
                    first_attempts += 1.4
            while nested_calls >= 1:
                nested_calls -= 1
                budget = budgets[int(first_attempts) % 9]
                budget.record_first_attempt("archive", "check", now_s)
                first_attempts += 1
                if now_s > 5.0:
                    retries += budget.try_spend(
                        "archive", "check", now_s, 0.2, own_allowance
                    )
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries, 0.2 * first_attempts + 62.0)

    def test_route_with_nested_calls_does_not_use_the_retries_of_others(self) -> None:
        # A quarter of the calls to `desk` make two calls to `archive` each, and fail.
        budget = RetryBudgets(10.0)
        nested_first_attempts = nested_retries = 0
        for step in range(2000):
            now_s = step * 0.005
            is_lookup = step % 4 == 0
            route = "lookup" if is_lookup else "filing"
            budget.record_first_attempt("desk", route, now_s)
            if is_lookup:
                nested_first_attempts += 2
                if budget.try_spend("desk", route, now_s, 0.2, 5.0):
                    nested_retries += 2
        self.assertGreater(nested_retries, 0)
        self.assertLessEqual(nested_retries, 0.2 * nested_first_attempts + 5.0)


class TestUpstreamRegistry(unittest.TestCase):
    """Reports that arrive late, out of order or from another incarnation."""

    def setUp(self) -> None:
        self.registry = UpstreamRegistry(ADDRESS)
        self.registry.observe(make_heartbeat(sequence=5))

    def current(self) -> UpstreamIncarnation:
        """Return the current incarnation."""
        assert self.registry.current is not None
        return self.registry.current

    def test_heartbeat_with_an_older_sequence_is_ignored(self) -> None:
        self.registry.observe(make_heartbeat(sequence=6, leaving=True))
        self.assertFalse(self.registry.observe(make_heartbeat(sequence=4)))
        self.assertTrue(self.current().leaving)

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        self.registry.observe(make_heartbeat(sequence=6, leaving=True))
        self.registry.observe(make_heartbeat(sequence=7))
        self.assertTrue(self.current().leaving)

    def test_later_incarnation_with_the_same_identifier_serves(self) -> None:
        self.registry.record_departure(Departure("i-1", 0))
        self.assertTrue(self.current().leaving)
        self.registry.observe(make_heartbeat(born_ms=2000))
        self.assertFalse(self.current().leaving)

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.registry.observe(make_heartbeat("i-2", born_ms=2000))
        self.assertFalse(self.registry.observe(make_heartbeat("i-1", 1000, 99)))
        self.assertEqual(self.current().instance, "i-2")

    def test_departure_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.registry.observe(make_heartbeat(born_ms=3000))
        self.assertFalse(self.registry.record_departure(Departure("i-1", 1000)))
        self.assertFalse(self.current().leaving)

    def test_heartbeat_for_another_address_is_ignored(self) -> None:
        heartbeat = make_heartbeat("i-9", 9000, address="127.0.0.1:9999")
        self.assertFalse(self.registry.observe(heartbeat))
        self.assertEqual(self.current().instance, "i-1")

    def test_departure_is_kept_across_a_restart(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.restore_departure(Departure("i-1", 1000))
        registry.observe(make_heartbeat(sequence=50))
        self.assertIsNone(registry.current)
        registry.observe(make_heartbeat(born_ms=1500))
        self.assertIsNotNone(registry.current)

    def test_departure_is_restored_after_a_late_heartbeat(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.observe(make_heartbeat(sequence=50))
        registry.restore_departure(Departure("i-1", 1000))
        self.assertTrue(registry.current is not None and registry.current.leaving)

    def test_departure_before_any_heartbeat_is_final(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.record_departure(Departure("i-1", 1000))
        registry.observe(make_heartbeat())
        self.assertIsNone(registry.current)

    def test_departure_of_unknown_start_before_any_heartbeat_is_final(self) -> None:
        registry = UpstreamRegistry(ADDRESS)
        registry.record_departure(Departure("i-1", 0))
        for sequence in (1, 2):
            registry.observe(make_heartbeat(sequence=sequence))
            self.assertIsNone(registry.current)
        registry.observe(make_heartbeat(born_ms=2000))
        self.assertIsNotNone(registry.current)


class TestUpstreamSelector(unittest.TestCase):
    """Lowest expected latency, in the local zone unless another is much faster."""

    def setUp(self) -> None:
        self.selector = UpstreamSelector("n-own", "a", random.Random(1))
        self.route = make_route()
        self.near = UpstreamView("n-near", "i-1", "a")
        self.far = UpstreamView("n-far", "i-2", "b")
        for view in (self.near, self.far):
            view.record_load("search", OwnerLoad(18, 2, (), 0.1), 0.0)

    def selected_node(self, size_bytes: float = 1000.0, now_s: float = 0.1) -> str:
        """Return the node of the upstream that is selected."""
        profile = CallProfile(self.route, size_bytes)
        return self.selector.order_by_cost(profile, [self.far, self.near], now_s)[
            0
        ].node

    def local_zone_share(self, size_bytes: float) -> float:
        """Return the share of selections that stay in the local zone."""
        return sum(self.selected_node(size_bytes) == "n-near" for _ in range(200)) / 200

    def test_large_responses_stay_in_their_zone(self) -> None:
        self.assertEqual(self.local_zone_share(90_000.0), 1.0)

    def test_large_responses_avoid_a_busy_link(self) -> None:
        for view, egress_s in ((self.near, 0.6), (self.far, 0.0)):
            load = OwnerLoad(18, 2, (), 0.1, egress_delay_s=egress_s)
            view.link_mbps = 5.0
            view.record_load("search", load, 0.0)
        self.assertEqual(self.selected_node(size_bytes=20_000.0), "n-far")

    def test_large_responses_come_from_the_local_machine(self) -> None:
        local = UpstreamView("n-own", "i-3", "a", 5.0)
        local.record_load("search", OwnerLoad(18, 9, (), 0.1), 0.0)
        self.near.link_mbps = 5.0
        profile = CallProfile(self.route, 60_000.0)
        ordered = self.selector.order_by_cost(profile, [self.near, local], 0.1)
        self.assertEqual(ordered[0].node, "n-own")

    def test_long_wait_outweighs_the_local_zone(self) -> None:
        self.near.record_load("search", OwnerLoad(18, 18, (0.3,), 0.1), 0.1)
        self.assertEqual(self.selected_node(), "n-far")

    def test_long_service_time_outweighs_the_local_zone(self) -> None:
        self.near.record_load("search", OwnerLoad(18, 2, (), 0.3), 0.1)
        self.assertEqual(self.selected_node(), "n-far")

    def test_failing_upstream_is_not_selected(self) -> None:
        self.near.record_load("search", OwnerLoad(18, 2, (), 0.1, 0.5), 0.1)
        self.assertEqual(self.selected_node(90_000.0), "n-far")

    def test_upstream_that_accepts_no_calls_is_not_selected(self) -> None:
        load = OwnerLoad(18, 2, (), 0.1, 0.0, accepting=False)
        self.near.record_load("search", load, 0.1)
        self.assertEqual(self.selected_node(90_000.0), "n-far")

    def test_ejected_upstream_is_not_selected_until_restored(self) -> None:
        self.near.eject(0.1)
        self.assertEqual(self.selected_node(90_000.0, now_s=50.0), "n-far")
        self.near.restore()
        self.assertEqual(self.selected_node(90_000.0, now_s=50.0), "n-near")

    def test_ejected_upstreams_are_selected_if_all_are_ejected(self) -> None:
        self.near.eject(0.1)
        self.far.eject(0.1)
        self.assertEqual(self.selected_node(90_000.0), "n-near")


class TestLinkMeter(unittest.TestCase):
    """Estimated backlog of a machine's network link."""

    def test_backlog_drains_at_the_bandwidth_of_the_link(self) -> None:
        meter = LinkMeter(8.0)
        meter.record_write(1_000_000, 10.0)
        meter.record_write(500_000, 10.0)
        self.assertAlmostEqual(meter.backlog_s(10.0), 1.5)
        self.assertAlmostEqual(meter.backlog_s(11.0), 0.5)
        self.assertEqual(meter.backlog_s(12.0), 0.0)

    def test_idle_time_earns_no_credit(self) -> None:
        meter = LinkMeter(8.0)
        meter.record_write(1_000_000, 10.0)
        meter.record_write(1_000_000, 20.0)
        self.assertAlmostEqual(meter.backlog_s(20.0), 1.0)

    def test_saturated_link_builds_up_no_queue_unseen(self) -> None:
        """Chunks are written whenever the meter allows it; packets have headers."""
        link_mbps = 5.5
        meter = LinkMeter(usable_mbps(link_mbps))
        link_bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        queued_bytes = 0.0
        for step in range(20_000):
            now_s = step * STEP_S
            queued_bytes = max(0.0, queued_bytes - STEP_S * link_bytes_per_s)
            if meter.backlog_s(now_s) <= MAX_BACKLOG_S:
                meter.record_write(CHUNK_BYTES, now_s)
                packets = math.ceil(CHUNK_BYTES / PACKET_PAYLOAD_BYTES)
                queued_bytes += CHUNK_BYTES + packets * PACKET_HEADER_BYTES
        chunk_s = meter.transmission_s(CHUNK_BYTES)
        self.assertLess(queued_bytes / link_bytes_per_s, MAX_BACKLOG_S + chunk_s)

    def test_link_of_unknown_bandwidth_has_no_backlog(self) -> None:
        meter = LinkMeter(0.0)
        meter.record_write(1_000_000, 10.0)
        self.assertEqual(meter.backlog_s(10.0), 0.0)


class TestRoundTripEstimator(unittest.TestCase):
    """Extension of the timeouts for slow pongs, from the round-trip times of pings."""

    def test_fast_pongs_hardly_extend_the_timeout(self) -> None:
        estimator = RoundTripEstimator()
        for _ in range(50):
            estimator.add_sample(0.002)
        self.assertLess(estimator.extra_timeout_s(), 0.05)

    def test_slow_pongs_extend_the_timeout(self) -> None:
        estimator = RoundTripEstimator()
        for took_s in (0.002, 0.1, 0.3, 0.6):
            estimator.add_sample(took_s)
        self.assertGreater(estimator.extra_timeout_s(), 0.6)

    def test_extension_is_bounded(self) -> None:
        estimator = RoundTripEstimator()
        for _ in range(50):
            estimator.add_sample(9.0)
        self.assertLessEqual(estimator.extra_timeout_s(), 1.0)
