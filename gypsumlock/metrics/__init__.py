"""Counters and histograms of one node."""

from gypsumlock.metrics.metrics import HistogramSummary, Metrics, MetricsReport

__all__ = ["HistogramSummary", "Metrics", "MetricsReport"]
