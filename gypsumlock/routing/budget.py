"""A retry budget: retries as a share of calls, with a small burst."""

from __future__ import annotations

from gypsumlock import defaults

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that calls fill and retries empty.

    Parameters
    ----------
    share : float
        Retries allowed for each call, between 0 and 1.
    burst : float
        Retries that may be made at once after a quiet time.
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

    def note_call(self) -> None:
        """Earn the share of one call."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take_retry(self) -> bool:
        """Spend one retry; return False when there is none left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
