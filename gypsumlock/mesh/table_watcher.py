"""Controller that follows one table of the store."""

from __future__ import annotations

from abc import abstractmethod

import anyio
from result import Err

from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.feed_store import FeedStore, TableChanges
from gypsumlock.mesh.fleet_feed import FleetFeed, TableCursor
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["FLEET_START_DELAY_S", "TableWatcher"]

log = get_logger(Component.CONFIG)

# Delay before the next long poll after a change, in seconds. Changes accumulate in the
# meantime, so that one call to the store returns many of them.
BATCH_DELAY_S = 0.5
# Backoff after a failed call to the store, in seconds. Nodes that no other node relies
# on back off longer, so that not every node keeps calling a store that is down.
READER_RETRY_BASE_S = 0.2
READER_RETRY_MAX_S = 0.8
RETRY_BASE_S = 0.6
RETRY_MAX_S = 1.6
# Time that the store takes to answer at most, apart from the wait for changes, in
# seconds. An answer that is handled later may have arrived before a pause.
MAX_RESPONSE_S = 0.5
# Time that a node waits at its start for the state of other nodes, in seconds.
SOURCES_TIMEOUT_S = 0.6
# Time after which the nodes of a fleet that starts for the first time read the records,
# in seconds. Most upstreams have been announced by then, and few nodes have to read the
# store after that.
FLEET_START_DELAY_S = 3.0
# Time that such a node waits for the state of other nodes, in seconds.
FLEET_START_SOURCES_TIMEOUT_S = FLEET_START_DELAY_S + 1.0


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
        # True if it had not, either, when this was last found out.
        self._was_lost_before = False

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
        began_s = boot_time_s()
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
        self._confirm(min(boot_time_s(), began_s + MAX_RESPONSE_S))
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
        began_s = boot_time_s()
        changes = await self._store.wait_for_changes(self._table, after, wait_s)
        if isinstance(changes, Err):
            if changes.err_value.code is ResultCode.PLATFORM_HISTORY_LOST:
                log.info("store history lost", table=self._table)
                self._history_lost = True
                if self._was_lost_before:
                    # A store that loses its history again and again is not read
                    # without a pause.
                    await self._wait_before_retry()
                self._was_lost_before = True
                return
            await self._back_off(changes.err_value)
            return
        self._mark_reachable()
        self._was_lost_before = False
        if changes.ok_value.rows:
            self.apply_changes(changes.ok_value)
        self._cursor.advance(changes.ok_value.version)
        self._confirm(min(boot_time_s(), began_s + wait_s + MAX_RESPONSE_S))
        if changes.ok_value.rows:
            is_reader = self._feed.is_reader
            await anyio.sleep(BATCH_DELAY_S if is_reader else self._unfollowed_delay_s)

    @abstractmethod
    def replace_rows(self, snapshot: TableChanges) -> None:
        """Apply a snapshot of the complete table."""

    @abstractmethod
    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changed rows."""

    def _confirm(self, at_s: float) -> None:
        """Handle that all changes until a time of the boot clock were applied."""

    async def _back_off(self, fault: Fault) -> None:
        """Mark the store as unreachable and wait before the next call."""
        if self._cursor.reachable:
            self._cursor.reachable = False
            log.warning("store unreachable", table=self._table, reason=fault.text())
            if self._feed.is_reader:
                # Perhaps only the connection went silent, and a new one works.
                return
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
