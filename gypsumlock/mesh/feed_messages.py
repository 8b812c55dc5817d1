"""Messages with which a node forwards what it has read from the store.

The functions that build and apply the delta between two configuration versions are
pure: they do no I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.field_types import DECODE_ERRORS, Duration, Number
from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    Organisation,
    RouteSpec,
    ServiceSpec,
    UpstreamRecord,
)

__all__ = [
    "ConfigDelta",
    "ConfigSnapshot",
    "FeedHeartbeat",
    "FollowRequest",
    "PackedDelta",
    "RecordRow",
    "RecordUpdate",
    "apply_delta",
    "diff_configs",
    "pack_config",
    "pack_delta",
    "pack_records",
    "unpack_config",
    "unpack_delta",
    "unpack_records",
]

log = get_logger(Component.CONFIG)

# Low levels of zlib compress a configuration nearly as well as high ones.
COMPRESSION_LEVEL = 3
# Largest configuration version, decompressed.
MAX_CONFIG_BYTES = 33_554_432


class FollowRequest(msgspec.Struct, array_like=True, tag=10):
    """Asks for everything newer than the sender's state, now and in the future."""

    # Configuration version in force at the sender; 0 for none.
    config_version: Number
    # Version of the store up to which the sender has all records.
    records_synced_version: Number


class RecordRow(msgspec.Struct, frozen=True, array_like=True):
    """A node's record and the version of its row in the store."""

    row_version: Number
    record: UpstreamRecord


class RecordUpdate(msgspec.Struct, array_like=True, tag=11):
    """Records that are new to the sender."""

    # Encoded one by one: a row that can't be decoded leaves the others valid.
    rows: list[msgspec.Raw]


class ConfigDelta(msgspec.Struct, array_like=True):
    """Difference between two configuration versions."""

    base_version: Number
    version: Number
    # Names of routes that `version` no longer has.
    removed_routes: list[str]
    # Routes that are new or have changed.
    routes: list[RouteSpec]
    services: list[ServiceSpec]
    limits: ClientLimits
    # Checksum of the complete new version.
    checksum: Number
    # Names of organisations that `version` no longer has.
    removed_organisations: list[str] = []
    # Organisations that are new or have changed.
    organisations: list[Organisation] = []


class PackedDelta(msgspec.Struct, array_like=True, tag=12):
    """A delta between two configuration versions: msgpack, compressed with zlib.

    A reader sends a version to all of its followers over one network link.
    """

    version: Number
    data: bytes


class ConfigSnapshot(msgspec.Struct, array_like=True, tag=13):
    """A complete configuration version: msgpack, compressed with zlib."""

    data: bytes


class FeedHeartbeat(msgspec.Struct, array_like=True, tag=14):
    """Shows that the sender is alive, and how far it has followed the store.

    The sender has sent everything up to these versions earlier on the same
    connection.
    """

    # True while the sender's own reads of the store succeed.
    store_connected: bool
    # Configuration version in force at the sender; 0 for none.
    config_version: Number
    # Versions of the store up to which the sender has followed each table.
    config_synced_version: Number
    records_synced_version: Number
    # Time since the sender last knew that it has the newest configuration version, in
    # seconds; 0 without bounds on the removal of API keys.
    config_age_s: Duration = 0.0


def compute_checksum(config: MeshConfig) -> int:
    """Return a checksum that doesn't depend on the order of routes or organisations."""
    routes = sorted(config.routes, key=lambda route: route.name)
    organisations = sorted(config.organisations, key=lambda entry: entry.name)
    contents = (
        config.version,
        routes,
        config.services,
        config.limits,
        organisations,
    )
    return zlib.crc32(msgspec.msgpack.encode(contents))


def diff_configs(before: MeshConfig, after: MeshConfig) -> ConfigDelta:
    """Return the delta that turns one version into another."""
    old_routes = {route.name: route for route in before.routes}
    new_names = {route.name for route in after.routes}
    old_organisations = {entry.name: entry for entry in before.organisations}
    new_organisations = {entry.name for entry in after.organisations}
    return ConfigDelta(
        base_version=before.version,
        version=after.version,
        removed_routes=[name for name in old_routes if name not in new_names],
        routes=[x for x in after.routes if old_routes.get(x.name) != x],
        services=list(after.services),
        limits=after.limits,
        checksum=compute_checksum(after),
        removed_organisations=[
            name for name in old_organisations if name not in new_organisations
        ],
        organisations=[
            entry
            for entry in after.organisations
            if old_organisations.get(entry.name) != entry
        ],
    )


def apply_delta(base: MeshConfig, delta: ConfigDelta) -> MeshConfig | None:
    """Return the new version.

    Returns None if the delta has another base version, or if the checksum of the
    result is wrong.
    """
    if base.version != delta.base_version:
        return None
    routes = {route.name: route for route in base.routes}
    for name in delta.removed_routes:
        routes.pop(name, None)
    routes.update((route.name, route) for route in delta.routes)
    organisations = {entry.name: entry for entry in base.organisations}
    for name in delta.removed_organisations:
        organisations.pop(name, None)
    organisations.update((entry.name, entry) for entry in delta.organisations)
    config = MeshConfig(
        delta.version,
        tuple(routes.values()),
        tuple(delta.services),
        delta.limits,
        tuple(organisations.values()),
    )
    return config if compute_checksum(config) == delta.checksum else None


def pack_records(rows: Iterable[RecordRow]) -> RecordUpdate:
    """Return a message that holds rows."""
    return RecordUpdate([msgspec.Raw(msgspec.msgpack.encode(row)) for row in rows])


def unpack_records(update: RecordUpdate) -> list[RecordRow]:
    """Return the rows that a message holds, without those that can't be decoded."""
    rows = []
    for encoded in update.rows:
        try:
            rows.append(msgspec.msgpack.decode(encoded, type=RecordRow))
        except DECODE_ERRORS as error:
            log.warning("record of another node ignored", reason=str(error))
    return rows


def pack_delta(delta: ConfigDelta) -> PackedDelta:
    """Return a message that holds a delta."""
    data = zlib.compress(msgspec.msgpack.encode(delta), COMPRESSION_LEVEL)
    return PackedDelta(delta.version, data)


def unpack_delta(packed: PackedDelta) -> ConfigDelta | None:
    """Return the delta that a message holds, or None if it can't be decoded."""
    try:
        data = _decompress(packed.data)
        return msgspec.msgpack.decode(data, type=ConfigDelta)
    except (zlib.error, *DECODE_ERRORS) as error:
        log.warning("configuration of another node ignored", reason=str(error))
        return None


def pack_config(config: MeshConfig) -> ConfigSnapshot:
    """Return a message that holds a complete version."""
    return ConfigSnapshot(
        zlib.compress(msgspec.msgpack.encode(config), COMPRESSION_LEVEL)
    )


def unpack_config(snapshot: ConfigSnapshot) -> MeshConfig | None:
    """Return the version that a message holds, or None if it can't be decoded."""
    try:
        data = _decompress(snapshot.data)
        return msgspec.msgpack.decode(data, type=MeshConfig)
    except (zlib.error, *DECODE_ERRORS) as error:
        log.warning("configuration of another node ignored", reason=str(error))
        return None


def _decompress(data: bytes) -> bytes:
    """Decompress data; raises zlib.error if it is incomplete or becomes too large."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_CONFIG_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete or too large")
    return decompressed
