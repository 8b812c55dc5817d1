"""Data types that the parts of a mesh node exchange.

All that are defined here are immutable. An adapter decodes names on the wire into these
types; nothing here depends on how a message spells them. The messages about one call
are in `call_messages.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from gypsumlock.mesh.call_messages import (
    EXPIRED_S,
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
    peer_lost_failure,
    peer_unreachable_refusal,
)
from gypsumlock.mesh.field_types import (
    Address,
    Bandwidth,
    Count,
    Duration,
    HealthPath,
    Identifier,
    Number,
    Rank,
    Rate,
    Share,
    Text,
    TimestampMs,
    Weight,
)

__all__ = [
    "EXPIRED_S",
    "Answer",
    "CallOutcome",
    "CallRequest",
    "ClientLimits",
    "Departure",
    "Failure",
    "HeaderNames",
    "MeshConfig",
    "NodeAddresses",
    "Organisation",
    "OwnerLoad",
    "Refusal",
    "RolloutEntry",
    "RolloutPhase",
    "RouteSpec",
    "ServiceShare",
    "ServiceSpec",
    "UpstreamRecord",
    "peer_lost_failure",
    "peer_unreachable_refusal",
]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Lower-case names of the headers that the data path reads or sets."""

    # Identifies one client attempt; an upstream echoes it.
    request_id: bytes
    # Time left for the response, in whole milliseconds.
    deadline_ms: bytes
    # Instance that must execute the call; any other instance refuses it.
    target_instance: bytes
    # Service of the instance from which the call originates.
    caller_service: bytes
    # Set by an upstream that did not execute the call.
    not_executed: bytes
    # Identifies the instance that answers a health check.
    instance_id: bytes
    # Signature of an upstream on each of its successful responses.
    signature: bytes
    # Credentials of a client: `Bearer` followed by an API key.
    authorization: bytes
    # Name of the organisation that a call belongs to; set by the node.
    organisation: bytes


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Listen addresses of a mesh node, and its upstream's address, as `IP:port`."""

    # Calls of clients and of the local upstream.
    calls: str
    # Calls from other nodes.
    peers: str
    readiness: str
    # Heartbeats of the local upstream.
    heartbeats: str
    upstream: str


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's calls that goes to one service."""

    service: str
    weight: Weight


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """One route of a configuration version."""

    name: str
    host: str
    prefix: str
    # True if a call may be executed more than once.
    repeatable: bool
    # Time after which a call is answered in any case, in seconds.
    timeout_s: Duration
    # Time within which a response is fully useful, in seconds.
    target_latency_s: Duration
    # Rank of the route; 0 is the most urgent.
    rank: Rank
    # Maximum number of upstreams that one client attempt may be sent to.
    max_attempts: Count
    shares: tuple[ServiceShare, ...]
    # True if calls need no API key.
    public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of one service."""

    name: str
    health_path: HealthPath
    max_connections: Count


@dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation whose clients identify themselves by API keys."""

    name: str
    # Digests of its API keys; no node stores the keys themselves.
    key_digests: tuple[bytes, ...] = ()
    # Overrides the rank of the route; None if the route decides.
    rank: Rank | None = None
    # Quota of all nodes together: requests per second, and requests in a burst beyond
    # that. A rate of 0 means no limit.
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what a client may send, and on how long it may take."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_s: Duration
    idle_timeout_s: Duration


@dataclass(frozen=True, slots=True)
class MeshConfig:
    """One complete version of the configuration."""

    version: Number
    routes: tuple[RouteSpec, ...]
    services: tuple[ServiceSpec, ...]
    limits: ClientLimits
    # Empty if calls need no API keys.
    organisations: tuple[Organisation, ...] = ()


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Announcement of an upstream that it will terminate."""

    instance: Identifier
    # Start of the incarnation in Unix milliseconds; 0 if it was not reported.
    born_ms: TimestampMs = 0


class RolloutPhase(Enum):
    """Phase of the roll-out of a service."""

    # No roll-out; only the established version receives calls.
    ESTABLISHED = "established"
    # The candidate version receives a share of the calls.
    RUNNING = "running"
    # The candidate receives all calls; the old upstreams finish theirs.
    FINISHING = "finishing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True):
    """Decision of a conductor on the versions of one service.

    Of the entries for a service, the one with the highest token and then the highest
    revision is in force.
    """

    service: Text
    # Fencing token of the conductor's lease.
    token: Number
    # Number of the decision under that token.
    revision: Number
    # Version that the service ran before the roll-out.
    established: Text
    # Version that is rolled out; empty if there is none.
    candidate: Text = ""
    # Share of the service's calls that the candidate receives.
    share: Share = 0.0
    phase: RolloutPhase = RolloutPhase.ESTABLISHED
    # Version of the store's row that holds the order; 0 if there is no order.
    order_version: Number = 0
    # When the conductor first saw the order, in Unix milliseconds, and the time that
    # the order allows for the roll-out.
    began_ms: TimestampMs = 0
    duration_s: Duration = 0.0
    # Upstreams of the candidate that get no calls in the trial: their answers are bad,
    # while those of the other upstreams are not.
    suspects: tuple[Identifier, ...] = ()


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record that a node publishes about itself and its local upstream."""

    node: Text
    # Where other nodes send calls, as `IP:port`.
    peer_address: Address
    zone: Text
    service: Text = ""
    # Identifier of the upstream's incarnation; empty while there is none.
    instance: Identifier = ""
    # Start time of that incarnation in Unix milliseconds; 0 if it is not known.
    born_ms: TimestampMs = 0
    # 0 while they are not known.
    slots: Count = 0
    # False once the upstream or the node is leaving, or the upstream is down.
    serving: bool = False
    # True once that incarnation announced that it is leaving.
    departed: bool = False
    # Bandwidth of the machine's network link in megabits per second; 0 if it is not
    # known.
    link_mbps: Bandwidth = 0.0
    # Upstreams of this node that have departed, also earlier ones. A process that is
    # started later knows of them only from here.
    departures: tuple[Departure, ...] = ()
    # Version of the upstream's software; empty if it was not reported.
    version: Text = ""
    # True once an upstream that a roll-out replaces has no call in flight, and accepts
    # none any more.
    retired: bool = False
    # Decisions on roll-outs; only the conductor's record has any.
    rollouts: tuple[RolloutEntry, ...] = ()
    # True if the node requests large bodies of calls. One of an earlier release would
    # execute such a call without its body.
    requests_bodies: bool = False
