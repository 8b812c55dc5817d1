"""Messages by which a node hands on what it has read from the store.

Pure: building and applying the change between two versions needs no network.
"""

from __future__ import annotations

import zlib

import msgspec

from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    RouteSpec,
    ServiceSpec,
    UpstreamRecord,
)

__all__ = [
    "ConfigDelta",
    "ConfigSnapshot",
    "FeedHeartbeat",
    "FollowRequest",
    "RecordUpdate",
    "RecordRow",
    "apply_change",
    "change_between",
    "pack_config",
    "unpack_config",
]

# Low levels of zlib compress a configuration nearly as well as high ones.
COMPRESSION_LEVEL = 3


class FollowRequest(msgspec.Struct, array_like=True, tag=10):
    """Asks for what is newer than what the sender knows, now and later."""

    # Version of the configuration in force; 0 for none.
    config_version: int
    # Version of the store up to which the sender knows all records.
    records_upto: int


class RecordRow(msgspec.Struct, frozen=True, array_like=True):
    """A node's record, and the store's version of its row."""

    row_version: int
    record: UpstreamRecord


class RecordUpdate(msgspec.Struct, array_like=True, tag=11):
    """Records that are new to the sender."""

    rows: list[RecordRow]


class ConfigDelta(msgspec.Struct, array_like=True, tag=12):
    """What turns one version of the configuration into another."""

    base_version: int
    version: int
    removed: list[str]
    # Routes that are new or have changed.
    routes: list[RouteSpec]
    services: list[ServiceSpec]
    limits: ClientLimits
    # Checksum of the whole version.
    digest: int


class ConfigSnapshot(msgspec.Struct, array_like=True, tag=13):
    """A whole version, packed."""

    data: bytes


class FeedHeartbeat(msgspec.Struct, array_like=True, tag=14):
    """Shows that the sender lives, and how far it has followed the store.

    Everything up to there was sent before on the same connection.
    """

    # True while the sender itself hears from the store.
    store_connected: bool
    config_version: int
    config_upto: int
    records_upto: int


def digest_of(config: MeshConfig) -> int:
    """Return a checksum that doesn't depend on the order of the routes."""
    routes = sorted(config.routes, key=lambda route: route.name)
    parts = (config.version, routes, config.services, config.limits)
    return zlib.crc32(msgspec.msgpack.encode(parts))


def change_between(before: MeshConfig, after: MeshConfig) -> ConfigDelta:
    """Return what turns one version into another."""
    known = {route.name: route for route in before.routes}
    kept = {route.name for route in after.routes}
    return ConfigDelta(
        base_version=before.version,
        version=after.version,
        removed=[name for name in known if name not in kept],
        routes=[route for route in after.routes if known.get(route.name) != route],
        services=list(after.services),
        limits=after.limits,
        digest=digest_of(after),
    )


def apply_change(base: MeshConfig, change: ConfigDelta) -> MeshConfig | None:
    """Return the changed version, or None if it isn't the one that was meant."""
    if base.version != change.base_version:
        return None
    routes = {route.name: route for route in base.routes}
    for name in change.removed:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    services = tuple(change.services)
    config = MeshConfig(change.version, tuple(routes.values()), services, change.limits)
    return config if digest_of(config) == change.digest else None


def pack_config(config: MeshConfig) -> ConfigSnapshot:
    """Return a whole version as a message."""
    return ConfigSnapshot(
        zlib.compress(msgspec.msgpack.encode(config), COMPRESSION_LEVEL)
    )


def unpack_config(whole: ConfigSnapshot) -> MeshConfig | None:
    """Return the version in a message, or None if it can't be read."""
    try:
        data = zlib.decompress(whole.data)
        return msgspec.msgpack.decode(data, type=MeshConfig)
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError):
        return None
