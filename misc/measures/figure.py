"""Measured figures, quantiles and CPU time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import psutil

__all__ = ["Figure", "cpu_time_s", "quantile"]


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value, printed as one line and compared with a target, if any."""

    measure: str
    value: float
    unit: str
    # None if the requirements give no target.
    target: float | None = None
    better: Literal["lower", "higher"] = "lower"


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of all values lies; 0 if there are none.

    The fraction is between 0 and 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cpu_time_s(process: psutil.Process) -> float:
    """Return the CPU time that a process has used, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)
