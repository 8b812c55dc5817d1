"""Latencies by route, and the memory that they take."""

from __future__ import annotations

import unittest

from gypsumlock.metrics import Metrics
from gypsumlock.metrics.metrics import MAX_HISTOGRAMS
from tests.test_memory_bounds import peak_memory_bytes

ROUTES = 4000
# What a route may cost, its name included.
MAX_ROUTE_BYTES = 600
MAX_HISTOGRAM_BYTES = 30_000


class TestLatencies(unittest.TestCase):
    """Summaries of the latencies of routes."""

    def record(self, metrics: Metrics, calls_per_route: int) -> None:
        """Record calls on many routes."""
        for number in range(ROUTES):
            for _ in range(calls_per_route):
                metrics.record_latency(f"route-{number}", 0.1)

    # Each route that was called once cost a node 25 KB for good; it was killed.
    def test_seldom_called_routes_take_little_memory(self) -> None:
        metrics = Metrics()
        peak_bytes = peak_memory_bytes(lambda: self.record(metrics, 3))
        self.assertLess(peak_bytes, ROUTES * MAX_ROUTE_BYTES)
        self.assertEqual(metrics.report().latencies["route-5"].count, 3)

    def test_often_called_routes_take_bounded_memory(self) -> None:
        metrics = Metrics()
        peak_bytes = peak_memory_bytes(lambda: self.record(metrics, 40))
        max_bytes = MAX_HISTOGRAMS * MAX_HISTOGRAM_BYTES + ROUTES * MAX_ROUTE_BYTES
        self.assertLess(peak_bytes, max_bytes)
        counts = [summary.count for summary in metrics.report().latencies.values()]
        self.assertEqual(sum(counts), 40 * ROUTES)

    def test_summary_is_the_same_in_a_histogram(self) -> None:
        few, many = Metrics(), Metrics()
        for number in range(1, 21):
            few.record_latency("a", number / 1000)
            for _ in range(10):
                many.record_latency("a", number / 1000)
        one, other = (x.report().latencies["a"] for x in (few, many))
        self.assertEqual((one.count, other.count), (20, 200))
        for name in ("p50_ms", "p99_ms", "max_ms"):
            value = getattr(one, name)
            self.assertAlmostEqual(getattr(other, name), value, delta=0.02 * value)
