"""Adaptive limit on the concurrent calls to an upstream, derived from latency.

The limit starts low for a cold upstream, grows while it is reached and latency
stays near the best observed, and shrinks when latency rises above that. It never
exceeds the number of slots that the upstream announced.
"""

from __future__ import annotations

from typing import Final

from gypsumlock import defaults

__all__ = ["ConcurrencyLimit"]

# Initial limit of a cold upstream and lower bound, as shares of the announced slots.
INITIAL_LIMIT_SHARE: Final = 0.5
MIN_LIMIT_SHARE: Final = 0.25
SHRINK_FACTOR: Final = 0.9
# Factor by which the best latency rises in each window, so that old values expire.
BEST_LATENCY_GROWTH: Final = 1.02
# Weight of the newest latency in the moving average.
LATENCY_WEIGHT: Final = 0.1


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease (AIMD).

    The limit stays between two bounds: a share of the slots, and all of them.

    Parameters
    ----------
    slots : int
        Number of calls that the upstream announced it can run at once.
    tolerance : float
        Ratio of the mean latency of a window to the best latency above which the
        limit shrinks.
    """

    __slots__ = (
        "_best_latency_s",
        "_limit",
        "_limit_reached",
        "_mean_latency_s",
        "_slots",
        "_tolerance",
        "_window_calls",
        "_window_latency_s",
    )

    def __init__(
        self, slots: int, tolerance: float = defaults.LIMIT_LATENCY_TOLERANCE
    ) -> None:
        self._slots = slots
        self._tolerance = tolerance
        self._limit = max(1.0, slots * INITIAL_LIMIT_SHARE)
        self._best_latency_s: float | None = None
        self._mean_latency_s: float | None = None
        self._window_latency_s = 0.0
        self._window_calls = 0
        # Whether the limit was reached at any time in the window.
        self._limit_reached = False

    @property
    def value(self) -> int:
        """Number of calls that may run at once."""
        return int(self._limit)

    @property
    def service_time_s(self) -> float:
        """Moving average of the latency of a call, in seconds."""
        return self._mean_latency_s or 0.0

    def set_slots(self, slots: int) -> None:
        """Apply a changed number of announced slots; added slots start cold.

        The limit restarts at its initial share of the slots.
        """
        if slots != self._slots:
            self._slots = slots
            self._limit = max(1.0, slots * INITIAL_LIMIT_SHARE)

    def record_call(self, latency_s: float, in_flight: int) -> None:
        """Record a finished call and adjust the limit at the end of each window.

        Parameters
        ----------
        latency_s : float
            Time from the grant of the slot to its release, in seconds.
        in_flight : int
            Number of calls in flight when it finished, including this one.
        """
        mean_s = latency_s if self._mean_latency_s is None else self._mean_latency_s
        self._mean_latency_s = mean_s + LATENCY_WEIGHT * (latency_s - mean_s)
        self._limit_reached = self._limit_reached or in_flight >= self.value
        self._window_latency_s += latency_s
        self._window_calls += 1
        if self._window_calls >= defaults.LIMIT_WINDOW_CALLS:
            self._close_window()

    def _close_window(self) -> None:
        window_mean_s = self._window_latency_s / self._window_calls
        best_s = window_mean_s if self._best_latency_s is None else self._best_latency_s
        self._best_latency_s = min(window_mean_s, best_s * BEST_LATENCY_GROWTH)
        if window_mean_s > self._tolerance * self._best_latency_s:
            min_limit = max(1.0, self._slots * MIN_LIMIT_SHARE)
            self._limit = max(min_limit, self._limit * SHRINK_FACTOR)
        elif self._limit_reached:
            self._limit = min(float(self._slots), self._limit + 1)
        self._window_latency_s = 0.0
        self._window_calls = 0
        self._limit_reached = False
