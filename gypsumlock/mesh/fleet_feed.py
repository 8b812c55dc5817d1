"""A node's local copy of the configuration and of all node records.

The same update may arrive from the store and from several nodes, late and more than
once.

Invariants:
- The configuration in force and the record of a node are never replaced by older
  ones.
- A record of a later era of the store replaces one of an earlier era; the owner of a
  record that was lost writes it again.
- `synced_version` of a table is a version of the store up to which no change is
  missing.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.model import MeshConfig, UpstreamRecord
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.store_era import era_of

__all__ = ["FeedListener", "FleetFeed", "TableCursor"]

log = get_logger(Component.CONFIG)


class TableCursor:
    """Tracks how far a node has followed one table of the store."""

    __slots__ = ("confirmed", "loaded", "reachable", "synced_version")

    def __init__(self) -> None:
        # True once the complete table has been applied.
        self.loaded = False
        # Version of the store up to which all changes have been applied.
        self.synced_version = 0
        # False after a failed call to the store for this table, until one succeeds.
        self.reachable = True
        # True once the store has responded since this node last began to read it.
        self.confirmed = False

    def advance(self, version: int) -> None:
        """Record that no change up to a version is missing."""
        self.synced_version = max(self.synced_version, version)
        self.loaded = True


class FeedListener(ABC):
    """Receives the updates that changed the local copy."""

    @abstractmethod
    def on_records(self, rows: list[RecordRow]) -> None:
        """Handle records that have changed."""

    @abstractmethod
    def on_config(self, before: MeshConfig | None, after: MeshConfig) -> None:
        """Handle a configuration version that has come into force."""


class FleetFeed:
    """Merges updates from all sources and notifies a listener of actual changes.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Upstreams by service; updated whenever the records change.
    """

    __slots__ = (
        "_directory",
        "_state",
        "config_cursor",
        "is_reader",
        "listener",
        "records",
        "records_cursor",
        "records_known",
        "sources_ready",
        "store_reads_enabled",
    )

    def __init__(self, state: MeshState, directory: UpstreamDirectory) -> None:
        self._state = state
        self._directory = directory
        state.store_era.subscribe(self._begin_era)
        self.listener: FeedListener | None = None
        # Records and their row versions, by node name.
        self.records: dict[str, RecordRow] = {}
        self.config_cursor = TableCursor()
        self.records_cursor = TableCursor()
        # True while other nodes rely on this node to read the store.
        self.is_reader = False
        # Set while this node has to read the store itself.
        self.store_reads_enabled = asyncio.Event()
        self.store_reads_enabled.set()
        # Set once the records of the fleet were read. A fleet that starts for the first
        # time has none before the first upstreams have been announced.
        self.records_known = asyncio.Event()
        # Set once the first sources have responded, or no response is expected.
        self.sources_ready = asyncio.Event()

    @property
    def fleet_start(self) -> bool:
        """Whether the whole fleet starts for the first time."""
        return self._state.fleet_start

    @property
    def config(self) -> MeshConfig | None:
        """The configuration version in force; None before the first."""
        table = self._state.route_table
        return table.config if table else None

    @property
    def config_version(self) -> int:
        """Number of the configuration version in force; 0 before the first."""
        table = self._state.route_table
        return table.version if table else 0

    def mark_unconfirmed(self) -> None:
        """Mark both tables as not confirmed, because store reads resume after a pause.

        What this node last saw of the store may be out of date.
        """
        self.config_cursor.confirmed = False
        self.records_cursor.confirmed = False

    def is_connected_to_store(self) -> bool:
        """Return whether this node's reads of both tables currently succeed."""
        cursors = (self.config_cursor, self.records_cursor)
        return self.store_reads_enabled.is_set() and all(
            x.loaded and x.reachable and x.confirmed for x in cursors
        )

    def has_failed_calls(self) -> bool:
        """Return whether the last call to the store failed, for either table."""
        return not (self.config_cursor.reachable and self.records_cursor.reachable)

    def confirm_config(self, at_s: float) -> None:
        """Record that no version newer than the one in force existed at a time.

        Parameters
        ----------
        at_s : float
            Time of the boot clock.
        """
        self._state.config_contact.confirm(at_s)

    def apply_config(self, config: MeshConfig, source: str) -> bool:
        """Put a configuration version in force; return False if it isn't newer.

        Parameters
        ----------
        config : MeshConfig
            The complete version.
        source : str
            Where it came from; written to the log.
        """
        before = self.config
        if not self._state.activate_route_table(RouteTable(config)):
            return False
        log.info(
            "configuration in force",
            version=config.version,
            before=before.version if before else 0,
            routes=len(config.routes),
            source=source,
        )
        if self.listener is not None:
            self.listener.on_config(before, config)
        return True

    def merge_records(self, rows: Iterable[RecordRow]) -> None:
        """Merge those records that are newer than the local ones."""
        newer = [row for row in rows if self._is_newer(row)]
        self.observe_era(max((row.row_version for row in newer), default=0))
        for row in newer:
            self.records[row.record.node] = row
        if newer:
            self._update_directory()
            if any(self._concerns_own_row(row.record) for row in newer):
                self._state.publish_needed.set()
            if self.listener is not None:
                self.listener.on_records(newer)

    def observe_era(self, version: int) -> None:
        """Note the era of a version that came from the store or another node."""
        self._state.store_era.observe(era_of(version))

    def _begin_era(self) -> None:
        """Have the node's own row read and, if need be, written again."""
        self._state.published.update(None)
        self._state.publish_needed.set()

    def drop_records(self, nodes: Iterable[str], store_version: int) -> None:
        """Remove records whose rows no longer existed at a version of the store.

        A record whose row was written after that version is kept.
        """
        deleted = [
            node
            for node in nodes
            if node in self.records and self.records[node].row_version <= store_version
        ]
        for node in deleted:
            del self.records[node]
        if deleted:
            self._update_directory()
        if self._state.node in deleted:
            self._state.published.update(None)
            self._state.publish_needed.set()

    def services(self) -> set[str]:
        """Return the services of all upstreams that are known."""
        return {row.record.service for row in self.records.values()}

    def newest_records(self) -> list[UpstreamRecord]:
        """Return the newest record of each address.

        The row of a terminated machine stays in the table, and its address can be
        assigned to another machine.
        """
        ordered = sorted(self.records.values(), key=lambda row: row.row_version)
        newest = {row.record.peer_address: row.record for row in ordered}
        return list(newest.values())

    def _is_newer(self, row: RecordRow) -> bool:
        current = self.records.get(row.record.node)
        return current is None or row.row_version > current.row_version

    def _concerns_own_row(self, record: UpstreamRecord) -> bool:
        """Return whether this node's row may have to be written again.

        Another process of this node may have written it, or another program a row with
        this node's address.
        """
        state = self._state
        own_address = state.addresses.peers
        return record.node == state.node or record.peer_address == own_address

    def _update_directory(self) -> None:
        records = self.newest_records()
        if self._state.bounds.rollout is not None:
            # A terminated conductor's row may be hidden by a newer one of its address.
            everything = [row.record for row in self.records.values()]
            self._state.versions.update(records, everything)
        elif self._state.versions.services:
            # Reloaded settings no longer bound roll-outs: versions are ignored.
            self._state.versions.update((), ())
        self._directory.update({x.node: x for x in records})
