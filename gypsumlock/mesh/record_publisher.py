"""Controller that publishes the node's own record in the store."""

from __future__ import annotations

import anyio
import msgspec
from msgspec.structs import replace
from result import Err

from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedStore
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.model import Departure, UpstreamRecord
from gypsumlock.mesh.record_watcher import RECORD_TABLE, decode_record
from gypsumlock.mesh.state import MeshState

__all__ = ["RecordPublisher"]

log = get_logger(Component.CONFIG)

# Backoff after a failed write, in seconds: initial and maximum.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 0.8
# Minimum time between two writes of the node's own record, in seconds.
MIN_PUBLISH_INTERVAL_S = 0.2
# Interval at which a starting node checks whether the records were read, in seconds.
RESTORE_POLL_INTERVAL_S = 0.02


class RecordPublisher(Controller):
    """Keeps the node's own row in the store up to date.

    Each write is conditional on the version of the row that it replaces, so that a
    write that takes effect late never overwrites a newer one.
    """

    def __init__(self, store: FeedStore, state: MeshState, feed: FleetFeed) -> None:
        self._store = store
        self._state = state
        self._feed = feed
        self._row_version = 0
        # What an earlier process of this node last published.
        self._previous: UpstreamRecord | None = None

    async def run(self) -> None:
        """Publish each change until cancelled."""
        await self._restore_published_record()
        backoff = Backoff(RETRY_BASE_S, RETRY_MAX_S)
        while True:
            await self._state.publish_needed.wait()
            self._state.publish_needed.clear()
            self._adopt_newer_row()
            desired = self.desired_record()
            has_written = False
            while self._must_publish(desired):
                has_written = True
                if not await self._write(desired):
                    await backoff.wait()
                desired = self.desired_record()
            backoff.reset()
            if has_written:
                await anyio.sleep(MIN_PUBLISH_INTERVAL_S)

    def _must_publish(self, desired: UpstreamRecord) -> bool:
        """Return whether the row differs from the desired record.

        A node without an upstream needs no row, unless a row says otherwise.
        """
        published = self._state.published.record
        if published is not None and self._awaits_upstream(desired, published):
            return False
        if published is not None or desired.instance or desired.departures:
            return desired != published or self._is_hidden()
        own_address = self._state.addresses.peers
        records = self._feed.newest_records()
        return any(record.peer_address == own_address for record in records)

    def _is_hidden(self) -> bool:
        """Return whether a newer row of another name holds this node's address.

        Other nodes use only the newest row of an address.
        """
        state = self._state
        return not state.stopping and any(
            row.record.peer_address == state.addresses.peers
            and row.record.node != state.node
            and row.row_version > self._row_version
            for row in self._feed.records.values()
        )

    def _awaits_upstream(
        self, desired: UpstreamRecord, published: UpstreamRecord
    ) -> bool:
        """Return whether a starting node may soon hear of its upstream.

        Until then what an earlier process has published stays: without it, other nodes
        would take the upstream out of use for a moment.
        """
        state = self._state
        is_known = state.registry.current is not None or state.upstream_probed
        return not is_known and desired.departures == published.departures

    def desired_record(self) -> UpstreamRecord:
        """Return the record that the row should hold now."""
        state = self._state
        record = UpstreamRecord(
            node=state.node,
            peer_address=state.addresses.peers,
            zone=state.zone,
            link_mbps=state.link_mbps,
            departures=state.registry.departures(),
            rollouts=state.rollouts,
            requests_bodies=True,
        )
        incarnation = state.registry.current
        if incarnation is None:
            return self._with_previous_upstream(record)
        return replace(
            record,
            service=incarnation.service,
            instance=incarnation.instance,
            born_ms=incarnation.born_ms,
            slots=incarnation.slots,
            serving=not incarnation.leaving and not state.stopping,
            departed=incarnation.leaving,
            version=incarnation.version,
            retired=state.version_gate.retired,
        )

    def _with_previous_upstream(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return a record with what an earlier process knew of the upstream.

        It is all that the next process will know if this one hears of no upstream.
        """
        previous = self._previous
        if previous is None:
            return record
        return replace(
            record,
            service=previous.service,
            instance=previous.instance,
            born_ms=previous.born_ms,
            slots=previous.slots,
            departed=previous.departed,
            version=previous.version,
        )

    async def _restore_published_record(self) -> None:
        """Restore what an earlier process of this node published."""
        while not self._state.directory_loaded:
            await anyio.sleep(RESTORE_POLL_INTERVAL_S)
        row = self._feed.records.get(self._state.node)
        if row is not None:
            self._previous = row.record
            if self._state.bounds.rollout is not None:
                self._state.rollouts = row.record.rollouts
            self._adopt_row(row.row_version, row.record)
        self._state.previous_record.set_result(self._previous)

    def _adopt_newer_row(self) -> None:
        """Adopt a row that was written after this process last read or wrote it.

        A write of an earlier process can take effect late.
        """
        row = self._feed.records.get(self._state.node)
        if row is not None and row.row_version > self._row_version:
            self._adopt_row(row.row_version, row.record)

    def _adopt_row(self, version: int, record: UpstreamRecord | None) -> None:
        """Continue from a row of the store, and learn the departures that it holds."""
        self._row_version = version
        self._state.published.update(record)
        if record is None:
            return
        departures = record.departures
        if record.departed:
            departures = (Departure(record.instance, record.born_ms), *departures)
        for departure in departures:
            self._state.registry.restore_departure(departure)

    async def _write(self, desired: UpstreamRecord) -> bool:
        """Write the row; return False if the call to the store failed."""
        value = msgspec.json.encode(desired)
        written = await self._store.write_row(
            RECORD_TABLE, self._state.node, value, self._row_version
        )
        if isinstance(written, Err):
            log.warning("record not published", reason=written.err_value.text())
            return False
        current = written.ok_value.current
        if current is None:
            self._row_version = written.ok_value.version
            self._state.published.update(desired)
            log.info("record published", serving=desired.serving, slots=desired.slots)
            return True
        # An earlier write whose response was lost took effect, or another process
        # has written the row.
        self._adopt_row(current.version, decode_record(current))
        return True
