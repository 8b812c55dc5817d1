"""Forwards updates of the records and the configuration to other nodes.

On a follow request a follower receives everything that it lacks, and from then on
every change. Heartbeats tell it that all changes up to a version have been sent, and
whether this node's own reads of the store succeed. Configuration versions are sent as
deltas where possible.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

import anyio

from gypsumlock.controller import Controller
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    PackedDelta,
    RecordRow,
    RecordUpdate,
    diff_configs,
    pack_config,
    pack_delta,
    pack_records,
)
from gypsumlock.mesh.fleet_feed import FeedListener, FleetFeed
from gypsumlock.mesh.model import MeshConfig
from gypsumlock.mesh.state import MeshState

__all__ = ["FeedRelay", "FollowerConnection"]

# Time between two heartbeats, in seconds. A follower that misses three of them
# switches to another source, and must still receive a new version within two seconds.
HEARTBEAT_INTERVAL_S = 0.4
# Number of older versions kept as bases for deltas.
MAX_BASE_VERSIONS = 4


class FollowerConnection(ABC):
    """Connection to a node that follows this one."""

    __slots__ = ()

    @abstractmethod
    def send_update(
        self, message: RecordUpdate | PackedDelta | ConfigSnapshot | FeedHeartbeat
    ) -> None:
        """Send an update or a heartbeat."""


class FeedRelay(Controller, FeedListener):
    """Keeps the followers of a node up to date.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    feed : FleetFeed
        The node's local copy, whose changes are forwarded.
    """

    def __init__(self, state: MeshState, feed: FleetFeed) -> None:
        self._state = state
        self._feed = feed
        # Last configuration version that each follower reported or was sent.
        self._followers: dict[FollowerConnection, int] = {}
        self._base_configs: deque[MeshConfig] = deque(maxlen=MAX_BASE_VERSIONS)
        # Cached updates to the version in force, by base version; the snapshot has
        # the key 0.
        self._config_updates: dict[int, PackedDelta | ConfigSnapshot] = {}

    @property
    def has_followers(self) -> bool:
        """True while other nodes follow this one."""
        return bool(self._followers)

    def add_follower(
        self, follower: FollowerConnection, request: FollowRequest
    ) -> None:
        """Send a follower what it lacks, and every change from now on."""
        rows = [
            row
            for row in self._feed.records.values()
            if row.row_version > request.records_synced_version
        ]
        if rows:
            follower.send_update(pack_records(rows))
        self._followers[follower] = request.config_version
        config = self._feed.config
        if config is not None:
            self._send_config(follower, config)
        follower.send_update(self._build_heartbeat())

    def remove_follower(self, follower: FollowerConnection) -> None:
        """Remove a follower whose connection is closed."""
        self._followers.pop(follower, None)

    def on_records(self, rows: list[RecordRow]) -> None:
        """Forward changed records."""
        update = pack_records(rows)
        for follower in list(self._followers):
            follower.send_update(update)

    def on_config(self, before: MeshConfig | None, after: MeshConfig) -> None:
        """Forward a version, as a delta if the follower's version is still kept."""
        if before is not None:
            self._base_configs.append(before)
        self._config_updates.clear()
        for follower in list(self._followers):
            self._send_config(follower, after)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
            heartbeat = self._build_heartbeat()
            for follower in list(self._followers):
                follower.send_update(heartbeat)

    def _send_config(self, follower: FollowerConnection, config: MeshConfig) -> None:
        """Send a follower an update to a version, unless it already has it."""
        base_version = self._followers[follower]
        if base_version >= config.version:
            return
        self._followers[follower] = config.version
        follower.send_update(self._config_update_from(base_version, config))

    def _config_update_from(
        self, version: int, config: MeshConfig
    ) -> PackedDelta | ConfigSnapshot:
        """Return the update from a version to the one in force."""
        base = next((x for x in self._base_configs if x.version == version), None)
        if base is None:
            version = 0
        update = self._config_updates.get(version)
        if update is None:
            if base is None:
                update = pack_config(config)
            else:
                update = pack_delta(diff_configs(base, config))
            self._config_updates[version] = update
        return update

    def _build_heartbeat(self) -> FeedHeartbeat:
        feed = self._feed
        config_age_s = 0.0
        if self._state.bounds.revocation is not None:
            config_age_s = self._state.config_contact.age_s(boot_time_s())
        return FeedHeartbeat(
            store_connected=feed.is_connected_to_store() and not self._state.stopping,
            config_version=feed.config_version,
            config_synced_version=feed.config_cursor.synced_version,
            records_synced_version=feed.records_cursor.synced_version,
            config_age_s=config_age_s,
        )
