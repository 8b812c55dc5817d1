"""Charges calls to the quotas of their organisations.

Phases of a charge:
1. Spend a token of the local balance; nothing else happens on that path.
2. Without one, ask the holder of a part; see `requests.py`.
3. A part that is exhausted, or does not answer in time: ask the next one.
4. No part left: refuse the call at once, unless a part will have a token within the
   time that a call may wait.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.model import Organisation
from gypsumlock.mesh.quota_messages import Grant
from gypsumlock.mesh.state import MeshState, QuotaBounds
from gypsumlock.metrics import Metrics
from gypsumlock.quota.account import Account, QuotaRefusal, Waiter
from gypsumlock.quota.balance import Lot
from gypsumlock.quota.granter import QuotaGranter
from gypsumlock.quota.parts import grant_lifetime_s
from gypsumlock.quota.requests import GrantRequests

__all__ = ["QuotaClient"]

# Longest time that a call waits for a token, in seconds.
MAX_WAIT_S = 0.15
# Interval at which late requests and waiting calls are checked, in seconds.
SWEEP_INTERVAL_S = 0.02
# Spread of Retry-After beyond the time at which there will be a token, in seconds.
RETRY_SPREAD_S = 0.2


class QuotaClient:
    """Charges calls, and refunds those that no upstream has received.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Connections to the other nodes.
    granter : QuotaGranter
        Grants the tokens of the slots that this node holds itself.
    metrics : Metrics
        Counts charges and refunds.
    rng : random.Random
        Source of the jitter of Retry-After.
    clock : Callable[[], float]
        Returns the time in seconds; goes on during a suspension.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_loop",
        "_metrics",
        "_requests",
        "_rng",
        "_state",
        "_sweep_timer",
        "_version",
    )

    def __init__(
        self,
        state: MeshState,
        directory: UpstreamDirectory,
        granter: QuotaGranter,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._requests = GrantRequests(
            state, directory, granter, metrics, clock, self._serve
        )
        self._accounts: dict[str, Account] = {}
        # Version for which accounts of removed organisations were last deleted.
        self._version = -1
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def charge(
        self, organisation: Organisation, bounds: QuotaBounds
    ) -> Lot | QuotaRefusal:
        """Charge one call; return the lot of its token, or why there is none.

        Waits only if this node has no token.
        """
        now_s = self._clock()
        account = self._account(organisation, bounds)
        account.balance.record_demand(now_s)
        lot = None if account.waiters else account.balance.spend(now_s)
        if lot is not None:
            self._metrics.increment("quota.charged")
            self._ask_for_more(account, now_s)
            return lot
        waiter = Waiter(self._loop.create_future(), now_s + MAX_WAIT_S)
        account.waiters.append(waiter)
        self._serve(account, now_s)
        result = await waiter.future
        if isinstance(result, Lot):
            self._metrics.increment("quota.charged_after_wait")
            self._metrics.record_latency("quota wait", self._clock() - now_s)
        return result

    def refund(self, organisation: Organisation, lot: Lot) -> None:
        """Return the token of a call that was not sent to any upstream."""
        account = self._accounts.get(organisation.name)
        if account is not None:
            self._metrics.increment("quota.refunded")
            now_s = self._clock()
            account.balance.refund(lot, now_s)
            account.serve_waiters(now_s)

    def receive(self, grant: Grant) -> None:
        """Use a grant of another node."""
        self._requests.receive(grant)

    def _account(self, organisation: Organisation, bounds: QuotaBounds) -> Account:
        account = self._accounts.get(organisation.name)
        if account is None:
            self._forget_removed_organisations()
            account = Account(
                organisation, bounds, lambda: self._rng.uniform(0, RETRY_SPREAD_S)
            )
            self._accounts[organisation.name] = account
        else:
            account.update(organisation, bounds)
        return account

    def _forget_removed_organisations(self) -> None:
        table = self._state.route_table
        if table is None or table.version == self._version:
            return
        self._version = table.version
        names = {organisation.name for organisation in table.config.organisations}
        for name, account in list(self._accounts.items()):
            if name not in names and not account.waiters:
                del self._accounts[name]

    def _serve(self, account: Account, now_s: float) -> None:
        """Give tokens to the waiting calls, ask for more, or refuse the calls."""
        account.serve_waiters(now_s)
        self._ask_for_more(account, now_s)
        if account.waiters and not account.balance.asked:
            account.refuse_unservable(now_s)
        if account.waiters:
            self._schedule_sweep()

    def _ask_for_more(self, account: Account, now_s: float) -> None:
        balance = account.balance
        lifetime_s = grant_lifetime_s(account.bounds)
        wanted = balance.tokens_to_ask(len(account.waiters), lifetime_s, now_s)
        if not wanted:
            return
        slot = balance.next_part(self._requests.is_reachable, now_s)
        if slot is not None:
            self._requests.add(account, slot, wanted)
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Replace late requests, and refuse the calls that have waited too long."""
        self._sweep_timer = None
        now_s = self._clock()
        self._requests.replace_late(now_s)
        for account in self._accounts.values():
            if account.waiters:
                account.refuse_expired(now_s)
                self._serve(account, now_s)
        if self._requests:
            self._schedule_sweep()
