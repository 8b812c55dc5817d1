"""Estimates of the service times of calls and of the slots that they occupy.

Does no I/O and reads no clock: samples and monotonic times are passed in.
"""

from __future__ import annotations

import math

from gypsumlock.mesh.recent_table import RecentTable

__all__ = [
    "DEMAND_WINDOW_S",
    "INITIAL_SERVICE_S",
    "Priority",
    "ServiceTimes",
    "SlotDemand",
]

# Rank and latency target of a class of calls; a smaller tuple is more urgent.
Priority = tuple[int, float]

# Weight of the newest sample in the moving averages of service times.
SAMPLE_WEIGHT = 0.1
# Service time assumed before the first sample, in seconds.
INITIAL_SERVICE_S = 0.1
# Mean deviations added to the mean service time for a conservative estimate.
CONSERVATIVE_DEVIATIONS = 2.0
# Time constant of the average of slot demand, in seconds.
DEMAND_WINDOW_S = 2.0


class ServiceTimes:
    """Moving mean and mean deviation of the service times of each route.

    The service time of a call is the time that it spends in the upstream.
    """

    __slots__ = ("_deviation_s", "_mean_s", "overall_mean_s")

    def __init__(self) -> None:
        self._mean_s: RecentTable[str, float] = RecentTable()
        self._deviation_s: RecentTable[str, float] = RecentTable()
        self.overall_mean_s = INITIAL_SERVICE_S

    def record(self, route: str, service_s: float) -> None:
        """Add a sample."""
        mean_s = self._mean_s.get(route, service_s)
        sample_deviation_s = abs(service_s - mean_s)
        deviation_s = self._deviation_s.get(route, sample_deviation_s)
        self._mean_s[route] = mean_s + SAMPLE_WEIGHT * (service_s - mean_s)
        self._deviation_s[route] = deviation_s + SAMPLE_WEIGHT * (
            sample_deviation_s - deviation_s
        )
        self.overall_mean_s += SAMPLE_WEIGHT * (service_s - self.overall_mean_s)

    def expected_s(self, route: str) -> float:
        """Return the expected service time of a route, in seconds."""
        return self._mean_s.get(route, self.overall_mean_s)

    def conservative_s(self, route: str) -> float:
        """Return a service time that most calls of a route don't exceed, in seconds."""
        margin_s = CONSERVATIVE_DEVIATIONS * self._deviation_s.get(route, 0.0)
        return self.expected_s(route) + margin_s

    def observed_mean_s(self, route: str) -> float:
        """Return the mean of a route in seconds, or 0 before its first sample."""
        return self._mean_s.get(route, 0.0)


class SlotDemand:
    """Mean number of slots that each class of calls needs.

    Calls of the same rank and latency target form a class. The mean decays
    exponentially over `DEMAND_WINDOW_S`.
    """

    __slots__ = ("_service_s", "_slots", "_updated_at_s")

    def __init__(self) -> None:
        self._slots: dict[Priority, float] = {}
        # Latest expected service time of each class, in seconds.
        self._service_s: dict[Priority, float] = {}
        self._updated_at_s = 0.0

    def record(self, priority: Priority, service_s: float, now_s: float) -> None:
        """Add the expected service time of a call that asks for a slot."""
        decay = self._decay(now_s)
        self._updated_at_s = now_s
        for other in self._slots:
            self._slots[other] *= decay
        added_slots = service_s / DEMAND_WINDOW_S
        self._slots[priority] = self._slots.get(priority, 0.0) + added_slots
        self._service_s[priority] = service_s

    def slots_above(
        self, priority: Priority, now_s: float, max_slack_s: float = math.inf
    ) -> float:
        """Return the number of slots that more urgent classes need.

        Parameters
        ----------
        priority : tuple[int, float]
            Only classes that are more urgent than this one count.
        now_s : float
            Monotonic time.
        max_slack_s : float
            Only classes that can wait for a slot for less than this time count.
        """
        classes = self.classes_above(priority, max_slack_s)
        return self._decay(now_s) * sum(self._slots[other] for other in classes)

    def classes_above(
        self, priority: Priority, max_slack_s: float = math.inf
    ) -> list[Priority]:
        """Return the classes that `slots_above` counts."""
        return [
            (rank, target_s)
            for rank, target_s in self._slots
            if (rank, target_s) < priority
            and target_s - self._service_s[rank, target_s] < max_slack_s
        ]

    def _decay(self, now_s: float) -> float:
        """Return the factor by which the demand has decayed since the last call."""
        return math.exp((self._updated_at_s - now_s) / DEMAND_WINDOW_S)
