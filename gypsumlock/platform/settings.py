"""Decodes the settings file that the platform provides to each process.

Fields that this project doesn't use are ignored, because the platform may add new ones.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import yaml
from result import Err, Ok, Result

from gypsumlock.mesh.field_types import (
    Address,
    Bandwidth,
    Count,
    Duration,
    MemorySize,
    Ratio,
    Share,
)
from gypsumlock.mesh.model import NodeAddresses
from gypsumlock.mesh.state import (
    MeshBounds,
    QuotaBounds,
    RevocationBounds,
    RolloutBounds,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "SETTINGS_PATH_VARIABLE",
    "PlatformSettings",
    "load_settings",
    "parse_settings",
]

# The loader in C, where PyYAML was built with it; it reads the same documents.
_YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "GYPSUMLOCK_CONFIG"


class _Limits(msgspec.Struct, frozen=True):
    # Bandwidth of this machine's network link in megabits per second; 0 if unknown.
    link_mbps: Bandwidth = 0.0
    # Memory that the process may use, in megabytes; 0 if unknown.
    memory_mb: MemorySize = 0.0
    # Descriptors that the process may open; 0 if unknown.
    max_fds: Count = 0


class _SelfNode(msgspec.Struct, frozen=True):
    node_name: str
    zone: str
    # Address of the local upstream, as `IP:port`, and its service. The local upstream
    # runs on the same machine as the node.
    app_addr: Address
    service: str
    limits: _Limits = _Limits()
    # True only when the whole system starts for the first time.
    bootstrap: bool = False


class _Listen(msgspec.Struct, frozen=True):
    # Calls between nodes; the platform doesn't prescribe the use of this address.
    inbound: Address
    # Calls from clients and from the local upstream.
    outbound: Address
    # Readiness probes and metrics.
    ready: Address
    # Heartbeats and deregistrations from the local upstream.
    control: Address


class _Network(msgspec.Struct, frozen=True):
    listen: _Listen


class _Store(msgspec.Struct, frozen=True):
    address: Address


class _Platform(msgspec.Struct, frozen=True):
    # The section of the store has the same name as its parent: `platform.platform`.
    platform: _Store


class _Bounds(msgspec.Struct, frozen=True):
    # Time from a stop request to the end of the process.
    grace_s: Duration
    # Retries allowed per first attempt.
    retry_ratio: Ratio
    # Retries that all nodes together may send per window, in addition to the ratio.
    retry_slack: Ratio
    retry_window_s: Duration
    # Bounds on quotas, roll-outs and the removal of API keys; absent where a deployment
    # has none of these.
    quota_window_s: Duration | None = None
    quota_excess: Ratio = 0.0
    quota_slack: Ratio = 0.0
    exposure_share: Share | None = None
    exposure_slack: Ratio = 0.0
    rollback_s: Duration = 0.0
    revoke_s: Duration | None = None
    revoke_strict: bool = False


class _Terms(msgspec.Struct, frozen=True):
    bounds: _Bounds


class _SettingsFile(msgspec.Struct, frozen=True):
    self_node: _SelfNode
    network: _Network
    platform: _Platform
    terms: _Terms


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of one node, as read from the settings file."""

    node: str
    zone: str
    service: str
    addresses: NodeAddresses
    store_address: str
    bounds: MeshBounds
    link_mbps: float
    memory_mb: float
    # Descriptors that the process may open; 0 if unknown.
    max_fds: int
    # True if the whole fleet starts for the first time.
    fleet_start: bool


def load_settings(path: Path) -> Result[PlatformSettings, Fault]:
    """Read and decode a settings file.

    Returns
    -------
    Result[PlatformSettings, Fault]
        The settings, or `SETTINGS_UNREADABLE`, `SETTINGS_NOT_YAML` or
        `SETTINGS_BAD_VALUE`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        detail = f"can't read {path}: {error}"
        return Err(Fault(ResultCode.SETTINGS_UNREADABLE, detail))
    return parse_settings(text)


def parse_settings(text: str) -> Result[PlatformSettings, Fault]:
    """Decode settings from YAML text.

    Returns
    -------
    Result[PlatformSettings, Fault]
        The settings, or `SETTINGS_NOT_YAML` or `SETTINGS_BAD_VALUE`.
    """
    try:
        document = yaml.load(text, Loader=_YAML_LOADER)
    except (yaml.YAMLError, RecursionError) as error:
        detail = " ".join(str(error).split())
        return Err(Fault(ResultCode.SETTINGS_NOT_YAML, detail))
    try:
        settings_file = msgspec.convert(document, _SettingsFile)
    except msgspec.ValidationError as error:
        return Err(Fault(ResultCode.SETTINGS_BAD_VALUE, str(error)))
    listen = settings_file.network.listen
    bounds = settings_file.terms.bounds
    return Ok(
        PlatformSettings(
            node=settings_file.self_node.node_name,
            zone=settings_file.self_node.zone,
            service=settings_file.self_node.service,
            addresses=NodeAddresses(
                calls=listen.outbound,
                peers=listen.inbound,
                readiness=listen.ready,
                heartbeats=listen.control,
                upstream=settings_file.self_node.app_addr,
            ),
            store_address=settings_file.platform.platform.address,
            bounds=MeshBounds(
                grace_s=bounds.grace_s,
                retry_ratio=bounds.retry_ratio,
                retry_allowance=bounds.retry_slack,
                retry_window_s=bounds.retry_window_s,
                quota=_quota_bounds(bounds),
                rollout=_rollout_bounds(bounds),
                revocation=_revocation_bounds(bounds),
            ),
            link_mbps=settings_file.self_node.limits.link_mbps,
            memory_mb=settings_file.self_node.limits.memory_mb,
            max_fds=settings_file.self_node.limits.max_fds,
            fleet_start=settings_file.self_node.bootstrap,
        )
    )


def _quota_bounds(bounds: _Bounds) -> QuotaBounds | None:
    if bounds.quota_window_s is None:
        return None
    return QuotaBounds(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)


def _rollout_bounds(bounds: _Bounds) -> RolloutBounds | None:
    if bounds.exposure_share is None:
        return None
    return RolloutBounds(
        bounds.exposure_share, bounds.exposure_slack, bounds.rollback_s
    )


def _revocation_bounds(bounds: _Bounds) -> RevocationBounds | None:
    if bounds.revoke_s is None:
        return None
    return RevocationBounds(bounds.revoke_s, bounds.revoke_strict)
