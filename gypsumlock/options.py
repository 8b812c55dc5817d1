"""Every option of a node, in one class per part, with its default.

The classes are also the schema: `gypsumlock.settings` derives the JSON schema
from them and refuses what they do not name.
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
PositiveS = Annotated[float, Meta(gt=0, le=3600)]


@dataclass(frozen=True, slots=True)
class ListenOptions:
    """Addresses on which the node listens, as `IP:port`."""

    # Calls from clients, from the upstream beside it and from other nodes.
    calls: Address
    # Heartbeats and snapshots between nodes. This address is the identity.
    peers: Address
    # Announcements of the upstream beside it, health and metrics.
    local: Address
    # Operator API.
    operator: Address


@dataclass(frozen=True, slots=True)
class AdvertiseOptions:
    """Addresses by which other nodes reach this one, where they differ."""

    # Empty takes the listening address.
    calls: OptionalAddress = ""
    # Becomes the identity of the node.
    peers: OptionalAddress = ""


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Where the platform's services are."""

    # Base URL; `memory` keeps everything in this process, for trying it out.
    url: Annotated[str, Meta(pattern=r"^(memory|http://.+)$")]
    # Bound on one request.
    timeout_s: PositiveS = defaults.PLATFORM_TIMEOUT_S
    # Reads of the head that all nodes together make in a second.
    fleet_head_reads_per_s: Annotated[float, Meta(gt=0, le=2000)] = (
        defaults.FLEET_HEAD_READS_PER_S
    )


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """How nodes find and watch each other."""

    # Peers to ask when the platform can't be reached at start.
    seeds: tuple[Address, ...] = ()
    # Time between two heartbeats to the same neighbour.
    exchange_interval_s: PositiveS = defaults.EXCHANGE_INTERVAL_S
    # Bound on one heartbeat.
    exchange_timeout_s: PositiveS = defaults.EXCHANGE_TIMEOUT_S
    # Time that a suspected node has to refute the suspicion.
    suspect_timeout_s: PositiveS = defaults.SUSPECT_TIMEOUT_S
    # Time after which a dead node is forgotten.
    forget_after_s: PositiveS = defaults.FORGET_DEAD_AFTER_S
    # Time between two refreshes of the node's row in the table.
    row_refresh_s: PositiveS = defaults.NODE_ROW_REFRESH_S
    # Silence after which the upstream beside the node counts as gone.
    announce_silence_s: PositiveS = defaults.ANNOUNCE_SILENCE_S


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """How calls to the upstream beside the node are admitted."""

    # Policy that chooses the next call for a free slot.
    policy: Literal["ranked", "strict", "fifo", "none"] = "ranked"
    # Latency above the best one seen at which the limit shrinks, as a factor.
    latency_tolerance: Annotated[float, Meta(ge=1, le=100)] = (
        defaults.LIMIT_LATENCY_TOLERANCE
    )


@dataclass(frozen=True, slots=True)
class LogOptions:
    """What is logged, and how. Logs go to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


@dataclass(frozen=True, slots=True)
class StopOptions:
    """How a planned stop goes."""

    # Time for which a leaving node still carries calls for its clients.
    linger_s: Annotated[float, Meta(ge=0, le=600)] = defaults.LINGER_S
    # Time after which calls still in flight are given up.
    drain_timeout_s: PositiveS = defaults.DRAIN_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Options:
    """All options of one node."""

    # Availability zone and region of the instance.
    zone: Annotated[str, Meta(min_length=1, max_length=63)]
    region: Annotated[str, Meta(min_length=1, max_length=63)]
    # Name by which exceptions select the instance.
    instance: Annotated[str, Meta(min_length=1, max_length=63)]
    listen: ListenOptions
    platform: PlatformOptions
    # File with the key that all nodes of the fleet share.
    fleet_key_file: str
    # File with the token that operators show.
    operator_token_file: str
    advertise: AdvertiseOptions = field(default_factory=AdvertiseOptions)
    membership: MembershipOptions = field(default_factory=MembershipOptions)
    admission: AdmissionOptions = field(default_factory=AdmissionOptions)
    log: LogOptions = field(default_factory=LogOptions)
    stop: StopOptions = field(default_factory=StopOptions)
