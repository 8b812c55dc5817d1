"""Choice of upstream, retry budget, subsets."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace

from gypsumlock.model import (
    Endpoint,
    NodeIdentity,
    RoutingTable,
    compile_policy,
    compile_table,
)
from gypsumlock.routing import Outcome, RetryBudget, UpstreamChooser, subset_of
from tests.test_model import bowline_snapshot

NODE = NodeIdentity("10.0.0.1:2", "10.0.0.1:1", "glasgow", "north", "here")


def endpoint(number: int, **changes: object) -> Endpoint:
    """Return an upstream of the search service, long in service."""
    address = f"10.0.1.{number}"
    good = Endpoint(
        "search", f"{address}:2", f"{address}:1", "glasgow", "north", 20, 0.0
    )
    return replace(good, **changes)  # type: ignore[arg-type]


class TestChooser(unittest.TestCase):
    """Where calls go."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.chooser = UpstreamChooser(
            NODE, random.Random(7), lambda: self.now_s, lambda: self.now_s
        )

    def table(self, *endpoints: Endpoint) -> RoutingTable:
        return compile_table(
            compile_policy(bowline_snapshot(), NODE).unwrap(), endpoints
        )

    def choose(self, table: RoutingTable, count: int = 200) -> Counter[str]:
        route = table.route_of("", "/search/x", "GET")
        assert route is not None
        chosen = (self.chooser.choose(table, route, set()) for _ in range(count))
        return Counter(e.call_address for e in chosen if e)

    def end(self, target: Endpoint, outcome: Outcome, table: RoutingTable) -> None:
        stats = self.chooser.stats_of(target)
        stats.begin()
        stats.end(outcome, 0.01, table.policy.limits, self.now_s)

    def test_own_zone_is_preferred_until_it_refuses(self) -> None:
        near, far = endpoint(1), endpoint(2, zone="perth")
        table = self.table(near, far)
        self.assertEqual(set(self.choose(table)), {near.call_address})
        self.end(near, Outcome.REFUSED, table)
        self.assertEqual(set(self.choose(table)), {far.call_address})
        self.now_s += 1
        self.assertEqual(set(self.choose(table)), {near.call_address})

    def test_busy_upstream_gets_fewer_calls(self) -> None:
        busy, idle = endpoint(1), endpoint(2)
        for _ in range(10):
            self.chooser.stats_of(busy).begin()
        chosen = self.choose(self.table(busy, idle))
        self.assertLess(chosen[busy.call_address], chosen[idle.call_address])

    def test_failing_upstream_is_ejected_for_a_while(self) -> None:
        bad, good = endpoint(1), endpoint(2)
        table = self.table(bad, good)
        for _ in range(3):
            self.end(bad, Outcome.FAILED, table)
        self.assertEqual(set(self.choose(table)), {good.call_address})
        self.now_s += 6
        self.assertEqual(len(self.choose(table)), 2)

    def test_ejections_never_empty_a_service(self) -> None:
        endpoints = [endpoint(number) for number in range(1, 5)]
        table = self.table(*endpoints)
        for target in endpoints:
            for _ in range(3):
                self.end(target, Outcome.FAILED, table)
        self.assertEqual(len(self.choose(table)), 4)

    def test_suspected_upstream_is_the_last_resort(self) -> None:
        suspect, good = endpoint(1, suspect=True), endpoint(2)
        chosen = self.choose(self.table(suspect, good))
        self.assertEqual(set(chosen), {good.call_address})
        self.assertEqual(len(self.choose(self.table(suspect))), 1)

    def test_cold_upstream_gets_a_small_share_at_first(self) -> None:
        cold = endpoint(1, serving_since_s=self.now_s - 1)
        warm = [endpoint(2), endpoint(3)]
        table = self.table(cold, *warm)
        early = self.choose(table, 1000)[cold.call_address]
        self.now_s += 20
        late = self.choose(table, 1000)[cold.call_address]
        self.assertLess(early, 120)
        self.assertGreater(late, 250)

    def test_tried_upstreams_are_left_out(self) -> None:
        one = endpoint(1)
        table = self.table(one)
        route = table.route_of("", "/search/x", "GET")
        assert route is not None
        self.assertIsNone(self.chooser.choose(table, route, {one.call_address}))

    def test_a_service_without_upstreams_gives_none(self) -> None:
        self.assertEqual(self.choose(self.table()), Counter())


class TestRetryBudget(unittest.TestCase):
    """Retries stay a share of calls."""

    def test_retries_are_bounded_over_many_calls(self) -> None:
        budget = RetryBudget(share=0.1, burst=10)
        retries = 0
        for _ in range(1000):
            budget.note_call()
            retries += budget.take_retry()
        self.assertLessEqual(retries, 1000 * 0.1 + 10)
        self.assertGreaterEqual(retries, 1000 * 0.1)


class TestSubset(unittest.TestCase):
    """A node connects to a bounded, stable and spread part of a service."""

    def test_small_services_are_taken_whole(self) -> None:
        endpoints = [endpoint(number) for number in range(1, 9)]
        self.assertEqual(list(subset_of(NODE, endpoints, 16)), endpoints)

    def test_large_services_keep_other_zones(self) -> None:
        zones = ("glasgow", "perth", "stirling")
        endpoints = [endpoint(n, zone=zones[n % 3]) for n in range(60)]
        chosen = subset_of(NODE, endpoints, 16)
        self.assertEqual(len(set(chosen)), 16)
        self.assertEqual(sum(e.zone == "glasgow" for e in chosen), 8)

    def test_load_is_spread_over_callers(self) -> None:
        endpoints = [endpoint(n, zone="far") for n in range(64)]
        counts: Counter[str] = Counter()
        for caller in range(256):
            node = replace(NODE, address=f"10.9.{caller}.1:2")
            counts.update(e.call_address for e in subset_of(node, endpoints, 16))
        self.assertEqual(len(counts), 64)
        self.assertLess(max(counts.values()), 2 * 64)
