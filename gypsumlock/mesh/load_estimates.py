"""What an owner learns of its load: how long calls take, and how many slots they want.

Pure: driven by samples and a monotonic time.
"""

from __future__ import annotations

import math

__all__ = ["DEMAND_WINDOW_S", "FIRST_SERVICE_S", "Demand", "ServiceTimes", "Urgency"]

# Rank and latency target of a class of calls; smaller is more urgent.
Urgency = tuple[int, float]

# Weight of the newest sample in the moving mean of service times.
SAMPLE_WEIGHT = 0.1
# Assumed time in the upstream before the first sample, in seconds.
FIRST_SERVICE_S = 0.1
# Mean deviations added to the mean time for an estimate on the safe side.
SAFE_DEVIATIONS = 2.0
# Time over which the demand of a class of calls is averaged, in seconds.
DEMAND_WINDOW_S = 2.0


class ServiceTimes:
    """Moving mean and mean deviation of the time in the upstream, by route."""

    __slots__ = ("_deviation_s", "_mean_s", "overall_mean_s")

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._deviation_s: dict[str, float] = {}
        self.overall_mean_s = FIRST_SERVICE_S

    def note(self, route: str, service_s: float) -> None:
        """Take one sample in."""
        mean_s = self._mean_s.get(route, service_s)
        off_s = abs(service_s - mean_s)
        deviation_s = self._deviation_s.get(route, off_s)
        self._mean_s[route] = mean_s + SAMPLE_WEIGHT * (service_s - mean_s)
        self._deviation_s[route] = deviation_s + SAMPLE_WEIGHT * (off_s - deviation_s)
        self.overall_mean_s += SAMPLE_WEIGHT * (service_s - self.overall_mean_s)

    def of(self, route: str) -> float:
        """Return the expected time for a route, in seconds."""
        return self._mean_s.get(route, self.overall_mean_s)

    def safe(self, route: str) -> float:
        """Return a time that most calls of a route don't exceed, in seconds."""
        spread_s = SAFE_DEVIATIONS * self._deviation_s.get(route, 0.0)
        return self.of(route) + spread_s

    def observed_mean_s(self, route: str) -> float:
        """Return the mean for a route, or 0 before its first sample."""
        return self._mean_s.get(route, 0.0)


class Demand:
    """Slots that each class of calls keeps busy, averaged over a short time.

    A class is a rank and a latency target: the urgency of its calls.
    """

    __slots__ = ("_at_s", "_slots")

    def __init__(self) -> None:
        self._slots: dict[Urgency, float] = {}
        self._at_s = 0.0

    def note(self, urgency: Urgency, service_s: float, now_s: float) -> None:
        """Count a call that asks for a slot."""
        faded = math.exp((self._at_s - now_s) / DEMAND_WINDOW_S)
        self._at_s = now_s
        for known in self._slots:
            self._slots[known] *= faded
        added = service_s / DEMAND_WINDOW_S
        self._slots[urgency] = self._slots.get(urgency, 0.0) + added

    def above(self, urgency: Urgency) -> float:
        """Return the slots that more urgent classes keep busy."""
        return sum(slots for known, slots in self._slots.items() if known < urgency)
