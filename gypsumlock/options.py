"""Options of a node and their defaults, with one class for each section.

The classes also define the schema of the settings file: `gypsumlock.settings` derives
a JSON schema from them and rejects keys that they do not define.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

from gypsumlock import defaults

__all__ = [
    "AdmissionOptions",
    "AdvertiseOptions",
    "ListenOptions",
    "LogOptions",
    "MembershipOptions",
    "Options",
    "PlatformOptions",
    "StopOptions",
]

Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$")]
OptionalAddress = Annotated[
    str, Meta(pattern=r"^(|\d{1,3}(\.\d{1,3}){3}:\d+|\[[0-9a-f:]+\]:\d+)$")
]
PositiveSeconds = Annotated[float, Meta(gt=0, le=3600)]


@dataclass(frozen=True, slots=True)
class ListenOptions:
    """Addresses on which the node listens, as `IP:port`."""

    # Calls from clients, from the local upstream and from other nodes.
    calls: Address
    # Heartbeats and snapshots between nodes. Identifies the node, unless
    # `advertise.peers` is set.
    peers: Address
    # Announcements from the local upstream, health and metrics.
    local: Address
    # Operator API.
    operator: Address


@dataclass(frozen=True, slots=True)
class AdvertiseOptions:
    """Addresses at which other nodes reach this one, if they differ from `listen`."""

    # The listen address is used if this is empty.
    calls: OptionalAddress = ""
    # Identifies the node if it is not empty.
    peers: OptionalAddress = ""


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Connection to the platform's services."""

    # Base URL; `memory` keeps all data in this process, for evaluation.
    url: Annotated[str, Meta(pattern=r"^(memory|http://.+)$")]
    # Timeout of one request.
    timeout_s: PositiveSeconds = defaults.PLATFORM_TIMEOUT_S
    # Reads of the head, which is the newest accepted version, per second by all nodes
    # of the fleet together.
    fleet_head_reads_per_s: Annotated[float, Meta(gt=0, le=2000)] = (
        defaults.FLEET_HEAD_READS_PER_S
    )


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Discovery and failure detection of nodes."""

    # Peers to contact at start if the platform is unreachable.
    seeds: tuple[Address, ...] = ()
    # Interval between heartbeats to the same neighbour.
    exchange_interval_s: PositiveSeconds = defaults.EXCHANGE_INTERVAL_S
    # Timeout of one heartbeat.
    exchange_timeout_s: PositiveSeconds = defaults.EXCHANGE_TIMEOUT_S
    # Time within which a suspected node can refute the suspicion.
    suspect_timeout_s: PositiveSeconds = defaults.SUSPECT_TIMEOUT_S
    # Time after which the record of a dead node is removed.
    forget_after_s: PositiveSeconds = defaults.FORGET_DEAD_AFTER_S
    # Interval between refreshes of the node's row in the platform's table, from which
    # other nodes learn its address.
    row_refresh_s: PositiveSeconds = defaults.NODE_ROW_REFRESH_S
    # Time without announcements after which the local upstream is considered gone.
    announce_silence_s: PositiveSeconds = defaults.ANNOUNCE_SILENCE_S


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Admission control for calls to the local upstream."""

    # Policy that selects the next queued call for a free slot; `none` admits every
    # call.
    policy: Literal["ranked", "strict", "fifo", "none"] = "ranked"
    # The concurrency limit shrinks once latency exceeds the lowest one observed by
    # this factor.
    latency_tolerance: Annotated[float, Meta(ge=1, le=100)] = (
        defaults.LIMIT_LATENCY_TOLERANCE
    )


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Level and format of the logs, which go to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


@dataclass(frozen=True, slots=True)
class StopOptions:
    """Graceful shutdown."""

    # Time for which a leaving node still serves the calls of its clients.
    linger_s: Annotated[float, Meta(ge=0, le=600)] = defaults.LINGER_S
    # Time after which calls still in flight are abandoned.
    drain_timeout_s: PositiveSeconds = defaults.DRAIN_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Options:
    """All options of one node."""

    # Availability zone and region of the instance.
    zone: Annotated[str, Meta(min_length=1, max_length=63)]
    region: Annotated[str, Meta(min_length=1, max_length=63)]
    # Name of the instance, which selectors of configuration exceptions refer to.
    instance: Annotated[str, Meta(min_length=1, max_length=63)]
    listen: ListenOptions
    platform: PlatformOptions
    # File with the key shared by all nodes of the fleet.
    fleet_key_file: str
    # File with the bearer token of the operator API.
    operator_token_file: str
    advertise: AdvertiseOptions = field(default_factory=AdvertiseOptions)
    membership: MembershipOptions = field(default_factory=MembershipOptions)
    admission: AdmissionOptions = field(default_factory=AdmissionOptions)
    log: LogOptions = field(default_factory=LogOptions)
    stop: StopOptions = field(default_factory=StopOptions)
