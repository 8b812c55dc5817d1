"""Hands on to other nodes what this one learns: records, and versions as changes.

A follower gets what it lacks when it asks, and every change from then on. A beat
tells it that all went through, and whether this node itself hears from the store.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

import anyio

from gypsumlock.controller import Controller
from gypsumlock.mesh.feed_messages import (
    ConfigDelta,
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    RecordRow,
    RecordUpdate,
    diff_configs,
    pack_config,
)
from gypsumlock.mesh.fleet_feed import FeedListener, FleetFeed
from gypsumlock.mesh.model import MeshConfig
from gypsumlock.mesh.state import MeshState

__all__ = ["FeedRelay", "FollowerConnection"]

# Time between two beats, in seconds. Followers that miss three of them turn
# elsewhere, and must still learn of a version within two seconds.
BEAT_S = 0.4
# Older versions from which a change can still be computed.
KEPT_VERSIONS = 4


class FollowerConnection(ABC):
    """The way to a node that follows this one."""

    __slots__ = ()

    @abstractmethod
    def send_update(
        self, message: RecordUpdate | ConfigDelta | ConfigSnapshot | FeedHeartbeat
    ) -> None:
        """Send a message."""


class FeedRelay(Controller, FeedListener):
    """Keeps the followers of a node up.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    feed : FleetFeed
        What the node knows.
    """

    def __init__(self, state: MeshState, feed: FleetFeed) -> None:
        self._state = state
        self._feed = feed
        # Version of the configuration that each follower has, as far as is known.
        self._followers: dict[FollowerConnection, int] = {}
        self._older: deque[MeshConfig] = deque(maxlen=KEPT_VERSIONS)
        # Ways to the version in force from older ones; 0 stands for no version.
        self._ways: dict[int, ConfigDelta | ConfigSnapshot] = {}

    @property
    def followed(self) -> bool:
        """True while other nodes rely on this one."""
        return bool(self._followers)

    def add_follower(self, follower: FollowerConnection, asked: FollowRequest) -> None:
        """Bring a follower up, and keep it up from now on."""
        rows = [
            row
            for row in self._feed.records.values()
            if row.row_version > asked.records_synced_version
        ]
        if rows:
            follower.send_update(RecordUpdate(rows))
        self._followers[follower] = asked.config_version
        config = self._feed.config
        if config is not None:
            self._bring_up(follower, config)
        follower.send_update(self._beat())

    def remove_follower(self, follower: FollowerConnection) -> None:
        """Forget a follower whose connection is closed."""
        self._followers.pop(follower, None)

    def on_records(self, rows: list[RecordRow]) -> None:
        """Pass changed records on."""
        for follower in list(self._followers):
            follower.send_update(RecordUpdate(rows))

    def on_config(self, before: MeshConfig | None, after: MeshConfig) -> None:
        """Pass a version on, as a change where the follower has an older one."""
        if before is not None:
            self._older.append(before)
        self._ways.clear()
        for follower in list(self._followers):
            self._bring_up(follower, after)

    async def run(self) -> None:
        """Send beats until cancelled."""
        while True:
            await anyio.sleep(BEAT_S)
            beat = self._beat()
            for follower in list(self._followers):
                follower.send_update(beat)

    def _bring_up(self, follower: FollowerConnection, config: MeshConfig) -> None:
        """Send a follower what leads to a version."""
        has = self._followers[follower]
        if has >= config.version:
            return
        self._followers[follower] = config.version
        follower.send_update(self._way_from(has, config))

    def _way_from(
        self, version: int, config: MeshConfig
    ) -> ConfigDelta | ConfigSnapshot:
        """Return what leads from a version to the one in force."""
        base = next((x for x in self._older if x.version == version), None)
        if base is None:
            version = 0
        way = self._ways.get(version)
        if way is None:
            way = pack_config(config) if base is None else diff_configs(base, config)
            self._ways[version] = way
        return way

    def _beat(self) -> FeedHeartbeat:
        feed = self._feed
        return FeedHeartbeat(
            store_connected=feed.is_connected_to_store() and not self._state.stopping,
            config_version=feed.config_version,
            config_synced_version=feed.config_cursor.synced_version,
            records_synced_version=feed.records_cursor.synced_version,
        )
