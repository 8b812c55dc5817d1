"""Controllers that follow the store and publish the node's own record."""

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
from gypsumlock.mesh.fleet_feed import FleetFeed, TableCursor
from gypsumlock.mesh.model import MeshConfig, UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ConfigWatcher", "RecordPublisher", "RecordWatcher", "TableWatcher"]

log = get_logger(Component.CONFIG)

# Table of the nodes' records.
RECORD_TABLE = "gypsumlock-nodes"
# Longest waits for changes, in seconds. A store that fails silently swallows the call
# that waits there, and nobody is told once it is back: the wait for a version is short
# enough for that to be noticed in time. A record that comes late costs a refusal.
CONFIG_WAIT_S = 2.0
RECORD_WAIT_S = 4.0
# Changes are collected for so long before the store is asked again: the store is
# called once for many changes.
BATCH_S = 0.5
# Bounds of the delay after a failed call to the store, in seconds: for nodes that
# others rely on, and for all others, so that a store that is down isn't asked by
# every node all the time.
READER_RETRY_BASE_S = 0.2
READER_RETRY_MAX_S = 0.8
RETRY_BASE_S = 0.6
RETRY_MAX_S = 1.6
# Time for which a node that has just started waits for other nodes to tell what they
# know, in seconds.
SETTLE_S = 0.6
# Shortest time between two writes of the own record, in seconds.
PUBLISH_GAP_S = 0.2
# Time between two looks whether the records were read, in seconds.
RESTORE_STEP_S = 0.02

Decode = Callable[[bytes], Result[MeshConfig, Fault]]


class TableWatcher(Controller):
    """Keeps up with one table while the node is to read the store.

    It reads the table whole, then waits for changes.

    Parameters
    ----------
    store : FeedStore
        The store.
    table : str
        Name of the table.
    feed : FleetFeed
        What the node knows.
    cursor : TableCursor
        How far the table was followed; other nodes may move it on.
    wait_s : float
        Longest wait for changes, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        table: str,
        feed: FleetFeed,
        cursor: TableCursor,
        wait_s: float,
    ) -> None:
        self._wait_s = wait_s
        self._store = store
        self._table = table
        self._feed = feed
        self._cursor = cursor
        self._reader_backoff = Backoff(READER_RETRY_BASE_S, READER_RETRY_MAX_S)
        self._backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        # True when the changes since the last look are no longer to be had.
        self._history_lost = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self._before_first_read()
        while True:
            await self._feed.read_store.wait()
            if self._cursor.known and not self._history_lost:
                await self._wait_for_changes()
            else:
                await self._read_whole()

    async def _before_first_read(self) -> None:
        """Wait for what makes the first read of the whole table needless."""

    async def _wait_for_sources(self) -> None:
        """Wait for other nodes to tell what the store would be asked for."""
        with anyio.move_on_after(SETTLE_S):
            await self._feed.sources_settled.wait()

    async def _read_whole(self) -> None:
        whole = await self._store.read_table(self._table)
        if isinstance(whole, Err):
            await self._wait_after(whole.err_value)
            return
        self._note_reachable()
        self._history_lost = False
        # A read that is older than what was seen would take changes back.
        if whole.ok_value.version >= self._cursor.upto:
            self.replace(whole.ok_value)
            self._cursor.advance(whole.ok_value.version)
        await self._wait_for_sources()

    async def _wait_for_changes(self) -> None:
        # A store that failed, or was not asked for a while, is asked for what it
        # has, not for what may come.
        asked_before = self._cursor.reachable and self._cursor.confirmed
        wait_s = self._wait_s if asked_before else 0.0
        after = self._cursor.upto
        changes = await self._store.wait_changes(self._table, after, wait_s)
        if isinstance(changes, Err):
            if changes.err_value.code is ResultCode.PLATFORM_HISTORY_LOST:
                log.info("store lost its history", table=self._table)
                self._history_lost = True
                return
            await self._wait_after(changes.err_value)
            return
        self._note_reachable()
        if changes.ok_value.rows:
            self.apply(changes.ok_value)
        self._cursor.advance(changes.ok_value.version)
        if changes.ok_value.rows:
            await anyio.sleep(BATCH_S)

    @abstractmethod
    def replace(self, whole: TableChanges) -> None:
        """Take the whole table in."""

    @abstractmethod
    def apply(self, changes: TableChanges) -> None:
        """Take changed rows in."""

    async def _wait_after(self, fault: Fault) -> None:
        if self._cursor.reachable:
            self._cursor.reachable = False
            log.warning("store lost", table=self._table, reason=fault.text())
        is_reader = self._feed.is_reader
        await (self._reader_backoff if is_reader else self._backoff).wait()

    def _note_reachable(self) -> None:
        self._backoff.reset()
        self._reader_backoff.reset()
        self._cursor.confirmed = True
        if not self._cursor.reachable:
            self._cursor.reachable = True
            log.info("store regained", table=self._table)


class ConfigWatcher(TableWatcher):
    """Puts the operator's newest version in force.

    Parameters
    ----------
    store : FeedStore
        The store.
    feed : FleetFeed
        What the node knows.
    table, key : str
        Row with the newest version.
    decode : Callable[[bytes], Result[MeshConfig, Fault]]
        Decodes the row's value.
    """

    def __init__(
        self, store: FeedStore, feed: FleetFeed, table: str, key: str, decode: Decode
    ) -> None:
        super().__init__(store, table, feed, feed.config_cursor, CONFIG_WAIT_S)
        self._key = key
        self._decode = decode

    async def _before_first_read(self) -> None:
        """Let nodes that have the version hand it over: that is far less to send."""
        await self._wait_for_sources()

    def replace(self, whole: TableChanges) -> None:
        """Take the whole table in."""
        self.apply(whole)

    def apply(self, changes: TableChanges) -> None:
        """Take the newest version in."""
        for row in changes.rows:
            if row.key == self._key and row.value is not None:
                self._put_in_force(row.value)

    def _put_in_force(self, value: bytes) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log.error("configuration refused", reason=decoded.err_value.text())
            return
        self._feed.take_config(decoded.ok_value, "store")


class RecordWatcher(TableWatcher):
    """Keeps up with the records of all nodes.

    Parameters
    ----------
    store : FeedStore
        The store.
    state : MeshState
        The node's blackboard.
    feed : FleetFeed
        What the node knows.
    """

    def __init__(self, store: FeedStore, state: MeshState, feed: FleetFeed) -> None:
        super().__init__(store, RECORD_TABLE, feed, feed.records_cursor, RECORD_WAIT_S)
        self._state = state

    def replace(self, whole: TableChanges) -> None:
        """Take the whole table in, and forget rows that are gone."""
        self.apply(whole)
        there = {row.key for row in whole.rows}
        gone = [node for node in self._feed.records if node not in there]
        self._feed.drop_records(gone, whole.version)
        self._state.directory_known = True

    def apply(self, changes: TableChanges) -> None:
        """Take changed records in."""
        rows: list[RecordRow] = []
        for row in changes.rows:
            record = decode_record(row)
            if record is None:
                self._feed.drop_records([row.key], row.version)
            else:
                rows.append(RecordRow(row.version, record))
        self._feed.take_records(rows)


def decode_record(row: FeedRow) -> UpstreamRecord | None:
    """Return the record in a row, or None for a row that isn't one."""
    if row.value is None:
        return None
    try:
        record = msgspec.json.decode(row.value, type=UpstreamRecord)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log.warning("record ignored", key=row.key, reason=str(error))
        return None
    return record if record.node == row.key else None


class RecordPublisher(Controller):
    """Keeps the node's own row in the store as it should be.

    A write demands the version of the row that it replaces, so that a write which
    takes effect late never undoes a newer one.
    """

    def __init__(self, store: FeedStore, state: MeshState, feed: FleetFeed) -> None:
        self._store = store
        self._state = state
        self._feed = feed
        self._version = 0
        self._published: UpstreamRecord | None = None

    async def run(self) -> None:
        """Publish each change until cancelled."""
        await self._restore()
        backoff = Backoff(READER_RETRY_BASE_S, READER_RETRY_MAX_S)
        while True:
            await self._state.upstream_changed.wait()
            self._state.upstream_changed.clear()
            wanted = self.wanted_record()
            while wanted != self._published:
                if not await self._write(wanted):
                    await backoff.wait()
                wanted = self.wanted_record()
            backoff.reset()
            await anyio.sleep(PUBLISH_GAP_S)

    def wanted_record(self) -> UpstreamRecord:
        """Return the record that the row should hold now."""
        known = self._state.registry.current
        state = self._state
        if known is None:
            return UpstreamRecord(
                node=state.node,
                peer_address=state.addresses.peers,
                zone=state.zone,
                link_mbps=state.link_mbps,
            )
        return UpstreamRecord(
            node=state.node,
            peer_address=state.addresses.peers,
            zone=state.zone,
            link_mbps=state.link_mbps,
            service=known.service,
            instance=known.instance,
            born_ms=known.born_ms,
            slots=known.slots,
            serving=not known.leaving and not state.stopping,
            departed=known.leaving,
        )

    async def _restore(self) -> None:
        """Take over what an earlier process at this node published."""
        while not self._state.directory_known:
            await anyio.sleep(RESTORE_STEP_S)
        row = self._feed.records.get(self._state.node)
        if row is not None:
            self._version = row.row_version
            self._published = row.record
            if row.record.departed:
                left = row.record
                self._state.registry.restore_departed(left.instance, left.born_ms)
        self._state.restored.set_result(self._published)

    async def _write(self, wanted: UpstreamRecord) -> bool:
        value = msgspec.json.encode(wanted)
        written = await self._store.write_row(
            RECORD_TABLE, self._state.node, value, self._version
        )
        if isinstance(written, Err):
            log.warning("record not published", reason=written.err_value.text())
            return False
        current = written.ok_value.current
        if current is None:
            self._version = written.ok_value.version
            self._published = wanted
            log.info("record published", serving=wanted.serving, slots=wanted.slots)
            return True
        # An earlier write without an answer took effect, or another process wrote.
        self._version = current.version
        self._published = decode_record(current)
        return True
