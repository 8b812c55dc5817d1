"""Estimates how long the pongs of another node take."""

from __future__ import annotations

__all__ = ["RoundTripEstimator"]

# Longest extension of the timeouts for slow pongs.
MAX_EXTRA_TIMEOUT_S = 1.0
# Smoothing of the round-trip time as in TCP (RFC 6298): weights of a new sample in the
# mean and in the deviation, and number of deviations added to the mean.
ROUND_TRIP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0


class RoundTripEstimator:
    """Moving mean and deviation of the time from a ping to its pong."""

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add_sample(self, took_s: float) -> None:
        """Add the measured time of one pong."""
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += ROUND_TRIP_WEIGHT * (took_s - self._mean_s)

    def extra_timeout_s(self) -> float:
        """Return the extension of the timeouts for slow pongs, in seconds."""
        return min(
            MAX_EXTRA_TIMEOUT_S, self._mean_s + DEVIATION_FACTOR * self._deviation_s
        )
