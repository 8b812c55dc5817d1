"""Tells what a complete response of an upstream says about its call."""

from __future__ import annotations

from enum import Enum

from gypsumlock.http_headers import has_conflict
from gypsumlock.mesh.model import HeaderNames
from gypsumlock.mesh.upstream_response import UpstreamResponse

__all__ = ["ResponseKind", "classify_response"]

BAD_REQUEST = 400
# Status with which an upstream rejects a call that is meant for another instance.
MISDIRECTED_REQUEST = 421


class ResponseKind(Enum):
    """What a response says about its call."""

    # The upstream executed the call.
    ANSWER = "answer"
    # The upstream did not execute the call and never will.
    REJECTED = "rejected"
    # The same; the call was meant for another instance.
    MISDIRECTED = "misdirected"
    # The upstream can't have made the response: the outcome of the call is unknown.
    FOREIGN = "foreign"


def classify_response(response: UpstreamResponse, names: HeaderNames) -> ResponseKind:
    """Return the kind of a complete response that echoes the identifier of its call.

    Parameters
    ----------
    response : UpstreamResponse
        The response.
    names : HeaderNames
        Names of the headers that tell the kinds apart.
    """
    if not _is_from_upstream(response, names):
        return ResponseKind.FOREIGN
    if response.status == MISDIRECTED_REQUEST:
        return ResponseKind.MISDIRECTED
    rejected = response.header(names.not_executed) is not None
    # With this status the request itself is at fault; another upstream would reject it
    # too.
    if rejected and response.status != BAD_REQUEST:
        return ResponseKind.REJECTED
    return ResponseKind.ANSWER


def _is_from_upstream(response: UpstreamResponse, names: HeaderNames) -> bool:
    """Return whether the upstream itself can have made a response.

    It signs each success, and encodes no body.
    """
    if response.header(b"content-encoding") is not None:
        return False
    # A head that contradicts itself is not the head of one response.
    deciding = (names.not_executed, names.signature)
    if has_conflict(response.headers, deciding):
        return False
    is_success = 200 <= response.status < 300
    return not is_success or response.header(names.signature) is not None
