"""Follows other nodes that read the store, or enables the node's own reads.

A node reads the store if it is one of its zone's readers, if other nodes follow it,
or if it has no live source whose own reads of the store succeed. It follows two
sources at a time, so that the loss of one does not interrupt its updates.
"""

from __future__ import annotations

import asyncio
import random

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    PackedDelta,
    RecordUpdate,
    apply_delta,
    unpack_config,
    unpack_delta,
    unpack_records,
)
from gypsumlock.mesh.feed_relay import FeedRelay
from gypsumlock.mesh.feed_sources import rank_sources, select_zone_readers
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.frames import FramedProtocol, Message
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.organisations import HeartbeatTimes

__all__ = ["FeedFollower"]

log = get_logger(Component.CONFIG)

# Number of sources followed at a time.
MAX_SOURCES = 2
# Time without a message after which a source is dropped, in seconds: three and a half
# heartbeat intervals.
SOURCE_TIMEOUT_S = 1.4
# Time for which a source is kept after its last report that its own reads of the store
# succeed, in seconds.
STALE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
TICK_INTERVAL_S = 0.2
# Backoff before a failed source is used again, in seconds: initial and maximum.
INITIAL_BACKOFF_S = 3.0
MAX_BACKOFF_S = 24.0
# Minimum time between two update requests to a source that reports a version that has
# not arrived, in seconds.
RESYNC_DELAY_S = 0.4
# Maximum random delay before a node without sources starts to read the store, in
# seconds. It keeps such nodes from all starting at once.
STORE_FALLBACK_JITTER_S = 0.3


class _SourceBackoff:
    """Period in which a failed source is not used."""

    __slots__ = ("delay_s", "until_s")

    def __init__(self, until_s: float, delay_s: float) -> None:
        self.until_s = until_s
        self.delay_s = delay_s


class _SourceConnection(FramedProtocol):
    """Connection to a source: a node that this node follows."""

    __slots__ = (
        "_feed",
        "_heartbeat_times",
        "_resync_at_s",
        "_store_connected_at_s",
        "closed",
        "heartbeat",
        "node",
    )

    def __init__(
        self, node: str, feed: FleetFeed, meter: LinkMeter, memory: MemoryAccount
    ) -> None:
        super().__init__(meter, memory)
        self.node = node
        self._feed = feed
        self.heartbeat: FeedHeartbeat | None = None
        self.closed = False
        self._store_connected_at_s = self.loop.time()
        self._resync_at_s = 0.0
        self._heartbeat_times = HeartbeatTimes(boot_time_s())

    def request_updates(self) -> None:
        """Ask for everything that is newer than this node's state."""
        feed = self._feed
        self._resync_at_s = self.loop.time() + RESYNC_DELAY_S
        self.send(
            FollowRequest(feed.config_version, feed.records_cursor.synced_version)
        )

    def is_lost(self) -> bool:
        """Return whether the connection is closed or has timed out."""
        return self.closed or self.loop.time() - self.last_received_s > SOURCE_TIMEOUT_S

    def is_store_connected(self) -> bool:
        """Return whether the source is alive and its reads of the store succeed."""
        return (
            self.heartbeat is not None
            and self.heartbeat.store_connected
            and not self.is_lost()
        )

    def is_stale(self) -> bool:
        """Return whether the source's reads of the store have failed for too long."""
        return self.loop.time() - self._store_connected_at_s > STALE_TIMEOUT_S

    def handle_message(self, message: Message) -> None:
        """Apply an update or a heartbeat."""
        if isinstance(message, RecordUpdate):
            self._feed.merge_records(unpack_records(message))
        elif isinstance(message, PackedDelta):
            self._apply_delta(message)
        elif isinstance(message, ConfigSnapshot):
            config = unpack_config(message)
            if config is not None:
                self._feed.apply_config(config, self.node)
        elif isinstance(message, FeedHeartbeat):
            self._handle_heartbeat(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed."""
        super().connection_lost(exc)
        self.closed = True

    def _apply_delta(self, packed: PackedDelta) -> None:
        base = self._feed.config
        if base is None or base.version >= packed.version:
            return
        delta = unpack_delta(packed)
        config = apply_delta(base, delta) if delta is not None else None
        if config is not None:
            self._feed.apply_config(config, self.node)

    def _handle_heartbeat(self, heartbeat: FeedHeartbeat) -> None:
        self.heartbeat = heartbeat
        if heartbeat.store_connected:
            self._store_connected_at_s = self.loop.time()
        feed = self._feed
        sent_at_s = self._heartbeat_times.next(boot_time_s())
        if heartbeat.store_connected and (
            heartbeat.config_version <= feed.config_version
        ):
            feed.confirm_config(sent_at_s - heartbeat.config_age_s)
        feed.observe_era(heartbeat.records_synced_version)
        feed.observe_era(heartbeat.config_synced_version)
        if heartbeat.records_synced_version and feed.records_cursor.loaded:
            feed.records_cursor.advance(heartbeat.records_synced_version)
        if heartbeat.config_version <= feed.config_version:
            if heartbeat.config_version == feed.config_version > 0:
                feed.config_cursor.advance(heartbeat.config_synced_version)
        elif self.loop.time() >= self._resync_at_s:
            log.info(
                "configuration version missed",
                source=self.node,
                version=heartbeat.config_version,
                in_force=feed.config_version,
            )
            self.request_updates()


class FeedFollower(Controller):
    """Connects to sources, and enables the node's own reads of the store if needed.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    feed : FleetFeed
        The node's local copy, which receives the updates.
    relay : FeedRelay
        Forwards updates to the nodes that follow this node.
    rng : random.Random
        Source of the jitter before a node without sources reads the store.
    """

    def __init__(
        self, state: MeshState, feed: FleetFeed, relay: FeedRelay, rng: random.Random
    ) -> None:
        self._state = state
        self._feed = feed
        self._relay = relay
        self._rng = rng
        self._sources: dict[str, _SourceConnection] = {}
        self._backoffs: dict[str, _SourceBackoff] = {}
        # Time at which a node without a source begins to read the store.
        self._store_fallback_at_s: float | None = None

    async def run(self) -> None:
        """Maintain the connections to the sources until cancelled."""
        await self._feed.records_known.wait()
        try:
            while True:
                await self._tick()
                await anyio.sleep(TICK_INTERVAL_S)
        finally:
            for source in self._sources.values():
                source.abort()

    async def _tick(self) -> None:
        self._drop_failed_sources()
        records = self._feed.newest_records()
        readers = select_zone_readers(records, self._state.zone)
        selected = self._select_sources(rank_sources(self._state.node, readers))
        if self._is_isolated(readers):
            selected += self._select_fallback(records, readers)
        for node in list(self._sources):
            if node not in selected:
                self._sources.pop(node).abort()
        missing = [node for node in selected if node not in self._sources]
        # A reader reads the store without waiting for the connections below: when all
        # nodes restart together, no other node reads it.
        self._update_store_reads(readers)
        if self._feed.is_reader:
            self._feed.sources_ready.set()
        # Look up all addresses before the first connection attempt: a record may be
        # dropped while the node connects.
        addresses = [self._feed.records[node].record.peer_address for node in missing]
        connects = map(self._connect, missing, addresses)
        await asyncio.gather(*connects)
        self._update_store_reads(readers)
        if not self._sources or self._has_connected_source():
            self._feed.sources_ready.set()

    def _select_sources(self, candidates: list[str]) -> list[str]:
        """Return the first candidates that are not in backoff."""
        now_s = asyncio.get_running_loop().time()
        excluded = {
            node for node, backoff in self._backoffs.items() if backoff.until_s > now_s
        }
        return [x for x in candidates if x not in excluded][:MAX_SOURCES]

    def _is_isolated(self, readers: list[str]) -> bool:
        """Return whether neither the store nor any reader provides updates."""
        feed = self._feed
        # Until a call has failed, this node and its sources may still be starting.
        if feed.is_connected_to_store() or not feed.has_failed_calls():
            return False
        connected = (
            x.is_store_connected() for x in self._sources.values() if x.node in readers
        )
        return feed.store_reads_enabled.is_set() and not any(connected)

    def _has_connected_source(self) -> bool:
        """Return whether a source's own reads of the store succeed."""
        return any(source.is_store_connected() for source in self._sources.values())

    def _select_fallback(
        self, records: list[UpstreamRecord], readers: list[str]
    ) -> list[str]:
        """Return at most one other node, whose reads of the store may succeed.

        It is used while those of the readers fail.
        """
        others = [x.node for x in records if x.serving and x.node not in readers]
        return self._select_sources(rank_sources(self._state.node, others))[:1]

    def _drop_failed_sources(self) -> None:
        for node, source in list(self._sources.items()):
            if source.is_lost():
                source.abort()
                del self._sources[node]
                self._increase_backoff(node)
            elif source.is_store_connected():
                self._backoffs.pop(node, None)
            elif source.is_stale():
                # Make room for a source whose reads of the store may succeed.
                source.abort()
                del self._sources[node]
                self._set_backoff(node, INITIAL_BACKOFF_S)

    def _increase_backoff(self, node: str) -> None:
        last = self._backoffs.get(node)
        delay_s = INITIAL_BACKOFF_S
        if last is not None:
            delay_s = min(MAX_BACKOFF_S, 2 * last.delay_s)
        self._set_backoff(node, delay_s)

    def _set_backoff(self, node: str, delay_s: float) -> None:
        until_s = asyncio.get_running_loop().time() + delay_s
        self._backoffs[node] = _SourceBackoff(until_s, delay_s)
        log.info("source dropped", source=node, not_asked_s=delay_s)

    async def _connect(self, node: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, source = await loop.create_connection(
                    lambda: _SourceConnection(
                        node, self._feed, self._state.link_meter, self._state.memory
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            log.info("source unreachable", source=node, reason=str(error))
            self._increase_backoff(node)
            return
        self._sources[node] = source
        source.request_updates()

    def _update_store_reads(self, readers: list[str]) -> None:
        """Decide whether this node has to read the store itself."""
        is_reader = self._state.node in readers or self._relay.has_followers
        self._feed.is_reader = is_reader
        if is_reader or self._has_connected_source():
            self._store_fallback_at_s = None
            self._set_store_reads(is_reader)
            return
        now_s = asyncio.get_running_loop().time()
        if self._store_fallback_at_s is None:
            self._store_fallback_at_s = (
                now_s + STORE_FALLBACK_JITTER_S * self._rng.random()
            )
        if now_s >= self._store_fallback_at_s:
            self._set_store_reads(True)

    def _set_store_reads(self, enabled: bool) -> None:
        event = self._feed.store_reads_enabled
        if enabled == event.is_set():
            return
        log.info("store reads changed", read=enabled, sources=sorted(self._sources))
        if enabled:
            self._feed.mark_unconfirmed()
            event.set()
        else:
            event.clear()
