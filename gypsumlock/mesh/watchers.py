"""Controllers that follow the tables of the store."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Result

from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges
from gypsumlock.mesh.field_types import DECODE_ERRORS
from gypsumlock.mesh.fleet_feed import FleetFeed, TableCursor
from gypsumlock.mesh.model import MeshConfig, UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "RECORD_TABLE",
    "ConfigWatcher",
    "RecordWatcher",
    "TableWatcher",
    "decode_record",
]

log = get_logger(Component.CONFIG)

# Table that holds the record of each node.
RECORD_TABLE = "gypsumlock-nodes"
# Long-poll timeouts, in seconds. A store that fails silently never responds to a
# pending long poll, and sends no notification when it recovers. The timeout for the
# configuration is short enough to notice that in time; a late record only costs a
# refused call.
CONFIG_WAIT_S = 2.0
RECORD_WAIT_S = 4.0
# Delay before the next long poll after a change, in seconds. Changes accumulate in the
# meantime, so that one call to the store returns many of them.
BATCH_DELAY_S = 0.5
# The same for a node that no other node relies on. It reads the store only until it
# finds a node to follow, and most changes of a starting fleet come in that time.
UNFOLLOWED_CONFIG_DELAY_S = 1.0
UNFOLLOWED_RECORD_DELAY_S = 1.5
# Backoff after a failed call to the store, in seconds. Nodes that no other node relies
# on back off longer, so that not every node keeps calling a store that is down.
READER_RETRY_BASE_S = 0.2
READER_RETRY_MAX_S = 0.8
RETRY_BASE_S = 0.6
RETRY_MAX_S = 1.6
# Longest time for which the watcher of the records leaves it to that of the
# configuration to find out that the store responds again, in seconds, and the interval
# at which it looks.
RECORD_RETRY_MAX_S = 5.0
RECOVERY_POLL_INTERVAL_S = 0.2
# Time that a node waits at its start for the state of other nodes, in seconds.
SOURCES_TIMEOUT_S = 0.6
# Time after which the nodes of a fleet that starts for the first time read the records,
# in seconds. Most upstreams have been announced by then, and few nodes have to read the
# store after that.
FLEET_START_DELAY_S = 3.0
# Time that such a node waits for the state of other nodes, in seconds.
FLEET_START_SOURCES_TIMEOUT_S = FLEET_START_DELAY_S + 1.0

ConfigDecoder = Callable[[bytes], Result[MeshConfig, Fault]]


class TableWatcher(Controller):
    """Follows one table while the node's reads of the store are enabled.

    It reads the complete table once, then waits for changes.

    Parameters
    ----------
    store : FeedStore
        The store.
    table : str
        Name of the table.
    feed : FleetFeed
        The node's local copy, which receives the changes.
    cursor : TableCursor
        How far the table was followed. Updates from other nodes advance it, too.
    wait_s : float
        Timeout of one wait for changes, in seconds.
    unfollowed_delay_s : float
        Delay between two calls while no other node relies on this one, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        table: str,
        feed: FleetFeed,
        cursor: TableCursor,
        wait_s: float,
        unfollowed_delay_s: float,
    ) -> None:
        self._wait_s = wait_s
        self._unfollowed_delay_s = unfollowed_delay_s
        self._store = store
        self._table = table
        self._feed = feed
        self._cursor = cursor
        self._reader_backoff = Backoff(READER_RETRY_BASE_S, READER_RETRY_MAX_S)
        self._backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        # True if the store no longer has all changes since the last read.
        self._history_lost = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self._before_first_read()
        while True:
            await self._feed.store_reads_enabled.wait()
            if self._cursor.loaded and not self._history_lost:
                await self._wait_for_changes()
            else:
                await self._read_table()

    async def _before_first_read(self) -> None:
        """Wait for updates that could make the first read of the table unnecessary."""

    async def _wait_for_sources(self) -> None:
        """Wait for other nodes to send what the store would otherwise be read for."""
        starts_with_fleet = (
            self._feed.fleet_start and not self._feed.records_known.is_set()
        )
        timeout_s = (
            FLEET_START_SOURCES_TIMEOUT_S if starts_with_fleet else SOURCES_TIMEOUT_S
        )
        with anyio.move_on_after(timeout_s):
            await self._feed.sources_ready.wait()

    async def _read_table(self) -> None:
        snapshot = await self._store.read_table(self._table)
        if isinstance(snapshot, Err):
            await self._back_off(snapshot.err_value)
            return
        self._mark_reachable()
        self._history_lost = False
        # A snapshot older than the cursor would undo changes that are already applied.
        if snapshot.ok_value.version >= self._cursor.synced_version:
            self.replace_rows(snapshot.ok_value)
            self._cursor.advance(snapshot.ok_value.version)
        await self._after_read()

    async def _after_read(self) -> None:
        """Wait before the next call, unless other nodes rely on this node."""
        await self._wait_for_sources()
        if not self._feed.is_reader:
            await anyio.sleep(self._unfollowed_delay_s)

    async def _wait_for_changes(self) -> None:
        # After a failed call or a pause in reading, the first call returns at once
        # with the changes that the store already has.
        can_wait = self._cursor.reachable and self._cursor.confirmed
        wait_s = self._wait_s if can_wait else 0.0
        after = self._cursor.synced_version
        changes = await self._store.wait_for_changes(self._table, after, wait_s)
        if isinstance(changes, Err):
            if changes.err_value.code is ResultCode.PLATFORM_HISTORY_LOST:
                log.info("store history lost", table=self._table)
                self._history_lost = True
                return
            await self._back_off(changes.err_value)
            return
        self._mark_reachable()
        if changes.ok_value.rows:
            self.apply_changes(changes.ok_value)
        self._cursor.advance(changes.ok_value.version)
        if changes.ok_value.rows:
            is_reader = self._feed.is_reader
            await anyio.sleep(BATCH_DELAY_S if is_reader else self._unfollowed_delay_s)

    @abstractmethod
    def replace_rows(self, snapshot: TableChanges) -> None:
        """Apply a snapshot of the complete table."""

    @abstractmethod
    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changed rows."""

    async def _back_off(self, fault: Fault) -> None:
        """Mark the store as unreachable and wait before the next call."""
        if self._cursor.reachable:
            self._cursor.reachable = False
            log.warning("store unreachable", table=self._table, reason=fault.text())
        await self._wait_before_retry()

    async def _wait_before_retry(self) -> None:
        """Wait before a failed call is repeated."""
        is_reader = self._feed.is_reader
        await (self._reader_backoff if is_reader else self._backoff).wait()

    def _mark_reachable(self) -> None:
        self._backoff.reset()
        self._reader_backoff.reset()
        self._cursor.confirmed = True
        if not self._cursor.reachable:
            self._cursor.reachable = True
            log.info("store reachable again", table=self._table)


class ConfigWatcher(TableWatcher):
    """Puts the operator's newest configuration version in force.

    Parameters
    ----------
    store : FeedStore
        The store.
    feed : FleetFeed
        The node's local copy of the configuration.
    table, key : str
        Table and key of the row that holds the newest version.
    decode : Callable[[bytes], Result[MeshConfig, Fault]]
        Decodes the row's value.
    """

    def __init__(
        self,
        store: FeedStore,
        feed: FleetFeed,
        table: str,
        key: str,
        decode: ConfigDecoder,
    ) -> None:
        super().__init__(
            store,
            table,
            feed,
            feed.config_cursor,
            CONFIG_WAIT_S,
            UNFOLLOWED_CONFIG_DELAY_S,
        )
        self._key = key
        self._decode = decode

    async def _before_first_read(self) -> None:
        """Wait for a node that has the version: it sends far less than the store."""
        await self._wait_for_sources()

    def replace_rows(self, snapshot: TableChanges) -> None:
        """Apply the newest version in a snapshot of the table."""
        self.apply_changes(snapshot)

    def apply_changes(self, changes: TableChanges) -> None:
        """Apply the newest version."""
        for row in changes.rows:
            if row.key == self._key and row.value is not None:
                self._apply_config(row.value)

    def _apply_config(self, value: bytes) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log.error("configuration rejected", reason=decoded.err_value.text())
            return
        self._feed.apply_config(decoded.ok_value, "store")


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
        self._feed.drop_records(deleted, snapshot.version)
        self._state.directory_loaded = True
        if not self._feed.fleet_start:
            self._feed.records_known.set()

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
            record = decode_record(row)
            if record is None:
                self._feed.drop_records([row.key], row.version)
            else:
                rows.append(RecordRow(row.version, record))
        self._feed.merge_records(rows)
        if rows:
            self._feed.records_known.set()


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
