"""Conducts the roll-outs of all services while this node holds the lease."""

from __future__ import annotations

import time

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedStore
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.state import MeshState
from gypsumlock.rollout.conductor import Conductor, Moment
from gypsumlock.rollout.lease import ConductorLease
from gypsumlock.rollout.messages import ReportHandler, VersionReport, VersionVerdict
from gypsumlock.rollout.order_watch import OrderWatch
from gypsumlock.rollout.owner_probe import OwnerProbe
from gypsumlock.rollout.rows import RolloutRows
from gypsumlock.rollout.status_writer import StatusWriter

__all__ = ["RolloutController"]

log = get_logger(Component.ROLLOUT)

STEP_INTERVAL_S = 0.1
STATUS_INTERVAL_S = 0.1
PROBE_INTERVAL_S = 1.0


class RolloutController(Controller, ReportHandler):
    """Runs the conductor, publishes its decisions, and answers the owners' reports.

    Parameters
    ----------
    store : FeedStore
        The store.
    state : MeshState
        Shared state of the node.
    feed : FleetFeed
        The node's local copy of the records.
    lease : ConductorLease
        Makes this node the conductor while it holds it.
    rows : RolloutRows
        Names and formats of the rows of orders and of their status.
    """

    def __init__(
        self,
        store: FeedStore,
        state: MeshState,
        feed: FleetFeed,
        lease: ConductorLease,
        rows: RolloutRows,
    ) -> None:
        self._state = state
        self._lease = lease
        self._orders = OrderWatch(store, feed, lease, rows)
        self._statuses = StatusWriter(store, lease, rows)
        self._probe = OwnerProbe()
        self._conductor: Conductor | None = None

    async def run(self) -> None:
        """Conduct until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._orders.run)
            tasks.start_soon(self._write_statuses)
            tasks.start_soon(self._probe_owners)
            while True:
                self._step()
                await anyio.sleep(STEP_INTERVAL_S)

    def handle_report(self, report: VersionReport) -> VersionVerdict | None:
        """Record a report, and answer it if this node is the conductor now."""
        conductor = self._conductor
        if conductor is None:
            return None
        verdict = conductor.handle_report(report, time.monotonic())
        if self._lease.token() != conductor.token:
            return None
        return verdict

    def _step(self) -> None:
        token = self._lease.token()
        bounds = self._state.bounds.rollout
        if token is None or bounds is None or token != self._orders.loaded_token:
            if self._conductor is not None and token != self._conductor.token:
                log.info("conductor resigned", token=self._conductor.token)
                self._conductor = None
            if self._conductor is None:
                self._drop_superseded()
                return
        now_s = time.monotonic()
        conductor = self._conductor
        if conductor is None or conductor.token != token:
            if token is None or bounds is None or not self._state.directory_loaded:
                return
            versions = self._state.versions
            own = self._state.rollouts
            conductor = Conductor(token, versions, bounds, own, now_s)
            self._conductor = conductor
        orders = self._orders
        moment = Moment(now_s, time.time_ns() // 1_000_000)
        conductor.step(orders.orders, orders.statuses, self._probe.gone, moment)
        entries = tuple(conductor.entries[x] for x in sorted(conductor.entries))
        if entries != self._state.rollouts:
            self._state.rollouts = entries
            self._state.publish_needed.set()

    def _drop_superseded(self) -> None:
        """Publish no entries any more that another conductor has replaced."""
        table = self._state.versions
        kept = tuple(
            entry
            for entry in self._state.rollouts
            if (newest := table.entry(entry.service)) is None
            or newest.token <= entry.token
        )
        if kept != self._state.rollouts:
            self._state.rollouts = kept
            self._state.publish_needed.set()

    async def _write_statuses(self) -> None:
        while True:
            await anyio.sleep(STATUS_INTERVAL_S)
            conductor = self._conductor
            record = self._state.published.record
            if conductor is None or record is None:
                continue
            current = conductor.entries
            stored = tuple(
                entry
                for entry in record.rollouts
                if current.get(entry.service) == entry
            )
            await self._statuses.write_changes(stored)

    async def _probe_owners(self) -> None:
        """Find out which silent owners of replaced upstreams have ended."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            conductor = self._conductor
            if conductor is None:
                continue
            silent = conductor.silent_owners(time.monotonic())
            await self._probe.check(silent)
