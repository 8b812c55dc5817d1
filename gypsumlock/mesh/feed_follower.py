"""Follows other nodes that read the store, and reads it itself where it must.

A node reads the store if it is one of its zone's readers, if others follow it, or
if no source is left that lives and hears from the store. Two sources are followed
at a time, so that the loss of one is not noticed by those that rely on it.
"""

from __future__ import annotations

import asyncio
import random

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import (
    ConfigChange,
    ConfigWhole,
    FeedBeat,
    Follow,
    RecordNews,
    apply_change,
    unpack_config,
)
from gypsumlock.mesh.feed_relay import FeedRelay
from gypsumlock.mesh.feed_sources import readers_of_zone, sources_of
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.frames import FramedProtocol, Message
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.state import MeshState

__all__ = ["FeedFollower"]

log = get_logger(Component.CONFIG)

# Sources followed at a time.
FOLLOWED_SOURCES = 2
# Time without a beat after which a source is given up: three beats and a half.
SILENT_S = 1.4
# Time for which a source that doesn't hear from the store is kept, in seconds.
STALE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
TICK_S = 0.2
# Time between two looks whether the records were read, in seconds.
FIRST_TICK_S = 0.02
# Time for which a source that failed isn't asked again: first and longest, seconds.
FIRST_PENALTY_S = 3.0
MAX_PENALTY_S = 24.0
# Time after which a source that is ahead is asked for what didn't arrive.
REPAIR_S = 0.4
# Longest delay before a node that lost its sources turns to the store, so that not
# all of them do at once.
TURN_SPREAD_S = 0.3


class _Penalty:
    """Time for which a source that failed isn't asked again."""

    __slots__ = ("length_s", "until_s")

    def __init__(self, until_s: float, length_s: float) -> None:
        self.until_s = until_s
        self.length_s = length_s


class _Source(FramedProtocol):
    """Connection to one node that is followed."""

    __slots__ = ("_feed", "_fresh_at_s", "_repair_at_s", "beat", "closed", "node")

    def __init__(self, node: str, feed: FleetFeed, meter: LinkMeter) -> None:
        super().__init__(meter)
        self.node = node
        self._feed = feed
        self.beat: FeedBeat | None = None
        self.closed = False
        self._fresh_at_s = self.loop.time()
        self._repair_at_s = 0.0

    def ask(self) -> None:
        """Ask for all that is newer than what this node knows."""
        feed = self._feed
        self._repair_at_s = self.loop.time() + REPAIR_S
        self.send(Follow(feed.config_version, feed.records_cursor.upto))

    def is_silent(self) -> bool:
        """Tell whether the source has to be given up."""
        return self.closed or self.loop.time() - self.heard_at_s > SILENT_S

    def is_fresh(self) -> bool:
        """Tell whether the source hears from the store."""
        return self.beat is not None and self.beat.fresh and not self.is_silent()

    def is_stale(self) -> bool:
        """Tell whether the source has not heard from the store for long."""
        return self.loop.time() - self._fresh_at_s > STALE_S

    def handle_message(self, message: Message) -> None:
        """Take news in."""
        if isinstance(message, RecordNews):
            self._feed.take_records(message.rows)
        elif isinstance(message, ConfigChange):
            self._take_change(message)
        elif isinstance(message, ConfigWhole):
            config = unpack_config(message)
            if config is not None:
                self._feed.take_config(config, self.node)
        elif isinstance(message, FeedBeat):
            self._take_beat(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the source is gone."""
        self.closed = True

    def _take_change(self, change: ConfigChange) -> None:
        base = self._feed.config
        if base is None or base.version >= change.version:
            return
        config = apply_change(base, change)
        if config is not None:
            self._feed.take_config(config, self.node)

    def _take_beat(self, beat: FeedBeat) -> None:
        self.beat = beat
        if beat.fresh:
            self._fresh_at_s = self.loop.time()
        feed = self._feed
        if beat.records_upto and feed.records_cursor.known:
            feed.records_cursor.advance(beat.records_upto)
        if beat.config_version <= feed.config_version:
            if beat.config_version == feed.config_version > 0:
                feed.config_cursor.advance(beat.config_upto)
        elif self.loop.time() >= self._repair_at_s:
            log.info(
                "version missed",
                source=self.node,
                version=beat.config_version,
                in_force=feed.config_version,
            )
            self.ask()


class FeedFollower(Controller):
    """Chooses sources, and tells the watchers whether to read the store.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    feed : FleetFeed
        What the node knows.
    relay : FeedRelay
        Keeps those up that follow this node.
    chance : random.Random
        Spreads the turns of many nodes to the store.
    """

    def __init__(
        self, state: MeshState, feed: FleetFeed, relay: FeedRelay, chance: random.Random
    ) -> None:
        self._state = state
        self._feed = feed
        self._relay = relay
        self._chance = chance
        self._sources: dict[str, _Source] = {}
        self._penalties: dict[str, _Penalty] = {}
        # Time from which a node without a source reads the store.
        self._turn_at_s: float | None = None

    async def run(self) -> None:
        """Keep the sources up until cancelled."""
        while not self._state.directory_known:
            await anyio.sleep(FIRST_TICK_S)
        try:
            while True:
                await self._tick()
                await anyio.sleep(TICK_S)
        finally:
            for source in self._sources.values():
                source.abort()

    async def _tick(self) -> None:
        self._drop_silent()
        records = self._feed.newest_records()
        readers = readers_of_zone(records, self._state.zone)
        wanted = self._wanted(sources_of(self._state.node, readers))
        if self._is_isolated(readers):
            wanted += self._helpers(records, readers)
        for node in list(self._sources):
            if node not in wanted:
                self._sources.pop(node).abort()
        missing = [node for node in wanted if node not in self._sources]
        # A reader asks the store at once: after the end of all nodes nobody else does.
        self._decide(readers)
        if self._feed.is_reader:
            self._feed.sources_settled.set()
        # Taken now: a record may be dropped while others are connected to.
        addresses = [self._feed.records[node].record.peer_address for node in missing]
        connects = map(self._connect, missing, addresses)
        await asyncio.gather(*connects)
        self._decide(readers)
        if not self._sources or self._any_fresh():
            self._feed.sources_settled.set()

    def _wanted(self, candidates: list[str]) -> list[str]:
        now_s = asyncio.get_running_loop().time()
        barred = {
            node for node, penalty in self._penalties.items() if penalty.until_s > now_s
        }
        return [x for x in candidates if x not in barred][:FOLLOWED_SOURCES]

    def _is_isolated(self, readers: list[str]) -> bool:
        """Tell whether neither the store nor the readers tell anything new."""
        if self._feed.hears_from_store():
            return False
        fresh = (x.is_fresh() for x in self._sources.values() if x.node in readers)
        return self._feed.read_store.is_set() and not any(fresh)

    def _any_fresh(self) -> bool:
        return any(source.is_fresh() for source in self._sources.values())

    def _helpers(self, records: list[UpstreamRecord], readers: list[str]) -> list[str]:
        """Return a node that may hear from the store though the readers don't."""
        others = [x.node for x in records if x.serving and x.node not in readers]
        return self._wanted(sources_of(self._state.node, others))[:1]

    def _drop_silent(self) -> None:
        for node, source in list(self._sources.items()):
            if source.is_silent():
                source.abort()
                del self._sources[node]
                self._penalise(node)
            elif source.is_fresh():
                self._penalties.pop(node, None)
            elif source.is_stale():
                # Another one may hear from the store.
                source.abort()
                del self._sources[node]
                self._bar(node, FIRST_PENALTY_S)

    def _penalise(self, node: str) -> None:
        last = self._penalties.get(node)
        length_s = FIRST_PENALTY_S
        if last is not None:
            length_s = min(MAX_PENALTY_S, 2 * last.length_s)
        self._bar(node, length_s)

    def _bar(self, node: str, length_s: float) -> None:
        until_s = asyncio.get_running_loop().time() + length_s
        self._penalties[node] = _Penalty(until_s, length_s)
        log.info("source lost", source=node, not_asked_s=length_s)

    async def _connect(self, node: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, source = await loop.create_connection(
                    lambda: _Source(node, self._feed, self._state.link_meter),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            log.info("source can't be reached", source=node, reason=str(error))
            self._penalise(node)
            return
        self._sources[node] = source
        source.ask()

    def _decide(self, readers: list[str]) -> None:
        """Set or clear `read_store`."""
        must = self._state.node in readers or self._relay.followed
        self._feed.is_reader = must
        if must or self._any_fresh():
            self._turn_at_s = None
            self._set_read_store(must)
            return
        now_s = asyncio.get_running_loop().time()
        if self._turn_at_s is None:
            self._turn_at_s = now_s + TURN_SPREAD_S * self._chance.random()
        if now_s >= self._turn_at_s:
            self._set_read_store(True)

    def _set_read_store(self, read: bool) -> None:
        event = self._feed.read_store
        if read == event.is_set():
            return
        log.info("store read by this node", read=read, sources=sorted(self._sources))
        if read:
            self._feed.begin_reading()
            event.set()
        else:
            event.clear()
