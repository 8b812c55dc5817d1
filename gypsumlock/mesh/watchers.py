"""Controllers that follow the store and publish the node's own record."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable, Iterable

import anyio
import msgspec
from result import Err, Result

from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Part, part_log
from gypsumlock.mesh.directory import Directory
from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges
from gypsumlock.mesh.model import MeshConfig, UpstreamRecord
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.state import MeshState
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ConfigWatcher", "RecordPublisher", "RecordWatcher", "TableWatcher"]

log = part_log(Part.CONFIG)

# Table of the nodes' records.
RECORD_TABLE = "gypsumlock-nodes"
# Longest wait for changes, in seconds. A store that fails silently swallows the call
# that waits there, and nobody is told once it is back: the wait for a version is
# short enough for that to be noticed in time.
CONFIG_WAIT_S = 3.0
RECORD_WAIT_S = 6.0
# Changes are collected for so long before the store is asked again: the store is
# called once for many changes.
CONFIG_BATCH_S = 0.6
RECORD_BATCH_S = 0.6
# Bounds of the delay after a failed call to the store, in seconds.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 0.8
# Shortest time between two writes of the own record, in seconds.
PUBLISH_GAP_S = 0.2

Decode = Callable[[bytes], Result[MeshConfig, Fault]]


class TableWatcher(Controller):
    """Keeps up with one table: reads it whole, then waits for changes.

    Parameters
    ----------
    store : FeedStore
        The store.
    table : str
        Name of the table.
    wait_s : float
        Longest wait for changes, in seconds.
    batch_s : float
        Time for which changes are collected, in seconds.
    """

    def __init__(
        self, store: FeedStore, table: str, wait_s: float, batch_s: float
    ) -> None:
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._batch_s = batch_s
        self._backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        self._reachable = True
        # Version of the store up to which everything was taken in.
        self._version = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            whole = await self._store.read_table(self._table)
            if isinstance(whole, Err):
                await self._wait_after(whole.err_value)
                continue
            self._note_reachable()
            # A read that is older than what was seen would take changes back.
            if whole.ok_value.version >= self._version:
                self._version = whole.ok_value.version
                self.replace(whole.ok_value)
            await self._follow()

    async def _follow(self) -> None:
        """Take changes in until the store has lost its history."""
        while True:
            # A store that failed is asked for what it has, not for what may come.
            wait_s = self._wait_s if self._reachable else 0.0
            changes = await self._store.wait_changes(self._table, self._version, wait_s)
            if isinstance(changes, Err):
                if changes.err_value.code is ResultCode.PLATFORM_HISTORY_LOST:
                    log.info("store lost its history", table=self._table)
                    return
                await self._wait_after(changes.err_value)
                continue
            self._note_reachable()
            self._version = max(self._version, changes.ok_value.version)
            if changes.ok_value.rows:
                self.apply(changes.ok_value)
                await anyio.sleep(self._batch_s)

    @abstractmethod
    def replace(self, whole: TableChanges) -> None:
        """Take the whole table in."""

    @abstractmethod
    def apply(self, changes: TableChanges) -> None:
        """Take changed rows in."""

    async def _wait_after(self, fault: Fault) -> None:
        if self._reachable:
            self._reachable = False
            log.warning("store lost", table=self._table, reason=fault.text())
        await self._backoff.wait()

    def _note_reachable(self) -> None:
        self._backoff.reset()
        if not self._reachable:
            self._reachable = True
            log.info("store regained", table=self._table)


class ConfigWatcher(TableWatcher):
    """Puts the operator's newest version in force.

    Parameters
    ----------
    store : FeedStore
        The store.
    state : MeshState
        The node's blackboard.
    table, key : str
        Row with the newest version.
    decode : Callable[[bytes], Result[MeshConfig, Fault]]
        Decodes the row's value.
    """

    def __init__(
        self, store: FeedStore, state: MeshState, table: str, key: str, decode: Decode
    ) -> None:
        super().__init__(store, table, CONFIG_WAIT_S, CONFIG_BATCH_S)
        self._state = state
        self._key = key
        self._decode = decode

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
        config = decoded.ok_value
        before = self._state.table.version if self._state.table else 0
        if self._state.put_in_force(RouteTable(config)):
            log.info(
                "configuration in force",
                version=config.version,
                before=before,
                routes=len(config.routes),
            )


class RecordWatcher(TableWatcher):
    """Keeps the directory up with the records of all nodes."""

    def __init__(
        self, store: FeedStore, state: MeshState, directory: Directory
    ) -> None:
        super().__init__(store, RECORD_TABLE, RECORD_WAIT_S, RECORD_BATCH_S)
        self._state = state
        self._directory = directory
        # Records and the versions of their rows, by the name of their node.
        self._records: dict[str, tuple[int, UpstreamRecord]] = {}

    def replace(self, whole: TableChanges) -> None:
        """Take the whole table in."""
        self._records.clear()
        self.apply(whole)
        self._state.directory_known = True

    def apply(self, changes: TableChanges) -> None:
        """Take changed records in."""
        for row in changes.rows:
            record = decode_record(row)
            if record is None:
                self._records.pop(row.key, None)
            else:
                self._records[row.key] = (row.version, record)
        self._directory.update(newest_by_address(self._records.values()))


def newest_by_address(
    records: Iterable[tuple[int, UpstreamRecord]],
) -> dict[str, UpstreamRecord]:
    """Return the newest record of each address, by the name of its node.

    A machine that is gone leaves its row behind, and its address goes to another.
    """
    newest = {
        record.peer_address: record
        for _, record in sorted(records, key=lambda item: item[0])
    }
    return {record.node: record for record in newest.values()}


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

    def __init__(self, store: FeedStore, state: MeshState) -> None:
        self._store = store
        self._state = state
        self._version = 0
        self._published: UpstreamRecord | None = None

    async def run(self) -> None:
        """Publish each change until cancelled."""
        await self._restore()
        backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
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
            return UpstreamRecord(state.node, state.addresses.peers, state.zone)
        return UpstreamRecord(
            node=state.node,
            peer_address=state.addresses.peers,
            zone=state.zone,
            service=known.service,
            instance=known.instance,
            born_ms=known.born_ms,
            slots=known.slots,
            serving=not known.leaving and not state.stopping,
            departed=known.leaving,
        )

    async def _restore(self) -> None:
        """Read what an earlier process at this node published."""
        backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        while True:
            read = await self._store.read_row(RECORD_TABLE, self._state.node)
            if not isinstance(read, Err):
                break
            await backoff.wait()
        row = read.ok_value
        if row is not None:
            self._version = row.version
            self._published = decode_record(row)
            if self._published is not None and self._published.departed:
                left = self._published
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
