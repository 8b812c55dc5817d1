"""Memory of what a node keeps by a name that comes from outside."""

from __future__ import annotations

import tracemalloc
import unittest
from collections.abc import Callable

from gypsumlock.mesh.load_estimates import ServiceTimes
from gypsumlock.mesh.model import OwnerLoad, RouteSpec, ServiceShare
from gypsumlock.mesh.placement import UpstreamView
from gypsumlock.mesh.request_age import RequestAgeEstimator
from gypsumlock.mesh.retry_budget import RetryBudgets
from gypsumlock.mesh.weighted_round_robin import WeightedRoundRobin
from gypsumlock.metrics import Metrics

VERSIONS = 20
ROUTES_PER_VERSION = 2000
VERSION_INTERVAL_S = 60.0
# What a table may grow by for each name after the second version, as noise: one that is
# kept takes 50 bytes and more.
MAX_GROWTH_BYTES_PER_NAME = 10


class TestTablesByRoute(unittest.TestCase):
    """Each version replaces all routes, and all of them are called."""

    def check_flat(self, record: Callable[[RouteSpec, float], object]) -> None:
        """Check that what records the calls does not grow after the second version."""
        shares = (ServiceShare("finder", 2.0), ServiceShare("ledger", 1.0))
        sizes_bytes = []
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for version in range(VERSIONS):
            for number in range(ROUTES_PER_VERSION):
                name = f"route-{version}-{number}"
                route = RouteSpec(name, "a", f"/{name}/", True, 2.0, 1.0, 1, 2, shares)
                record(route, VERSION_INTERVAL_S * version)
            sizes_bytes.append(tracemalloc.get_traced_memory()[0])
        growth_bytes = max(sizes_bytes[2:]) - max(sizes_bytes[:2])
        later_names = (VERSIONS - 2) * ROUTES_PER_VERSION
        self.assertLess(growth_bytes, MAX_GROWTH_BYTES_PER_NAME * later_names)

    def test_service_times(self) -> None:
        times = ServiceTimes()
        self.check_flat(lambda route, _: times.record(route.name, 0.1))

    def test_service_times_of_other_upstreams(self) -> None:
        view = UpstreamView("n-1", "i-1", "a", 10.0)
        load = OwnerLoad(service_s=0.1)
        self.check_flat(lambda route, now_s: view.record_load(route.name, load, now_s))

    def test_timeouts_of_clients(self) -> None:
        ages = RequestAgeEstimator()
        self.check_flat(lambda route, now_s: ages.age_s(route.name, 1.0, now_s))

    def test_retry_budgets(self) -> None:
        budgets = RetryBudgets(10.0)
        self.check_flat(
            lambda route, now_s: budgets.record_first_attempt("a", route.name, now_s)
        )

    def test_weighted_round_robin(self) -> None:
        round_robin = WeightedRoundRobin()
        self.check_flat(lambda route, _: round_robin.choose_service(route))

    def test_latencies(self) -> None:
        metrics = Metrics()
        self.check_flat(lambda route, _: metrics.record_latency(route.name, 0.1))
        counts = [summary.count for summary in metrics.report().latencies.values()]
        self.assertEqual(sum(counts), VERSIONS * ROUTES_PER_VERSION)
