"""Counters and latency histograms that can be read while the node runs.

A configuration has thousands of routes, of which most are seldom called. The memory
for their latencies is bounded: a route has a histogram of its own only if it is called
often, and only the first such routes have one. Of the other routes only those called
last are kept apart.
"""

from __future__ import annotations

import math
from array import array
from collections import Counter
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramSummary", "Metrics", "MetricsReport"]

# Range of the histograms, in microseconds, and their precision.
MIN_VALUE_US: Final = 1
MAX_VALUE_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
# Values that a label has before they move to a histogram, which takes some 25 KB.
MAX_SINGLE_VALUES: Final = 32
# Labels with single values. Those of the oldest go to the shared histogram after that.
MAX_SINGLE_LABELS: Final = 4096
# Labels with a histogram of their own. Others share one after that.
MAX_HISTOGRAMS: Final = 100
SHARED_LABEL: Final = "(other)"


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

    __slots__ = ("_convergence", "_counters", "_latencies", "_single_values_us")

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        # Values of labels that have no histogram yet.
        self._single_values_us: dict[str, array[int]] = {}
        # Time from the acceptance of a version until it is in force on this node.
        self._convergence = _new_histogram()

    def increment(self, name: str) -> None:
        """Add one to a counter."""
        self._counters[name] += 1

    def record_latency(self, label: str, latency_s: float) -> None:
        """Record the latency of a call, in seconds, under its rank or route name."""
        value_us = _to_us(latency_s)
        histogram = self._latencies.get(label)
        if histogram is not None:
            histogram.record_value(value_us)
            return
        values_us = self._single_values_us.setdefault(label, array("L"))
        values_us.append(value_us)
        if len(values_us) >= MAX_SINGLE_VALUES:
            has_room = len(self._latencies) < MAX_HISTOGRAMS
            self._move_to_histogram(label, label if has_room else SHARED_LABEL)
        elif len(self._single_values_us) > MAX_SINGLE_LABELS:
            self._move_to_histogram(next(iter(self._single_values_us)), SHARED_LABEL)

    def _move_to_histogram(self, moved_label: str, label: str) -> None:
        """Move the single values of one label to the histogram of another."""
        values_us = self._single_values_us.pop(moved_label)
        if label not in self._latencies:
            self._latencies[label] = _new_histogram()
        _record_all(self._latencies[label], values_us)

    def record_convergence(self, duration_s: float) -> None:
        """Record the time from acceptance until in force on this node, in seconds."""
        self._convergence.record_value(_to_us(duration_s))

    def report(self) -> MetricsReport:
        """Return the current values of all metrics."""
        latencies = {
            label: _summarize(histogram) for label, histogram in self._latencies.items()
        }
        for label, values_us in self._single_values_us.items():
            latencies[label] = _summarize_values(values_us)
        return MetricsReport(
            counters=dict(self._counters),
            latencies=latencies,
            convergence=_summarize(self._convergence),
        )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS)


def _record_all(histogram: HdrHistogram, values_us: array[int]) -> None:
    for value_us in values_us:
        histogram.record_value(value_us)


def _to_us(duration_s: float) -> int:
    return min(MAX_VALUE_US, max(MIN_VALUE_US, int(duration_s * 1_000_000)))


def _summarize_values(values_us: array[int]) -> HistogramSummary:
    ordered_us = sorted(values_us)
    count = len(ordered_us)
    return HistogramSummary(
        count=count,
        p50_ms=ordered_us[math.ceil(0.50 * count) - 1] / 1000,
        p99_ms=ordered_us[math.ceil(0.99 * count) - 1] / 1000,
        max_ms=ordered_us[-1] / 1000,
    )


def _summarize(histogram: HdrHistogram) -> HistogramSummary:
    return HistogramSummary(
        count=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=histogram.get_max_value() / 1000,
    )
