"""Sends requests for tokens to the holders of granting slots, and uses the grants.

Requests of one pass of the event loop for the same slot are sent as one message. When a
request is not answered in time, its account may ask another part; a grant that arrives
later is used as long as its tokens are valid.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.quota_messages import (
    MAX_GRANT_ITEMS,
    Grant,
    GrantItem,
    GrantRequest,
    GrantRequestItem,
    ReturnedTokens,
)
from gypsumlock.mesh.state import MeshState
from gypsumlock.metrics import Metrics
from gypsumlock.quota.account import Account
from gypsumlock.quota.balance import Lot
from gypsumlock.quota.granter import QuotaGranter
from gypsumlock.quota.parts import SLOT_COUNT, grant_lifetime_s
from gypsumlock.quota.slots import HolderLocator

__all__ = ["GrantRequests"]

log = get_logger(Component.QUOTA)

# Time without an answer after which another part may be asked, in seconds.
ANSWER_TIMEOUT_S = 0.05
# Time after which a request is forgotten, in seconds. A later grant has expired.
FORGET_AFTER_S = 1.0


class _PendingRequest:
    """A request to one node that has no final answer yet."""

    __slots__ = ("accounts", "asked_at_s", "is_late", "node", "slot")

    def __init__(
        self, slot: int, node: str, accounts: dict[str, Account], asked_at_s: float
    ) -> None:
        self.slot = slot
        self.node = node
        # By name of the organisation.
        self.accounts = accounts
        self.asked_at_s = asked_at_s
        # True once the accounts may ask other parts.
        self.is_late = False


class GrantRequests:
    """Requests of one node that have no answer yet.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Connections to the other nodes.
    granter : QuotaGranter
        Grants the tokens of the slots that this node holds itself.
    metrics : Metrics
        Counts requests.
    clock : Callable[[], float]
        Returns the time in seconds; goes on during a suspension.
    resume : Callable[[Account, float], None]
        Called with an account when a request for it has ended, and with the time.
    """

    __slots__ = (
        "_pending",
        "_clock",
        "_directory",
        "_granter",
        "_is_flush_due",
        "_last_number",
        "_locators",
        "_loop",
        "_metrics",
        "_outbox",
        "_probes",
        "_resume",
        "_state",
    )

    def __init__(
        self,
        state: MeshState,
        directory: UpstreamDirectory,
        granter: QuotaGranter,
        metrics: Metrics,
        clock: Callable[[], float],
        resume: Callable[[Account, float], None],
    ) -> None:
        self._state = state
        self._directory = directory
        self._granter = granter
        self._metrics = metrics
        self._clock = clock
        self._resume = resume
        self._loop = asyncio.get_running_loop()
        self._locators = [HolderLocator() for _ in range(SLOT_COUNT)]
        self._last_number = 0
        # In the order in which they were sent.
        self._pending: dict[int, _PendingRequest] = {}
        # Tokens to ask for in this pass of the event loop, by slot and organisation.
        self._outbox: dict[int, dict[str, tuple[Account, int]]] = {}
        self._is_flush_due = False
        self._probes: dict[str, asyncio.Task[bool]] = {}

    def __bool__(self) -> bool:
        """Return whether a request has no answer yet."""
        return bool(self._pending)

    def is_reachable(self, slot: int) -> bool:
        """Return whether there is a node to ask for tokens of a slot."""
        return self._target(slot, self._clock()) is not None

    def add(self, account: Account, slot: int, wanted: int) -> None:
        """Ask for tokens of an account at the end of this pass of the event loop."""
        account.balance.asked[slot] = wanted
        entries = self._outbox.setdefault(slot, {})
        entries[account.organisation.name] = (account, wanted)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_soon(self._flush)

    def receive(self, grant: Grant) -> None:
        """Use a grant that has arrived."""
        pending = self._pending.pop(grant.number, None)
        if pending is None or pending.slot != grant.slot:
            return
        now_s = self._clock()
        locator = self._locators[pending.slot]
        if not grant.token:
            hint = grant.holder if self._directory.has_node(grant.holder) else ""
            locator.record_not_holder(pending.node, hint, now_s)
        elif not locator.accept(pending.node, grant.token, now_s):
            self._metrics.increment("quota.old_token")
            log.warning(
                "grant ignored", node=pending.node, slot=pending.slot, token=grant.token
            )
        else:
            for item in grant.items:
                account = pending.accounts.get(item.organisation)
                if account is not None:
                    _add_grant(account, pending, grant, item, now_s)
        self._end(pending, now_s)

    def replace_late(self, now_s: float) -> None:
        """Let accounts ask other parts in place of those that have not answered."""
        for number, pending in list(self._pending.items()):
            age_s = now_s - pending.asked_at_s
            if age_s < ANSWER_TIMEOUT_S:
                break
            if age_s > FORGET_AFTER_S:
                del self._pending[number]
            if not pending.is_late:
                if self._locators[pending.slot].record_timeout(pending.node, now_s):
                    log.info(
                        "granting node silent", node=pending.node, slot=pending.slot
                    )
                    self._probe(pending.node)
                self._end(pending, now_s)
                pending.is_late = True

    def _target(self, slot: int, now_s: float) -> str | None:
        return self._locators[slot].target(self._granter.order.nodes(slot), now_s)

    def _flush(self) -> None:
        """Send the requests of this pass of the event loop."""
        self._is_flush_due = False
        outbox, self._outbox = self._outbox, {}
        for slot, entries in outbox.items():
            items = list(entries.items())
            for start in range(0, len(items), MAX_GRANT_ITEMS):
                self._send(slot, dict(items[start : start + MAX_GRANT_ITEMS]))

    def _send(self, slot: int, entries: dict[str, tuple[Account, int]]) -> None:
        now_s = self._clock()
        locator = self._locators[slot]
        node = self._target(slot, now_s)
        accounts = {name: account for name, (account, _) in entries.items()}
        pending = _PendingRequest(slot, node or "", accounts, now_s)
        if node is None or not self._directory.has_node(node):
            if node is not None:
                locator.record_unreachable(node, now_s)
            self._end(pending, now_s)
            return
        self._last_number += 1
        self._pending[self._last_number] = pending
        locator.record_asked(node, now_s)
        table = self._state.route_table
        request = GrantRequest(
            number=self._last_number,
            slot=slot,
            version=0 if table is None else table.version,
            token=locator.token,
            redirected=locator.redirected,
            items=tuple(
                _request_item(account, slot, locator.token, wanted, now_s)
                for account, wanted in entries.values()
            ),
        )
        self._metrics.increment("quota.asks")
        if node == self._state.node:
            self.receive(self._granter.grant(request))
        else:
            self._directory.connection_to(node).post(request)

    def _end(self, pending: _PendingRequest, now_s: float) -> None:
        for account in pending.accounts.values():
            if not pending.is_late:
                account.balance.asked.pop(pending.slot, None)
            self._resume(account, now_s)

    def _probe(self, node: str) -> None:
        """Replace the connection to a node if it does not answer a ping either."""
        if node in self._probes or not self._directory.has_node(node):
            return
        task = self._loop.create_task(self._directory.connection_to(node).probe())
        self._probes[node] = task
        task.add_done_callback(lambda _: self._probes.pop(node, None))


def _request_item(
    account: Account, slot: int, token: int, wanted: int, now_s: float
) -> GrantRequestItem:
    lots = account.balance.take_returns(slot, token, now_s)
    return GrantRequestItem(
        account.organisation.name,
        wanted,
        account.organisation.rate_per_s,
        account.organisation.burst,
        tuple(ReturnedTokens(lot.issued_ms, lot.count) for lot in lots),
    )


def _add_grant(
    account: Account,
    pending: _PendingRequest,
    grant: Grant,
    item: GrantItem,
    now_s: float,
) -> None:
    """Add granted tokens to a balance; their time counts from the request."""
    lifetime_s = min(grant.lifetime_s, grant_lifetime_s(account.bounds))
    lot = Lot(
        slot=pending.slot,
        token=grant.token,
        count=item.count,
        issued_ms=grant.issued_ms,
        asked_at_s=pending.asked_at_s,
        expires_at_s=pending.asked_at_s + lifetime_s,
    )
    account.balance.add(lot, now_s)
    if item.more_after_s > 0:
        account.balance.record_exhausted(pending.slot, now_s + item.more_after_s)
    else:
        account.balance.record_available(pending.slot)
