"""Counters and latency histograms that can be read while the node runs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramSummary", "Metrics", "MetricsReport"]

# Range of the histograms, in microseconds, and their precision.
MIN_VALUE_US: Final = 1
MAX_VALUE_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Number of values of one histogram, and percentiles in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class MetricsReport:
    """Values of all metrics at one point in time."""

    counters: dict[str, int]
    # By rank or route name.
    latencies: dict[str, HistogramSummary]
    convergence: HistogramSummary


class Metrics:
    """Counters and histograms of one node since its start."""

    __slots__ = ("_convergence", "_counters", "_latencies")

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        # Time from the acceptance of a version until it is in force on this node.
        self._convergence = _new_histogram()

    def increment(self, name: str) -> None:
        """Add one to a counter."""
        self._counters[name] += 1

    def record_latency(self, label: str, latency_s: float) -> None:
        """Record the latency of a call, in seconds, under its rank or route name."""
        if label not in self._latencies:
            self._latencies[label] = _new_histogram()
        self._latencies[label].record_value(_to_us(latency_s))

    def record_convergence(self, duration_s: float) -> None:
        """Record the time from acceptance until in force on this node, in seconds."""
        self._convergence.record_value(_to_us(duration_s))

    def report(self) -> MetricsReport:
        """Return the current values of all metrics."""
        return MetricsReport(
            counters=dict(self._counters),
            latencies={
                label: _summarize(histogram)
                for label, histogram in self._latencies.items()
            },
            convergence=_summarize(self._convergence),
        )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS)


def _to_us(duration_s: float) -> int:
    return min(MAX_VALUE_US, max(MIN_VALUE_US, int(duration_s * 1_000_000)))


def _summarize(histogram: HdrHistogram) -> HistogramSummary:
    return HistogramSummary(
        count=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=histogram.get_max_value() / 1000,
    )
