"""The number of calls that an upstream is given at once, learnt from latency.

The limit starts low for a cold upstream, grows while it is used up and
latency stays near the best seen, and shrinks when latency rises above that. It
never exceeds the slots that the upstream announced.
"""

from __future__ import annotations

from typing import Final

from gypsumlock import defaults

__all__ = ["ConcurrencyLimit"]

# Shares of the slots that a cold upstream starts with, and that always stay.
START_LIMIT_SHARE: Final = 0.5
MIN_LIMIT_SHARE: Final = 0.25
SHRINK_FACTOR: Final = 0.9
# Growth of the remembered best latency in each window, so that it is forgotten.
BEST_LATENCY_DECAY: Final = 1.02
# Weight of the newest latency in the moving average.
LATENCY_WEIGHT: Final = 0.1


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease between two bounds.

    Parameters
    ----------
    slots : int
        Calls that the upstream announced it can run at once.
    tolerance : float
        Window latency above the best one at which the limit shrinks, as a
        factor.
    """

    __slots__ = (
        "_best_s",
        "_limit",
        "_mean_s",
        "_saturated",
        "_slots",
        "_tolerance",
        "_window_count",
        "_window_s",
    )

    def __init__(
        self, slots: int, tolerance: float = defaults.LIMIT_LATENCY_TOLERANCE
    ) -> None:
        self._slots = slots
        self._tolerance = tolerance
        self._limit = max(1.0, slots * START_LIMIT_SHARE)
        self._best_s: float | None = None
        self._mean_s: float | None = None
        self._window_s = 0.0
        self._window_count = 0
        # True when the limit was used up at some time in the window.
        self._saturated = False

    @property
    def value(self) -> int:
        """Calls that may run at once."""
        return int(self._limit)

    @property
    def service_time_s(self) -> float:
        """Moving average of the time that one call takes, in seconds."""
        return self._mean_s or 0.0

    def set_slots(self, slots: int) -> None:
        """Take over a changed announcement; more slots start cold."""
        if slots != self._slots:
            self._slots = slots
            self._limit = max(1.0, slots * START_LIMIT_SHARE)

    def note_call(self, latency_s: float, in_flight: int) -> None:
        """Learn from one finished call.

        Parameters
        ----------
        latency_s : float
            Time that the upstream took, in seconds.
        in_flight : int
            Calls that ran when it finished, this one included.
        """
        mean_s = latency_s if self._mean_s is None else self._mean_s
        self._mean_s = mean_s + LATENCY_WEIGHT * (latency_s - mean_s)
        self._saturated = self._saturated or in_flight >= self.value
        self._window_s += latency_s
        self._window_count += 1
        if self._window_count >= defaults.LIMIT_WINDOW_CALLS:
            self._close_window()

    def _close_window(self) -> None:
        average_s = self._window_s / self._window_count
        best_s = average_s if self._best_s is None else self._best_s
        self._best_s = min(average_s, best_s * BEST_LATENCY_DECAY)
        if average_s > self._tolerance * self._best_s:
            floor = max(1.0, self._slots * MIN_LIMIT_SHARE)
            self._limit = max(floor, self._limit * SHRINK_FACTOR)
        elif self._saturated:
            self._limit = min(float(self._slots), self._limit + 1)
        self._window_s = 0.0
        self._window_count = 0
        self._saturated = False
