"""Builds the request with which a call is offered to the owner of an upstream."""

from __future__ import annotations

from gypsumlock.mesh.call_classifier import Call
from gypsumlock.mesh.model import CallRequest

__all__ = ["make_request"]


def make_request(
    call: Call, late_ok: bool, response_bytes: int, transfer_s: float, now_s: float
) -> CallRequest:
    """Return the request of one attempt.

    Parameters
    ----------
    call : Call
        The call.
    late_ok : bool
        Whether a response after the latency target is still wanted.
    response_bytes : int
        Expected size of a response that has to cross the link of the owner's machine.
    transfer_s : float
        Time on the way to the owner, in seconds; it is taken off the time left.
    now_s : float
        Monotonic time.
    """
    return CallRequest(
        number=0,
        request_id=call.request_id,
        service=call.service,
        route=call.route.name,
        rank=call.rank,
        repeatable=call.route.repeatable,
        target_s=call.route.target_latency_s,
        late_ok=late_ok,
        response_bytes=response_bytes,
        # The owner counts both from the arrival of the request.
        target_left_s=call.target_at_s - now_s - transfer_s,
        deadline_left_s=call.deadline_at_s - now_s - transfer_s,
        method=call.request.method,
        target=call.request.target,
        headers=call.headers,
        body=call.request.body,
        first_offer=not call.offered,
        organisation=call.organisation.name if call.organisation else "",
    )
