"""Values that the parts of a mesh node exchange.

All of them are immutable. Names on the wire are decoded into these types by an
adapter; nothing here knows how a message is spelled.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from gypsumlock.http_headers import Headers
from gypsumlock.result_codes import ResultCode

__all__ = [
    "Answer",
    "CallOutcome",
    "CallRequest",
    "ClientLimits",
    "Failure",
    "HeaderNames",
    "MeshConfig",
    "NodeAddresses",
    "OwnerLoad",
    "Refusal",
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
    # Time that is left for the answer, in whole milliseconds.
    deadline_ms: bytes
    # Instance that must run the call; any other one refuses it.
    target_instance: bytes
    # Service of the instance where the call began.
    caller_service: bytes
    # Set by an upstream that did not run the call.
    not_executed: bytes
    # Names the instance that answers a health check.
    instance_id: bytes


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses on which a mesh node listens, and its upstream's, as `IP:port`."""

    # Calls of clients and of the upstream beside the node.
    calls: str
    # Calls from other nodes.
    peers: str
    readiness: str
    # Heartbeats of the upstream beside the node.
    heartbeats: str
    upstream: str


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A part of a route's calls that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """One route of a configuration version."""

    name: str
    host: str
    prefix: str
    # True when a call may run more than once.
    repeatable: bool
    # Time after which a call is answered in any case.
    timeout_s: float
    # Time within which an answer has its full use.
    target_latency_s: float
    # Rank of the route; 0 is the most urgent.
    rank: int
    # Upstreams that one client attempt may be sent to.
    max_attempts: int
    shares: tuple[ServiceShare, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the configuration says of one service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class MeshConfig:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[RouteSpec, ...]
    services: tuple[ServiceSpec, ...]
    limits: ClientLimits


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node publishes of itself and of the upstream beside it."""

    node: str
    # Where other nodes send calls, as `IP:port`.
    peer_address: str
    zone: str
    service: str = ""
    # Identifier of the upstream's incarnation; empty while there is none.
    instance: str = ""
    # Start of that incarnation in Unix milliseconds; 0 if it is not known.
    born_ms: int = 0
    slots: int = 0
    # False once the upstream or the node leaves, or the upstream is down.
    serving: bool = False
    # True once that incarnation said that it leaves.
    departed: bool = False
    # Bandwidth of the machine's link in megabits a second; 0 if it is not known.
    link_mbps: float = 0.0


class OwnerLoad(msgspec.Struct, array_like=True):
    """Load of the upstream beside a node, as that node sees it."""

    slots: int = 0
    in_flight: int = 0
    # Expected wait for a slot by rank, in seconds; the last one is for all
    # lower ranks.
    wait_s: tuple[float, ...] = ()
    # Mean time in the upstream for the route of the call that is answered, in
    # seconds; 0 if none was seen yet.
    service_s: float = 0.0
    # Share of recent calls that the upstream failed or rejected.
    failure_share: float = 0.0
    accepting: bool = True
    # Time that a large answer waits for the link of the owner's machine, in seconds.
    egress_delay_s: float = 0.0


class CallRequest(msgspec.Struct, array_like=True, tag=1):
    """One attempt of a call, on its way to the node beside an upstream."""

    number: int
    request_id: bytes
    service: str
    route: str
    rank: int
    repeatable: bool
    # Latency target of the route, in seconds.
    target_s: float
    # True when an answer after the latency target is still wanted.
    late_ok: bool
    # Expected size of an answer that has to cross the link of the owner's machine, in
    # bytes; 0 on the caller's own machine.
    answer_bytes: int
    # Time left to the latency target and to the deadline, in seconds.
    target_left_s: float
    deadline_left_s: float
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Answer(msgspec.Struct, array_like=True, tag=2):
    """An upstream's whole answer."""

    number: int
    status: int
    headers: Headers
    body: bytes
    load: OwnerLoad

    @property
    def peer_lost(self) -> bool:
        """False: an answer came from the owner."""
        return False


class Refusal(msgspec.Struct, array_like=True, tag=3):
    """The call has not run and never will, as far as this attempt goes."""

    number: int
    code: int
    # Time after which a slot is expected, in seconds; 0 if that is not known.
    retry_after_s: float
    # True when the upstream itself rejected the call.
    rejected_by_upstream: bool
    load: OwnerLoad
    # True when the owner's node could not be reached; set by the caller's node.
    peer_lost: bool = False


class Failure(msgspec.Struct, array_like=True, tag=4):
    """The call may have run, and there is no usable answer."""

    number: int
    code: int
    load: OwnerLoad
    # True when the connection to the owner's node was lost.
    peer_lost: bool = False


CallOutcome = Answer | Refusal | Failure


def peer_unreachable_refusal(code: ResultCode) -> Refusal:
    """Return the refusal of a call that could not be sent to its owner."""
    return Refusal(0, code, 0.0, False, OwnerLoad(), peer_lost=True)


def peer_lost_failure(code: ResultCode) -> Failure:
    """Return the failure of a call whose connection to the owner was lost."""
    return Failure(0, code, OwnerLoad(), peer_lost=True)
