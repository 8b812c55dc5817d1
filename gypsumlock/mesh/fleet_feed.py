"""What a node knows of the configuration and of the other nodes, and how far.

The same news may come from the store and from several nodes, late and more than
once. Invariants: the configuration in force and the record of a node are never
replaced by older ones; `upto` of a table is a version of the store up to which
nothing is missing.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.directory import Directory
from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.model import MeshConfig, UpstreamRecord
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.state import MeshState

__all__ = ["FeedListener", "FleetFeed", "TableCursor"]

log = get_logger(Component.CONFIG)


class TableCursor:
    """How far one table of the store was followed."""

    __slots__ = ("confirmed", "known", "reachable", "upto")

    def __init__(self) -> None:
        # True once the whole table was taken in.
        self.known = False
        # Version of the store up to which everything was taken in.
        self.upto = 0
        # False since a call to the store about this table failed.
        self.reachable = True
        # True once the store has answered since this node began to read it.
        self.confirmed = False

    def advance(self, version: int) -> None:
        """Note that nothing up to a version is missing."""
        self.upto = max(self.upto, version)
        self.known = True


class FeedListener(ABC):
    """Is told what is new."""

    @abstractmethod
    def on_records(self, rows: list[RecordRow]) -> None:
        """Take note of records that have changed."""

    @abstractmethod
    def on_config(self, before: MeshConfig | None, after: MeshConfig) -> None:
        """Take note of a version that has come in force."""


class FleetFeed:
    """Takes news in and tells a listener what was really new.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    directory : Directory
        Upstreams by service, kept up with the records.
    """

    __slots__ = (
        "_directory",
        "_state",
        "config_cursor",
        "is_reader",
        "listener",
        "read_store",
        "records",
        "records_cursor",
        "sources_settled",
    )

    def __init__(self, state: MeshState, directory: Directory) -> None:
        self._state = state
        self._directory = directory
        self.listener: FeedListener | None = None
        # Records and the versions of their rows, by the name of their node.
        self.records: dict[str, RecordRow] = {}
        self.config_cursor = TableCursor()
        self.records_cursor = TableCursor()
        # True while other nodes rely on this one's reading of the store.
        self.is_reader = False
        # Set while this node is to read the store itself.
        self.read_store = asyncio.Event()
        self.read_store.set()
        # Set once the first sources have answered, or none is expected to.
        self.sources_settled = asyncio.Event()

    @property
    def config(self) -> MeshConfig | None:
        """The version in force."""
        table = self._state.table
        return table.config if table else None

    @property
    def config_version(self) -> int:
        """Number of the version in force; 0 before the first."""
        table = self._state.table
        return table.version if table else 0

    def begin_reading(self) -> None:
        """Note that what was known of the store is from before a pause."""
        self.config_cursor.confirmed = False
        self.records_cursor.confirmed = False

    def hears_from_store(self) -> bool:
        """Tell whether the store answers this node about both tables."""
        cursors = (self.config_cursor, self.records_cursor)
        return self.read_store.is_set() and all(
            x.known and x.reachable and x.confirmed for x in cursors
        )

    def take_config(self, config: MeshConfig, source: str) -> bool:
        """Put a version in force; return False for one that isn't newer.

        Parameters
        ----------
        config : MeshConfig
            The whole version.
        source : str
            Where it came from, for the log.
        """
        before = self.config
        if not self._state.put_in_force(RouteTable(config)):
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

    def take_records(self, rows: Iterable[RecordRow]) -> None:
        """Take in those records that are newer than what is known."""
        fresh = [row for row in rows if self._is_newer(row)]
        for row in fresh:
            self.records[row.record.node] = row
        if fresh:
            self._update_directory()
            if self.listener is not None:
                self.listener.on_records(fresh)

    def drop_records(self, nodes: Iterable[str], upto: int) -> None:
        """Forget records whose rows were gone at a version of the store."""
        gone = [
            node
            for node in nodes
            if node in self.records and self.records[node].row_version <= upto
        ]
        for node in gone:
            del self.records[node]
        if gone:
            self._update_directory()

    def newest_records(self) -> list[UpstreamRecord]:
        """Return the newest record of each address.

        A machine that is gone leaves its row behind, and its address goes to another.
        """
        ordered = sorted(self.records.values(), key=lambda row: row.row_version)
        newest = {row.record.peer_address: row.record for row in ordered}
        return list(newest.values())

    def _is_newer(self, row: RecordRow) -> bool:
        known = self.records.get(row.record.node)
        return known is None or row.row_version > known.row_version

    def _update_directory(self) -> None:
        self._directory.update({x.node: x for x in self.newest_records()})
