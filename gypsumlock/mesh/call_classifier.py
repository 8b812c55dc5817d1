"""Finds out what a client's request asks for: route, service, target and deadline.

A call keeps the table in force with which it was classified.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumlock.http_headers import Headers
from gypsumlock.mesh.client_age import ClientAges
from gypsumlock.mesh.http_server import HttpRequest
from gypsumlock.mesh.http_text import forwardable_headers
from gypsumlock.mesh.model import Answer, RouteSpec
from gypsumlock.mesh.share_counter import ShareCounter
from gypsumlock.mesh.state import MeshState
from gypsumlock.result_codes import ResultCode

__all__ = ["STOP_CALLS_S", "Call", "CallClassifier"]

# Calls that a stopping node still takes, counted from the stop request.
STOP_CALLS_S = 3.0


@dataclass(slots=True)
class Call:
    """One classified call and what has become of it so far."""

    route: RouteSpec
    service: str
    version: int
    request: HttpRequest
    request_id: bytes
    headers: Headers
    target_at_s: float
    deadline_at_s: float
    # Upstreams that were sent the call, or may have been.
    sent_to: set[str] = field(default_factory=set)
    # Owners that take nothing for the service, late or not.
    closed: set[str] = field(default_factory=set)
    # True once the call may have run.
    unknown: bool = False
    # True while a repeat was taken from the budget, but not made yet.
    repeat_paid: bool = False
    retry_after_s: float = 0.0
    # The best answer so far that is not a good one.
    spare: Answer | None = None
    refusal_code: ResultCode = ResultCode.CALL_NO_UPSTREAM


class CallClassifier:
    """Classifies the requests of one node's clients.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    """

    __slots__ = ("_ages", "_shares", "_state")

    def __init__(self, state: MeshState) -> None:
        self._state = state
        self._shares = ShareCounter()
        self._ages = ClientAges()

    def classify(self, request: HttpRequest) -> Call | ResultCode:
        """Return the call, or the code by which it is refused."""
        table = self._state.table
        if table is None:
            return ResultCode.CALL_NOT_READY
        path = request.target.partition(b"?")[0].decode("latin-1")
        host = (request.header(b"host") or b"").decode("latin-1")
        route = table.route_of(host.partition(":")[0], path)
        if route is None:
            return ResultCode.CALL_NO_ROUTE
        since_s = self._state.stopping_since_s
        if since_s is not None and request.received_s - since_s > STOP_CALLS_S:
            return ResultCode.CALL_LEAVING
        names = self._state.headers
        left_s = route.timeout_s
        asked_ms = _positive_int(request.header(names.deadline_ms))
        age_s = 0.0
        if asked_ms is not None:
            age_s = self._ages.age_s(route.name, asked_ms / 1000, request.received_s)
            left_s = min(left_s, asked_ms / 1000)
        # An answer that comes after this process has ended reaches nobody.
        left_s = min(left_s, self._state.ends_at_s - request.received_s)
        set_here = (names.deadline_ms, names.target_instance, names.caller_service)
        headers = [
            x for x in forwardable_headers(request.headers) if x[0] not in set_here
        ]
        headers.append((names.caller_service, self._state.service.encode()))
        return Call(
            route=route,
            service=self._shares.choose_service(route),
            version=table.version,
            request=request,
            request_id=request.header(names.request_id) or b"",
            headers=headers,
            target_at_s=request.received_s
            + min(route.target_latency_s - age_s, left_s),
            deadline_at_s=request.received_s + left_s,
        )


def _positive_int(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)
