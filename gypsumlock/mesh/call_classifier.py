"""Determines the route, organisation, service and deadline of client requests.

A call keeps the route and the version of the table that was in force when it was
classified.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumlock.http_headers import Headers, has_conflict
from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_text import forwardable_headers
from gypsumlock.mesh.model import Answer, Organisation, RouteSpec
from gypsumlock.mesh.request_age import RequestAgeEstimator
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.weighted_round_robin import WeightedRoundRobin
from gypsumlock.organisations import ANONYMOUS, identify, mark_headers
from gypsumlock.quota import Lot
from gypsumlock.result_codes import ResultCode

__all__ = ["Call", "CallClassifier"]

# A deadline with more digits is no limit: no route waits for that many milliseconds.
MAX_DEADLINE_DIGITS = 12


@dataclass(slots=True)
class Call:
    """One classified call and the results of its attempts so far."""

    route: RouteSpec
    service: str
    version: int
    request: HttpRequest
    request_id: bytes
    headers: Headers
    target_at_s: float
    deadline_at_s: float
    # Organisation that the call belongs to; None if it belongs to none.
    organisation: Organisation | None = None
    # Digest of the API key that shows this; empty if the call needs no key.
    key_digest: bytes = b""
    # True once the call was offered to an owner.
    offered: bool = False
    # Nodes whose upstreams were sent the call, or may have been.
    sent_to: set[str] = field(default_factory=set)
    # Nodes that accept no calls for the service, not even for a late response.
    not_accepting: set[str] = field(default_factory=set)
    # The attempt that has no outcome yet.
    pending_attempt: Attempt | None = None
    # Attempts without a usable response; their owners may still refuse them.
    lost_attempts: list[Attempt] = field(default_factory=list)
    # True while a retry has been charged to the budget, but not sent yet.
    retry_charged: bool = False
    # Shortest and longest time after which an owner expects room, in seconds; 0 if none
    # has told any.
    retry_after_s: float = 0.0
    last_retry_after_s: float = 0.0
    # Latest server error; passed on if no attempt gets a better response.
    fallback_answer: Answer | None = None
    refusal_code: ResultCode = ResultCode.CALL_NO_UPSTREAM
    # Lot of the token that the call was charged with.
    charge: Lot | None = None
    # Version under roll-out that the call goes to first; empty for none, and None
    # before that was decided.
    trial_version: str | None = None

    @property
    def outcome_unknown(self) -> bool:
        """Whether an attempt without a usable response may have been executed."""
        return any(attempt.may_have_run for attempt in self.lost_attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have executed the call."""
        pending = self.pending_attempt
        return (
            self.outcome_unknown
            or self.fallback_answer is not None
            or (pending is not None and pending.may_have_run)
        )

    @property
    def rank(self) -> int:
        """Rank of the organisation, or else of the route; 0 is the most urgent."""
        if self.organisation is None or self.organisation.rank is None:
            return self.route.rank
        return self.organisation.rank


class CallClassifier:
    """Classifies the requests of one node's clients.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    """

    __slots__ = ("_age_estimator", "_round_robin", "_state")

    def __init__(self, state: MeshState) -> None:
        self._state = state
        self._round_robin = WeightedRoundRobin()
        self._age_estimator = RequestAgeEstimator()

    def classify(self, request: HttpRequest) -> Call | ResultCode:
        """Return the classified call, or the result code with which it is refused."""
        table = self._state.route_table
        if table is None:
            return ResultCode.CALL_NOT_READY
        names = self._state.header_names
        deciding: tuple[bytes, ...] = (b"host", names.request_id, names.deadline_ms)
        if table.requires_keys:
            deciding += (names.authorization,)
        if has_conflict(request.headers, deciding):
            return ResultCode.CALL_BAD_REQUEST
        path = request.target.partition(b"?")[0].decode("latin-1")
        host = (request.header(b"host") or b"").decode("latin-1")
        route = table.find_route(host.partition(":")[0], path)
        if route is None:
            return ResultCode.CALL_NO_ROUTE
        stopping_since_s = self._state.stopping_since_s
        if (
            stopping_since_s is not None
            and request.received_s - stopping_since_s
            > self._state.bounds.client_drain_s
        ):
            return ResultCode.CALL_LEAVING
        if self._state.memory.is_high():
            return ResultCode.CALL_NO_MEMORY
        identity = identify(table, route, request.header(names.authorization))
        if identity is not ANONYMOUS and self._state.is_config_outdated():
            return ResultCode.CALL_CONFIG_OUTDATED
        if isinstance(identity, ResultCode):
            return identity
        header_names = self._state.header_names
        remaining_s = route.timeout_s
        client_deadline_ms = _parse_deadline_ms(
            request.header(header_names.deadline_ms)
        )
        waited_s = 0.0
        if client_deadline_ms is not None:
            waited_s = self._age_estimator.age_s(
                route.name, client_deadline_ms / 1000, request.received_s
            )
            remaining_s = min(remaining_s, client_deadline_ms / 1000)
        # A response could not be delivered after the end of this process.
        remaining_s = min(remaining_s, self._state.ends_at_s - request.received_s)
        set_by_node = (
            header_names.deadline_ms,
            header_names.target_instance,
            header_names.caller_service,
        )
        headers = [
            header
            for header in forwardable_headers(request.headers)
            if header[0] not in set_by_node
        ]
        headers.append((header_names.caller_service, self._state.service.encode()))
        if table.requires_keys:
            headers = mark_headers(headers, header_names, identity.organisation)
        return Call(
            route=route,
            service=self._round_robin.choose_service(route),
            version=table.version,
            request=request,
            request_id=request.header(header_names.request_id) or b"",
            headers=headers,
            target_at_s=request.received_s
            + min(route.target_latency_s - waited_s, remaining_s),
            deadline_at_s=request.received_s + remaining_s,
            organisation=identity.organisation,
            key_digest=identity.key_digest,
        )


def _parse_deadline_ms(value: bytes | None) -> int | None:
    """Return the milliseconds that a client will wait, or None if it sets no limit."""
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0")
    if len(digits) > MAX_DEADLINE_DIGITS:
        return None
    return int(digits or b"0")
