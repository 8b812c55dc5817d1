"""Controller that follows the operator's configuration in the store."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Result

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedStore, TableChanges
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.model import MeshConfig
from gypsumlock.mesh.table_watcher import TableWatcher
from gypsumlock.result_codes import Fault

__all__ = ["ConfigWatcher"]

log = get_logger(Component.CONFIG)

# Long-poll timeout in seconds. A store that fails silently never responds to a pending
# long poll, and sends no notification when it recovers. This is short enough to notice
# that in time.
CONFIG_WAIT_S = 2.0
# Delay between two calls of a node that no other node relies on, in seconds. It reads
# the store only until it finds a node to follow.
UNFOLLOWED_CONFIG_DELAY_S = 1.0

ConfigDecoder = Callable[[bytes], Result[MeshConfig, Fault]]


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

    def _confirm(self, at_s: float) -> None:
        """Record the contact with the store."""
        self._feed.confirm_config(at_s)

    def _apply_config(self, value: bytes) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log.error("configuration rejected", reason=decoded.err_value.text())
            return
        self._feed.apply_config(decoded.ok_value, "store")
