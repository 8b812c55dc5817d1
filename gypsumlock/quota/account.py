"""The balance of one organisation, and the calls that wait for its tokens."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.model import Organisation
from gypsumlock.mesh.state import QuotaBounds
from gypsumlock.quota.balance import Balance, Lot
from gypsumlock.quota.parts import part_slots
from gypsumlock.result_codes import ResultCode

__all__ = ["Account", "QuotaRefusal", "Waiter"]

log = get_logger(Component.QUOTA)

# Retry-After while no granting node can be reached, in seconds.
UNAVAILABLE_RETRY_S = 0.5
# Retry-After of a call that has waited in vain for a token, in seconds.
MIN_RETRY_S = 0.1
# Age of the last grant that is logged at most, in seconds.
MAX_LOGGED_AGE_S = 999.0


@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Why a call got no token, and when to try again, in seconds."""

    code: ResultCode
    retry_after_s: float


class Waiter:
    """A call that waits for a token until a time."""

    __slots__ = ("future", "until_s")

    def __init__(
        self, future: asyncio.Future[Lot | QuotaRefusal], until_s: float
    ) -> None:
        self.future = future
        self.until_s = until_s


class Account:
    """What a node holds for one organisation.

    Parameters
    ----------
    organisation : Organisation
        The organisation, with its limit.
    bounds : QuotaBounds
        Tolerance of the quotas.
    spread : Callable[[], float]
        Returns a random time in seconds by which the next refused call is told to wait
        longer.
    """

    __slots__ = ("_spread", "balance", "bounds", "organisation", "waiters")

    def __init__(
        self,
        organisation: Organisation,
        bounds: QuotaBounds,
        spread: Callable[[], float],
    ) -> None:
        self.organisation = organisation
        self.bounds = bounds
        self._spread = spread
        self.balance = Balance(part_slots(organisation, bounds))
        self.waiters: deque[Waiter] = deque()

    def update(self, organisation: Organisation, bounds: QuotaBounds) -> None:
        """Apply the limit of another version, or changed bounds."""
        if organisation is not self.organisation or bounds is not self.bounds:
            self.organisation = organisation
            self.bounds = bounds
            self.balance.slots = part_slots(organisation, bounds)

    def serve_waiters(self, now_s: float) -> None:
        """Give the tokens that are there to the calls that have waited longest."""
        waiters = self.waiters
        while waiters:
            if waiters[0].future.done():
                waiters.popleft()
                continue
            lot = self.balance.spend(now_s)
            if lot is None:
                return
            waiters.popleft().future.set_result(lot)

    def refuse_expired(self, now_s: float) -> None:
        """Refuse the calls that have waited as long as they may."""
        waiters = self.waiters
        while waiters and waiters[0].until_s <= now_s:
            self._refuse(waiters.popleft(), self.balance.more_at_s(now_s), now_s)

    def refuse_unservable(self, now_s: float) -> None:
        """Refuse the calls for which no part will have a token in time.

        Each exhausted part is expected to have one token at the time that it named.
        """
        more_at_s = self.balance.more_at_s(now_s)
        kept: deque[Waiter] = deque()
        for waiter in self.waiters:
            index = len(kept)
            if index < len(more_at_s) and more_at_s[index] < waiter.until_s:
                kept.append(waiter)
            else:
                self._refuse(waiter, more_at_s, now_s)
        self.waiters = kept

    def _refuse(self, waiter: Waiter, more_at_s: list[float], now_s: float) -> None:
        if waiter.future.done():
            return
        if self.balance.is_exhausted(now_s):
            code = ResultCode.CALL_OVER_QUOTA
            retry_after_s = more_at_s[0] - now_s if more_at_s else MIN_RETRY_S
        else:
            code = ResultCode.CALL_QUOTA_UNAVAILABLE
            retry_after_s = UNAVAILABLE_RETRY_S
        retry_after_s += self._spread()
        age_s = min(MAX_LOGGED_AGE_S, now_s - self.balance.granted_at_s)
        log.info(
            "quota refused",
            organisation=self.organisation.name,
            code=code.value,
            retry_after_s=round(retry_after_s, 3),
            balance_age_s=round(age_s, 3),
        )
        waiter.future.set_result(QuotaRefusal(code, retry_after_s))
