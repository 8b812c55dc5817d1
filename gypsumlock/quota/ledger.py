"""Grants the tokens of all parts that belong to one granting slot.

The load it is for: many nodes that each ask for one token, or for the tokens of a
short time; an organisation that sends up to nine times its usual demand, so that most
requests for it are denied. Those are told different times at which there will be more:
one request for each token that accrues, so that requests come in no faster than tokens.

Invariant: a ledger belongs to one fencing token, and starts with empty buckets.
"""

from __future__ import annotations

from gypsumlock.quota.bucket import TokenBucket
from gypsumlock.quota.parts import PartLimit

__all__ = ["GrantLedger"]

# Longest time for which denied requests are spread, in seconds. Clients wait for no
# longer than about that.
MAX_SPREAD_S = 1.0
# Buckets of organisations that this node does not know yet, at most.
MAX_UNKNOWN = 1000


class _Account:
    """Bucket of one part, and what was promised to those that were denied."""

    __slots__ = ("bucket", "promised_until_s")

    def __init__(self, limit: PartLimit, now_s: float) -> None:
        self.bucket = TokenBucket(limit, now_s)
        self.promised_until_s = now_s


class GrantLedger:
    """Buckets of one slot's parts.

    Parameters
    ----------
    token : int
        Fencing token under which the slot is held.
    """

    __slots__ = ("_accounts", "_known", "token")

    def __init__(self, token: int) -> None:
        self.token = token
        # Organisations of this node's configuration.
        self._known: set[str] = set()
        self._accounts: dict[str, _Account] = {}

    def set_limits(self, limits: dict[str, PartLimit], now_s: float) -> None:
        """Apply the limits of a configuration version, by organisation."""
        self._known = set(limits)
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
        for name, limit in limits.items():
            self._set_limit(name, limit, now_s)

    def apply_newer_limit(self, name: str, limit: PartLimit, now_s: float) -> None:
        """Apply a limit of a version that is newer than this node's configuration."""
        if name in self._known or len(self._accounts) < len(self._known) + MAX_UNKNOWN:
            self._set_limit(name, limit, now_s)

    def _set_limit(self, name: str, limit: PartLimit, now_s: float) -> None:
        account = self._accounts.get(name)
        if account is None:
            self._accounts[name] = _Account(limit, now_s)
        else:
            account.bucket.set_limit(limit, now_s)

    def has(self, name: str) -> bool:
        """Return whether an organisation has a limit here."""
        return name in self._accounts

    def level(self, name: str, now_s: float) -> float:
        """Return the number of tokens that an organisation has left here."""
        return self._accounts[name].bucket.level(now_s)

    def give_back(
        self, name: str, count: int, granted_at_s: float, now_s: float
    ) -> None:
        """Take back tokens of an organisation that were not used."""
        self._accounts[name].bucket.give_back(count, granted_at_s, now_s)

    def grant(self, name: str, wanted: int, now_s: float) -> tuple[int, float]:
        """Grant tokens of an organisation.

        Returns
        -------
        tuple[int, float]
            The number of tokens, and if it is less than wanted, the time until there
            will be one more for this request, in seconds.
        """
        account = self._accounts[name]
        count = account.bucket.take(wanted, now_s)
        if count == wanted:
            return count, 0.0
        soonest_s = now_s + account.bucket.time_until_token_s(now_s)
        latest_s = max(soonest_s, now_s + MAX_SPREAD_S)
        more_at_s = min(max(soonest_s, account.promised_until_s), latest_s)
        token_interval_s = 1 / account.bucket.limit.rate_per_s
        account.promised_until_s = more_at_s + token_interval_s
        return count, more_at_s - now_s
