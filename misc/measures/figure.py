"""One measured figure, percentiles, and processor time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import psutil

__all__ = ["Figure", "cpu_time_s", "quantile"]


@dataclass(frozen=True, slots=True)
class Figure:
    """One line of a measurement's output."""

    measure: str
    value: float
    unit: str
    # None where the brief and the letters give no target.
    target: float | None = None
    better: Literal["lower", "higher"] = "lower"


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of all values lies; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def cpu_time_s(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)
