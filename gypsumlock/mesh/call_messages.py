"""Messages about one call between the caller's node and the owner of an upstream."""

from __future__ import annotations

import msgspec

from gypsumlock.http_headers import Headers
from gypsumlock.mesh.field_types import (
    Count,
    Duration,
    Number,
    Rank,
    Share,
    StatusCode,
    Text,
    TimeLeft,
)
from gypsumlock.result_codes import ResultCode

__all__ = [
    "EXPIRED_S",
    "Answer",
    "CallOutcome",
    "CallRequest",
    "Failure",
    "OwnerLoad",
    "Refusal",
    "peer_lost_failure",
    "peer_unreachable_refusal",
]

# Time left of a call that must not begin any more, in seconds.
EXPIRED_S = -1.0


class OwnerLoad(msgspec.Struct, array_like=True):
    """Load of an upstream, as its own node observes it."""

    slots: Count = 0
    in_flight: Count = 0
    # Expected wait for a slot by rank, in seconds; the last entry covers all lower
    # ranks.
    wait_s: tuple[Duration, ...] = ()
    # Mean service time of the route of the answered call, in seconds; 0 if it is not
    # known yet.
    service_s: Duration = 0.0
    # Share of recent calls that the upstream failed or rejected.
    failure_share: Share = 0.0
    accepting: bool = True
    # Time for which a large response waits for the link of the owner's machine, in
    # seconds.
    egress_delay_s: Duration = 0.0


class CallRequest(msgspec.Struct, array_like=True, tag=1):
    """One attempt of a call, sent to the owner: the node beside the upstream."""

    number: Number
    request_id: bytes
    service: str
    route: str
    rank: Rank
    repeatable: bool
    # Latency target of the route, in seconds.
    target_s: Duration
    # True if a response after the latency target is still wanted.
    late_ok: bool
    # Expected size of a response that has to cross the link of the owner's machine, in
    # bytes; 0 on the caller's own machine.
    response_bytes: Count
    # Time left until the latency target and until the deadline, in seconds.
    target_left_s: TimeLeft
    deadline_left_s: TimeLeft
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # False if the call was offered to another owner before.
    first_offer: bool = True
    # Organisation that the call belongs to; empty for none.
    organisation: Text = ""
    # Size of the body if it is sent separately, once the owner requests it.
    body_bytes: Count = 0


class Answer(msgspec.Struct, array_like=True, tag=2):
    """Complete response of an upstream."""

    number: Number
    status: StatusCode
    headers: Headers
    body: bytes
    load: OwnerLoad

    @property
    def peer_lost(self) -> bool:
        """Return False: the owner has answered."""
        return False


class Refusal(msgspec.Struct, array_like=True, tag=3):
    """Result of an attempt that has not executed the call and never will."""

    number: Number
    code: ResultCode
    # Time after which a slot is expected to be free, in seconds; 0 if it is not known.
    retry_after_s: Duration
    # True if the upstream itself rejected the call.
    rejected_by_upstream: bool
    load: OwnerLoad
    # True if the owner could not be reached; set by the caller's node.
    peer_lost: bool = False


class Failure(msgspec.Struct, array_like=True, tag=4):
    """Result of an attempt that may have executed the call; no response is usable."""

    number: Number
    code: ResultCode
    load: OwnerLoad
    # True if the connection to the owner was lost.
    peer_lost: bool = False


CallOutcome = Answer | Refusal | Failure


def peer_unreachable_refusal(code: ResultCode) -> Refusal:
    """Return the refusal of a call that could not be sent to its owner."""
    return Refusal(0, code, 0.0, False, OwnerLoad(), peer_lost=True)


def peer_lost_failure(code: ResultCode) -> Failure:
    """Return the failure of a call whose connection to the owner was lost."""
    return Failure(0, code, OwnerLoad(), peer_lost=True)
