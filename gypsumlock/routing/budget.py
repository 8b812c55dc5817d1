"""Retry budget, which limits retries to a share of calls plus a small burst."""

from __future__ import annotations

from gypsumlock import defaults

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that calls refill and retries drain.

    Parameters
    ----------
    share : float
        Retries allowed per call, between 0 and 1.
    burst : float
        Capacity of the bucket: retries that may be made at once after a period
        without retries.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(
        self,
        share: float = defaults.RETRY_BUDGET_SHARE,
        burst: float = defaults.RETRY_BUDGET_BURST,
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_call(self) -> None:
        """Add the share of one call to the bucket."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take_retry(self) -> bool:
        """Take one retry from the bucket; return False if there is none left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
