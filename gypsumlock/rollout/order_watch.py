"""Reads the orders of operators, while this node is the conductor.

Before it takes over, a conductor also reads the status rows, and the records of all
nodes: its own copy may lack the last decision of the conductor before it.
"""

from __future__ import annotations

import anyio
from result import Err, Result

from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.record_watcher import RECORD_TABLE, decode_record
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.rollout.lease import ConductorLease
from gypsumlock.rollout.rows import OrderRow, RolloutRows, StatusRow

__all__ = ["OrderWatch"]

log = get_logger(Component.ROLLOUT)

# Timeout of one wait for changes, in seconds.
ORDER_WAIT_S = 2.0
LEASE_POLL_INTERVAL_S = 0.1
# Backoff after a failed call to the store, in seconds: initial and maximum.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 0.8


class OrderWatch(Controller):
    """Follows the table of the orders under one fencing token.

    Parameters
    ----------
    store : FeedStore
        The store.
    feed : FleetFeed
        The node's local copy of the records.
    lease : ConductorLease
        Nothing is read while this node does not hold it.
    rows : RolloutRows
        Names and formats of the rows.
    """

    def __init__(
        self,
        store: FeedStore,
        feed: FleetFeed,
        lease: ConductorLease,
        rows: RolloutRows,
    ) -> None:
        self._store = store
        self._feed = feed
        self._lease = lease
        self._rows = rows
        self._version = 0
        # Token under which everything was read; 0 before that.
        self.loaded_token = 0
        self.orders: dict[str, OrderRow] = {}
        # Status rows as they were found.
        self.statuses: dict[str, StatusRow] = {}

    async def run(self) -> None:
        """Follow the table until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        while True:
            token = self._lease.token()
            if token is None:
                self.loaded_token = 0
                await anyio.sleep(LEASE_POLL_INTERVAL_S)
                continue
            if token != self.loaded_token:
                succeeded = await self._load(token)
            else:
                succeeded = await self._wait_for_changes()
            if succeeded:
                backoff.reset()
            else:
                await backoff.wait()

    async def _load(self, token: int) -> bool:
        """Read everything that a new conductor has to know."""
        records = await self._store.read_table(RECORD_TABLE)
        statuses = await self._store.read_table(self._rows.status_table)
        orders = await self._store.read_table(self._rows.order_table)
        for result in (records, statuses, orders):
            if isinstance(result, Err):
                return _log_failure(result)
        decoded = [(row, decode_record(row)) for row in records.unwrap().rows]
        self._feed.merge_records(
            RecordRow(row.version, record) for row, record in decoded if record
        )
        self.statuses = self._decode_statuses(statuses.unwrap().rows)
        self.orders = {}
        self._apply(orders.unwrap().rows)
        self._version = orders.unwrap().version
        self.loaded_token = token
        log.info("conductor took over", token=token, orders=len(self.orders))
        return True

    async def _wait_for_changes(self) -> bool:
        changes = await self._store.wait_for_changes(
            self._rows.order_table, self._version, ORDER_WAIT_S
        )
        if isinstance(changes, Err):
            if changes.err_value.code is ResultCode.PLATFORM_HISTORY_LOST:
                await self._reload_orders()
                # Again without a pause, a store that keeps no history would be called
                # all the time.
                return False
            return _log_failure(changes)
        self._apply(changes.ok_value.rows)
        self._version = changes.ok_value.version
        return True

    async def _reload_orders(self) -> bool:
        orders = await self._store.read_table(self._rows.order_table)
        if isinstance(orders, Err):
            return _log_failure(orders)
        self.orders = {}
        self._apply(orders.ok_value.rows)
        self._version = orders.ok_value.version
        return True

    def _decode_statuses(self, rows: tuple[FeedRow, ...]) -> dict[str, StatusRow]:
        by_key = {row.key: row for row in rows}
        statuses = {}
        for service in self._feed.services():
            row = by_key.get(self._rows.status_key(service))
            status = self._rows.decode_status(row) if row else None
            if status is not None:
                statuses[service] = status
        return statuses

    def _apply(self, rows: tuple[FeedRow, ...]) -> None:
        for row in rows:
            service = self._rows.order_service(row.key)
            if service is None:
                continue
            if row.value is None:
                self.orders.pop(service, None)
                continue
            order = self._rows.decode_order(row)
            # An order that can't be decoded changes nothing.
            if order is not None:
                self.orders[service] = order


def _log_failure(result: Result[TableChanges, Fault]) -> bool:
    log.warning("orders not read", reason=result.unwrap_err().text())
    return False
