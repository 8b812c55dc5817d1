"""Controller that follows the records of all nodes in the store."""

from __future__ import annotations

import asyncio

import anyio
import msgspec

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges
from gypsumlock.mesh.field_types import DECODE_ERRORS
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.store_era import era_of
from gypsumlock.mesh.table_watcher import FLEET_START_DELAY_S, TableWatcher

__all__ = ["RECORD_TABLE", "RecordWatcher", "decode_record"]

log = get_logger(Component.CONFIG)

# Table that holds the record of each node.
RECORD_TABLE = "gypsumlock-nodes"
# Long-poll timeout in seconds. A late record only costs a refused call.
RECORD_WAIT_S = 4.0
# Delay between two calls of a node that no other node relies on, in seconds. Most
# changes of a starting fleet come in the time in which it looks for a node to follow.
UNFOLLOWED_RECORD_DELAY_S = 1.5
# Longest time for which this watcher leaves it to that of the configuration to find out
# that the store responds again, in seconds, and the interval at which it looks.
RECORD_RETRY_MAX_S = 5.0
RECOVERY_POLL_INTERVAL_S = 0.2
# Time in which the owner of a record that was lost with an earlier era of the store
# writes it again, in seconds. Until then the record stays in use.
REWRITE_TIMEOUT_S = 10.0


class RecordWatcher(TableWatcher):
    """Follows the records of all nodes.

    Parameters
    ----------
    store : FeedStore
        The store.
    state : MeshState
        Shared state of the node.
    feed : FleetFeed
        The node's local copy of the records.
    """

    def __init__(self, store: FeedStore, state: MeshState, feed: FleetFeed) -> None:
        super().__init__(
            store,
            RECORD_TABLE,
            feed,
            feed.records_cursor,
            RECORD_WAIT_S,
            UNFOLLOWED_RECORD_DELAY_S,
        )
        self._state = state

    def replace_rows(self, snapshot: TableChanges) -> None:
        """Apply a snapshot of the table, and drop records whose rows are gone."""
        self.apply_changes(snapshot)
        present = {row.key for row in snapshot.rows}
        deleted = [node for node in self._feed.records if node not in present]
        lost = [node for node in deleted if self._is_of_earlier_era(node, snapshot)]
        if lost:
            loop = asyncio.get_running_loop()
            loop.call_later(REWRITE_TIMEOUT_S, self._drop_lost, lost, snapshot)
        deleted = [node for node in deleted if node not in lost]
        self._feed.drop_records(deleted, snapshot.version)
        self._state.directory_loaded = True
        if not self._feed.fleet_start:
            self._feed.records_known.set()

    def _is_of_earlier_era(self, node: str, snapshot: TableChanges) -> bool:
        row_version = self._feed.records[node].row_version
        return era_of(row_version) < era_of(snapshot.version)

    def _drop_lost(self, nodes: list[str], snapshot: TableChanges) -> None:
        """Drop records that a copy of the store lacks and nobody has written again."""
        known = [node for node in nodes if node in self._feed.records]
        lost = [node for node in known if self._is_of_earlier_era(node, snapshot)]
        self._feed.drop_records(lost, snapshot.version)

    async def _after_read(self) -> None:
        """At the first start of a fleet, wait until upstreams have been announced."""
        if self._feed.records_known.is_set():
            await super()._after_read()
        else:
            await anyio.sleep(FLEET_START_DELAY_S)

    async def _wait_before_retry(self) -> None:
        """Wait, and then for the configuration, which is read from the same store.

        In an outage every node reads the store itself, as its sources do not. One of
        the two tables is enough to find out when it is over.
        """
        await super()._wait_before_retry()
        if not self._cursor.loaded:
            # A starting node needs both tables soon.
            return
        with anyio.move_on_after(RECORD_RETRY_MAX_S):
            while not self._feed.config_cursor.reachable:
                await anyio.sleep(RECOVERY_POLL_INTERVAL_S)

    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changed records."""
        rows: list[RecordRow] = []
        for row in changes.rows:
            record = decode_record(row) or self._without_upstream(row)
            if record is None:
                self._feed.drop_records([row.key], row.version)
            else:
                rows.append(RecordRow(row.version, record))
        self._feed.merge_records(rows)
        if rows:
            self._feed.records_known.set()

    def _without_upstream(self, row: FeedRow) -> UpstreamRecord | None:
        """Return a record in place of one that another program has overwritten.

        It names no upstream. It is forwarded like any other record, so that the node
        itself hears of it, whether or not it reads the store, and writes its row again.
        """
        known = self._feed.records.get(row.key)
        if row.value is None or known is None:
            return None
        record = known.record
        return UpstreamRecord(record.node, record.peer_address, record.zone)


def decode_record(row: FeedRow) -> UpstreamRecord | None:
    """Return the record that a row holds, or None if it holds no valid record."""
    if row.value is None:
        return None
    try:
        record = msgspec.json.decode(row.value, type=UpstreamRecord)
    except DECODE_ERRORS as error:
        log.warning("record ignored", key=row.key, reason=str(error))
        return None
    if record.node != row.key:
        log.warning("record ignored", key=row.key, reason="record of another node")
        return None
    return record
