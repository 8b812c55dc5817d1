"""Answers the requests of nodes for tokens of the slots that this node holds.

Invariant: the lease is checked immediately before each grant, so a node that was paused
past its lease grants nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from gypsumlock.leases import LeaseKeeper
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.quota_messages import (
    Grant,
    GrantItem,
    GrantRequest,
    GrantRequestItem,
)
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.state import MeshState, QuotaBounds
from gypsumlock.metrics import Metrics
from gypsumlock.quota.ledger import GrantLedger
from gypsumlock.quota.parts import (
    SLOT_COUNT,
    PartLimit,
    grant_lifetime_s,
    part_limit,
    part_slots,
    slot_lease,
)
from gypsumlock.quota.slots import Candidacy, SlotOrder

__all__ = ["QuotaGranter"]

log = get_logger(Component.QUOTA)

# Longest time until there will be more that is reported, in seconds.
MAX_MORE_AFTER_S = 3600.0
# The same for a part that has moved to another slot by a newer version.
MOVED_RETRY_S = 0.25


class QuotaGranter:
    """Keeps the ledgers of the slots that this node holds.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Lists the nodes, which are the candidates for the slots.
    metrics : Metrics
        Counts grants and denials.
    clock : Callable[[], float]
        Returns the time in seconds; goes on during a suspension.
    """

    __slots__ = (
        "_candidacy",
        "_clock",
        "_directory",
        "_ledgers",
        "_limited",
        "_limits",
        "_metrics",
        "_order",
        "_state",
        "_table",
        "leases",
    )

    def __init__(
        self,
        state: MeshState,
        directory: UpstreamDirectory,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        # None until a controller of leases is assigned; no slot is held without.
        self.leases: LeaseKeeper | None = None
        self._order = SlotOrder()
        self._ledgers: dict[int, GrantLedger] = {}
        self._candidacy = Candidacy()
        # Limits by slot and organisation, and the table and bounds they are from.
        self._limits: list[dict[str, PartLimit]] = [{} for _ in range(SLOT_COUNT)]
        # Names of all organisations with a limit.
        self._limited: set[str] = set()
        self._table: tuple[RouteTable | None, QuotaBounds | None] = (None, None)

    @property
    def order(self) -> SlotOrder:
        """Order of the candidates of each slot, by the newest records."""
        self._order.update(self._directory.serving_nodes)
        return self._order

    def refresh(self) -> Collection[str]:
        """Open the ledgers of the slots that are held; return the leases to hold.

        A ledger that is opened only by the first request would start later.
        """
        self._apply_config()
        if not any(self._limits) or self._state.stopping or self.leases is None:
            self._candidacy.reset()
            return ()
        now_s = self._clock()
        order = self.order
        slots = range(SLOT_COUNT)
        held = [slot for slot in slots if self._open_ledger(slot, now_s) is not None]
        ranks = [order.rank(slot, self._state.node) for slot in slots]
        nodes = len(self._directory.serving_nodes)
        wanted = self._candidacy.wanted(ranks, held, nodes, now_s)
        return [slot_lease(slot) for slot in wanted]

    def grant(self, request: GrantRequest) -> Grant:
        """Grant tokens if this node holds the slot; otherwise name the holder."""
        slot = request.slot
        bounds = self._state.bounds.quota
        now_s = self._clock()
        grant = Grant(request.number, slot, 0, "", int(1000 * now_s), 0.0, ())
        if slot >= SLOT_COUNT:
            return grant
        self._candidacy.record_asked(slot, now_s)
        self._apply_config()
        ledger = self._open_ledger(slot, now_s)
        if ledger is None or bounds is None:
            grant.holder = self._holder_hint(slot, request.redirected)
            return grant
        if request.version > self._version():
            self._apply_newer_limits(ledger, request, bounds, now_s)
        grant.items = tuple(
            self._grant_item(ledger, item, request.token == ledger.token, now_s)
            for item in request.items
        )
        grant.token = ledger.token
        grant.holder = self._state.node
        grant.lifetime_s = grant_lifetime_s(bounds)
        return grant

    def _grant_item(
        self, ledger: GrantLedger, item: GrantRequestItem, is_same: bool, now_s: float
    ) -> GrantItem:
        name = item.organisation
        if not ledger.has(name):
            # The version in force here is not older, and has no limit for it, or has
            # its parts elsewhere.
            if name in self._limited:
                return GrantItem(name, 0, MOVED_RETRY_S)
            return GrantItem(name, item.wanted)
        if is_same:
            for lot in item.returned:
                ledger.give_back(name, lot.count, lot.issued_ms / 1000, now_s)
        count, more_after_s = ledger.grant(name, item.wanted, now_s)
        self._metrics.increment("quota.requests")
        if count < item.wanted:
            self._metrics.increment("quota.requests_short")
            log.info(
                "quota exhausted",
                organisation=name,
                wanted=item.wanted,
                granted=count,
                left=round(ledger.level(name, now_s), 2),
                more_after_s=round(more_after_s, 3),
                token=ledger.token,
            )
        return GrantItem(name, count, min(more_after_s, MAX_MORE_AFTER_S))

    def _apply_newer_limits(
        self,
        ledger: GrantLedger,
        request: GrantRequest,
        bounds: QuotaBounds,
        now_s: float,
    ) -> None:
        """Apply limits of a version that has not come into force at this node yet."""
        for item in request.items:
            if item.rate_per_s > 0:
                limit = part_limit(item.rate_per_s, item.burst, bounds)
                ledger.apply_newer_limit(item.organisation, limit, now_s)

    def _open_ledger(self, slot: int, now_s: float) -> GrantLedger | None:
        """Return the ledger of a slot, or None if this node doesn't hold it now."""
        lease = slot_lease(slot)
        token = None if self.leases is None else self.leases.held(lease)
        if token is None:
            return None
        ledger = self._ledgers.get(slot)
        if ledger is None or ledger.token != token:
            ledger = GrantLedger(token)
            ledger.set_limits(self._limits[slot], now_s)
            self._ledgers[slot] = ledger
            log.info("ledger opened", slot=slot, token=token)
        return ledger

    def _holder_hint(self, slot: int, redirected: bool) -> str:
        """Return the holder as far as this node knows; empty if it knows of none."""
        if self.leases is None:
            return ""
        if redirected:
            self.leases.wake(slot_lease(slot))
        hint = self.leases.holder_hint(slot_lease(slot))
        return hint if hint is not None and hint != self._state.node else ""

    def _version(self) -> int:
        table = self._state.route_table
        return -1 if table is None else table.version

    def _apply_config(self) -> None:
        """Apply the limits of the configuration and the bounds in force."""
        table, bounds = self._state.route_table, self._state.bounds.quota
        if self._table[0] is table and self._table[1] is bounds:
            return
        self._table = (table, bounds)
        limits: list[dict[str, PartLimit]] = [{} for _ in range(SLOT_COUNT)]
        organisations = () if table is None else table.config.organisations
        for organisation in organisations:
            rate_per_s = organisation.rate_per_s
            if bounds is None or rate_per_s <= 0:
                continue
            limit = part_limit(rate_per_s, organisation.burst, bounds)
            for slot in part_slots(organisation, bounds):
                limits[slot][organisation.name] = limit
        self._limits = limits
        self._limited = {name for of_slot in limits for name in of_slot}
        now_s = self._clock()
        for slot, ledger in self._ledgers.items():
            ledger.set_limits(limits[slot], now_s)
