"""What this node has seen itself of one upstream.

Health and load endpoints of upstreams lag or mislead, so only the outcomes of
this node's own calls count here.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from gypsumlock.model import Limits

__all__ = ["EndpointStats", "Outcome"]

# Weight of the newest latency in the moving average.
LATENCY_WEIGHT: Final = 0.2
# Latency assumed before the first answer.
FIRST_LATENCY_S: Final = 0.01
# Time for which an upstream that refused a call is tried last.
REFUSAL_COOL_DOWN_S: Final = 0.25


class Outcome(Enum):
    """How one attempt ended, as far as the upstream is concerned."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    # The caller went away; says nothing about the upstream.
    ABANDONED = "abandoned"


class EndpointStats:
    """Running figures of one upstream, kept by the calling node."""

    __slots__ = (
        "_consecutive_failures",
        "ejected_until_s",
        "in_flight",
        "latency_s",
        "refused_until_s",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = FIRST_LATENCY_S
        # Monotonic times; the upstream is avoided until then.
        self.ejected_until_s = 0.0
        self.refused_until_s = 0.0
        self._consecutive_failures = 0

    def record_start(self) -> None:
        """Note that a call was sent."""
        self.in_flight += 1

    def record_end(
        self, outcome: Outcome, latency_s: float, limits: Limits, now_s: float
    ) -> bool:
        """Note how a call ended; return True when it ejects the upstream.

        Parameters
        ----------
        outcome : Outcome
            How the attempt ended.
        latency_s : float
            Time from choice to the head of the answer, in seconds.
        limits : Limits
            Failures before an ejection, and its length.
        now_s : float
            Monotonic time.
        """
        self.in_flight -= 1
        if outcome is Outcome.ANSWERED:
            self._consecutive_failures = 0
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
            return False
        if outcome is Outcome.REFUSED:
            self.refused_until_s = now_s + REFUSAL_COOL_DOWN_S
            return False
        if outcome is Outcome.FAILED:
            return self._fail(limits, now_s)
        return False

    def cost(self) -> float:
        """Return the expected wait at this upstream, in seconds."""
        return (self.in_flight + 1) * self.latency_s

    def _fail(self, limits: Limits, now_s: float) -> bool:
        self._consecutive_failures += 1
        if self._consecutive_failures < limits.ejection_failures:
            return False
        self._consecutive_failures = 0
        self.ejected_until_s = now_s + limits.ejection_s
        return True
