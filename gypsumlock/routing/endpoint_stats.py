"""Statistics of one upstream, from this node's own observations.

The health and load that upstreams report lag or mislead, so only the outcomes of
this node's own calls are used here.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from gypsumlock.model import Limits

__all__ = ["EndpointStats", "Outcome"]

# Weight of the newest latency in the moving average.
LATENCY_WEIGHT: Final = 0.2
# Latency assumed before the first response.
INITIAL_LATENCY_S: Final = 0.01
# Time for which an upstream is tried last after it refused a call.
REFUSAL_BACKOFF_S: Final = 0.25


class Outcome(Enum):
    """How one attempt ended, as far as the upstream is concerned."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    # Cancelled, as when the client disconnects; this says nothing about the upstream.
    ABANDONED = "abandoned"


class EndpointStats:
    """Running statistics of one upstream, kept by the calling node."""

    __slots__ = (
        "_consecutive_failures",
        "ejected_until_s",
        "in_flight",
        "latency_s",
        "refused_until_s",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        # Monotonic times until which the upstream is avoided.
        self.ejected_until_s = 0.0
        self.refused_until_s = 0.0
        self._consecutive_failures = 0

    def record_start(self) -> None:
        """Record that an attempt started."""
        self.in_flight += 1

    def record_end(
        self, outcome: Outcome, latency_s: float, limits: Limits, now_s: float
    ) -> bool:
        """Record how an attempt ended; return whether this ejects the upstream.

        Parameters
        ----------
        outcome : Outcome
            How the attempt ended.
        latency_s : float
            Time from the choice of the upstream to the end of the attempt, in
            seconds.
        limits : Limits
            Number of consecutive failures that eject an upstream, and the duration
            of an ejection.
        now_s : float
            Current monotonic time.
        """
        self.in_flight -= 1
        if outcome is Outcome.ANSWERED:
            self._consecutive_failures = 0
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
            return False
        if outcome is Outcome.REFUSED:
            self.refused_until_s = now_s + REFUSAL_BACKOFF_S
            return False
        if outcome is Outcome.FAILED:
            return self._record_failure(limits, now_s)
        return False

    def expected_wait_s(self) -> float:
        """Return the expected wait at this upstream, in seconds."""
        return (self.in_flight + 1) * self.latency_s

    def _record_failure(self, limits: Limits, now_s: float) -> bool:
        self._consecutive_failures += 1
        if self._consecutive_failures < limits.ejection_failures:
            return False
        self._consecutive_failures = 0
        self.ejected_until_s = now_s + limits.ejection_s
        return True
