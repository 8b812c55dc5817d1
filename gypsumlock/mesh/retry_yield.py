"""Decides which services' retries give way while the retry budget is short.

Designed for a service whose calls fail because another service fails the calls that
they make. A retry of the former runs everything once more, and mostly fails again; one
of the latter mostly succeeds and saves the run that made the call. Nodes can't tell
nested calls from others, but they see which service's retries succeed.
"""

from __future__ import annotations

from gypsumlock.mesh.recent_table import RecentTable

__all__ = ["RetryYield"]

# Weight of the newest retry in the moving share of successful ones.
SAMPLE_WEIGHT = 0.1
# Retries of a service before its share says anything.
MIN_RETRIES = 10
# A service gives way to one whose retries succeed more often by this share.
MIN_DIFFERENCE = 0.3
# Time for which a service counts as short of retries after one was denied, in seconds.
SHORTAGE_S = 1.0


class RetryYield:
    """Shares of successful retries, and shortages, of the services of one node."""

    __slots__ = ("_denied_at_s", "_retries", "_success_shares")

    def __init__(self) -> None:
        self._success_shares: RecentTable[str, float] = RecentTable()
        self._retries: RecentTable[str, int] = RecentTable()
        # When the budget last denied a retry, for the services that lacked one.
        self._denied_at_s: dict[str, float] = {}

    def record_result(self, service: str, succeeded: bool) -> None:
        """Record whether a retry got a response other than a server error."""
        share = self._success_shares.get(service, float(succeeded))
        self._success_shares[service] = share + SAMPLE_WEIGHT * (succeeded - share)
        self._retries[service] = min(MIN_RETRIES, self._retries.get(service, 0) + 1)

    def record_denied(self, service: str, now_s: float) -> None:
        """Record that the budget had no retry for a call of a service."""
        for other, at_s in list(self._denied_at_s.items()):
            if now_s - at_s > SHORTAGE_S:
                del self._denied_at_s[other]
        self._denied_at_s[service] = now_s

    def gives_way(self, service: str, now_s: float) -> bool:
        """Return whether a retry is left to another service that lacks retries."""
        own_share = self._known_share(service)
        if own_share is None:
            return False
        for other, at_s in self._denied_at_s.items():
            share = self._known_share(other)
            if (
                now_s - at_s <= SHORTAGE_S
                and share is not None
                and share - own_share >= MIN_DIFFERENCE
            ):
                return True
        return False

    def _known_share(self, service: str) -> float | None:
        if self._retries.get(service, 0) < MIN_RETRIES:
            return None
        return self._success_shares[service]
