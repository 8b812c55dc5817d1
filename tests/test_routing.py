"""Tests of the choice of upstreams, the retry budget and the subsets."""

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
from gypsumlock.routing import Outcome, RetryBudget, UpstreamChooser, select_subset
from tests.test_model import bowline_snapshot

NODE = NodeIdentity("10.0.0.1:2", "10.0.0.1:1", "glasgow", "north", "here")


def make_endpoint(number: int, **changes: object) -> Endpoint:
    """Return an upstream of the search service that is past its slow start."""
    address = f"10.0.1.{number}"
    default = Endpoint(
        "search", f"{address}:2", f"{address}:1", "glasgow", "north", 20, 0.0
    )
    return replace(default, **changes)  # type: ignore[arg-type]


class TestChooser(unittest.TestCase):
    """Choice of the upstream by zone, load, failures and slow start."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.chooser = UpstreamChooser(
            NODE, random.Random(7), lambda: self.now_s, lambda: self.now_s
        )

    def table(self, *endpoints: Endpoint) -> RoutingTable:
        return compile_table(
            compile_policy(bowline_snapshot(), NODE).unwrap(), endpoints
        )

    def count_choices(self, table: RoutingTable, count: int = 200) -> Counter[str]:
        route = table.route_of("", "/search/x", "GET")
        assert route is not None
        chosen = (self.chooser.choose(table, route, set()) for _ in range(count))
        return Counter(e.call_address for e in chosen if e)

    def record_attempt(
        self, upstream: Endpoint, outcome: Outcome, table: RoutingTable
    ) -> None:
        stats = self.chooser.stats_of(upstream)
        stats.record_start()
        stats.record_end(outcome, 0.01, table.policy.limits, self.now_s)

    def test_own_zone_is_preferred_until_it_refuses_a_call(self) -> None:
        same_zone, other_zone = make_endpoint(1), make_endpoint(2, zone="perth")
        table = self.table(same_zone, other_zone)
        self.assertEqual(set(self.count_choices(table)), {same_zone.call_address})
        self.record_attempt(same_zone, Outcome.REFUSED, table)
        self.assertEqual(set(self.count_choices(table)), {other_zone.call_address})
        self.now_s += 1
        self.assertEqual(set(self.count_choices(table)), {same_zone.call_address})

    def test_busy_upstream_gets_fewer_calls(self) -> None:
        busy, idle = make_endpoint(1), make_endpoint(2)
        for _ in range(10):
            self.chooser.stats_of(busy).record_start()
        chosen = self.count_choices(self.table(busy, idle))
        self.assertLess(chosen[busy.call_address], chosen[idle.call_address])

    def test_failing_upstream_is_ejected_temporarily(self) -> None:
        failing, healthy = make_endpoint(1), make_endpoint(2)
        table = self.table(failing, healthy)
        for _ in range(3):
            self.record_attempt(failing, Outcome.FAILED, table)
        self.assertEqual(set(self.count_choices(table)), {healthy.call_address})
        self.now_s += 6
        self.assertEqual(len(self.count_choices(table)), 2)

    def test_ejections_never_empty_a_service(self) -> None:
        endpoints = [make_endpoint(number) for number in range(1, 5)]
        table = self.table(*endpoints)
        for upstream in endpoints:
            for _ in range(3):
                self.record_attempt(upstream, Outcome.FAILED, table)
        self.assertEqual(len(self.count_choices(table)), 4)

    def test_suspected_upstream_is_chosen_only_without_alternatives(self) -> None:
        suspect, healthy = make_endpoint(1, suspect=True), make_endpoint(2)
        chosen = self.count_choices(self.table(suspect, healthy))
        self.assertEqual(set(chosen), {healthy.call_address})
        self.assertEqual(len(self.count_choices(self.table(suspect))), 1)

    def test_cold_upstream_starts_with_a_small_share_of_calls(self) -> None:
        cold = make_endpoint(1, serving_since_s=self.now_s - 1)
        warm = [make_endpoint(2), make_endpoint(3)]
        table = self.table(cold, *warm)
        early_calls = self.count_choices(table, 1000)[cold.call_address]
        self.now_s += 20
        late_calls = self.count_choices(table, 1000)[cold.call_address]
        self.assertLess(early_calls, 120)
        self.assertGreater(late_calls, 250)

    def test_tried_upstreams_are_excluded(self) -> None:
        only = make_endpoint(1)
        table = self.table(only)
        route = table.route_of("", "/search/x", "GET")
        assert route is not None
        self.assertIsNone(self.chooser.choose(table, route, {only.call_address}))

    def test_service_without_upstreams_has_no_choice(self) -> None:
        self.assertEqual(self.count_choices(self.table()), Counter())


class TestRetryBudget(unittest.TestCase):
    """Limit of retries to a share of calls."""

    def test_retries_are_bounded_over_many_calls(self) -> None:
        budget = RetryBudget(share=0.1, burst=10)
        retries = 0
        for _ in range(1000):
            budget.record_call()
            retries += budget.take_retry()
        self.assertLessEqual(retries, 1000 * 0.1 + 10)
        self.assertGreaterEqual(retries, 1000 * 0.1)


class TestSubset(unittest.TestCase):
    """A node connects to a limited, stable and evenly spread subset of a service."""

    def test_small_service_is_used_completely(self) -> None:
        endpoints = [make_endpoint(number) for number in range(1, 9)]
        self.assertEqual(list(select_subset(NODE, endpoints, 16)), endpoints)

    def test_subset_of_large_service_keeps_other_zones(self) -> None:
        zones = ("glasgow", "perth", "stirling")
        endpoints = [make_endpoint(n, zone=zones[n % 3]) for n in range(60)]
        chosen = select_subset(NODE, endpoints, 16)
        self.assertEqual(len(set(chosen)), 16)
        self.assertEqual(sum(e.zone == "glasgow" for e in chosen), 8)

    def test_subsets_of_many_callers_spread_the_load(self) -> None:
        endpoints = [make_endpoint(n, zone="far") for n in range(64)]
        counts: Counter[str] = Counter()
        for caller in range(256):
            node = replace(NODE, address=f"10.9.{caller}.1:2")
            counts.update(e.call_address for e in select_subset(node, endpoints, 16))
        self.assertEqual(len(counts), 64)
        self.assertLess(max(counts.values()), 2 * 64)
