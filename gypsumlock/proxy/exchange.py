"""Sends one call over one connection and forwards the response.

Steps: send the head with the buffered part of the body, send the remaining body
while the peer may already respond, wait for the head of the response, forward
the response. The result states what is known about the attempt: it is *not run*
only if no byte was written or if the owner node, which runs on the same
instance as the upstream, reported so.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

import anyio

from gypsumlock.proxy.connection import (
    ConnectionLost,
    ResponseHead,
    UpstreamConnection,
)
from gypsumlock.proxy.headers import (
    CODE,
    OUTCOME,
    CallOutcome,
    Headers,
    find_header,
)
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["AttemptResult", "AttemptState", "exchange_call"]


class AttemptState(Enum):
    """What is known about one attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of one attempt; `fault` is None if and only if it was answered."""

    state: AttemptState
    fault: Fault | None = None


ANSWERED = AttemptResult(AttemptState.ANSWERED)


async def exchange_call(
    connection: UpstreamConnection,
    head: RequestHead,
    body: RequestBody,
    added_headers: Headers,
    responder: Responder,
    peer_is_node: bool,
) -> AttemptResult:
    """Send one call over a connection and forward its response.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection that no other call uses.
    head, body : RequestHead, RequestBody
        Request of the call. The first chunk of the body must have been read.
    added_headers : Headers
        Headers that this node adds.
    responder : Responder
        Sends the response to the client.
    peer_is_node : bool
        True if the peer is a node, whose error responses are trusted.

    Returns
    -------
    AttemptResult
        What is known about the attempt.

    Raises
    ------
    ConnectionLost
        If the connection is lost after the head of the response was forwarded.
    ClientDisconnected
        If the client disconnects before it has sent the whole body.
    """
    connection.begin_request(head.method)
    chunked = head.chunked()
    try:
        await connection.send(_encode_start(head, body, added_headers, chunked))
    except ConnectionLost as error:
        # The connection was closed before anything was written to it.
        fault = Fault(ResultCode.CALL_UPSTREAM_UNREACHABLE, str(error))
        return AttemptResult(AttemptState.NOT_RUN, fault)
    if body.finished:
        return await _forward_response(connection, responder, peer_is_node)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_remaining_body, connection, body, chunked)
        result = await _forward_response(connection, responder, peer_is_node)
        if not body.finished:
            # An early response ends the sending, so the request stays incomplete.
            connection.disable_reuse()
        tasks.cancel_scope.cancel()
    return result


_LAST_CHUNK = b"0\r\n\r\n"


def _encode_start(
    head: RequestHead, body: RequestBody, added_headers: Headers, chunked: bool
) -> bytes:
    """Return the head and the buffered part of the body, to send in one write."""
    buffered = body.buffered()
    has_body = bool(buffered) or not body.finished
    start = head.encode(added_headers, has_body) + _encode_chunk(buffered, chunked)
    if has_body and body.finished and chunked:
        start += _LAST_CHUNK
    return start


async def _forward_response(
    connection: UpstreamConnection, responder: Responder, peer_is_node: bool
) -> AttemptResult:
    """Wait for the response and forward it, unless it is an error of a node."""
    try:
        response_head = await connection.read_head()
    except ConnectionLost as error:
        fault = Fault(
            ResultCode.CALL_UNKNOWN_OUTCOME,
            f"the connection failed after sending had begun: {error}",
        )
        return AttemptResult(AttemptState.UNKNOWN, fault)
    node_error = _node_error(response_head) if peer_is_node else None
    if node_error is None:
        await responder.stream(response_head, connection)
        return ANSWERED
    # Read to its end, so that the connection can be reused.
    with suppress(ConnectionLost):
        while await connection.read_body():
            pass
    return node_error


async def _send_remaining_body(
    connection: UpstreamConnection, body: RequestBody, chunked: bool
) -> None:
    """Send the remaining body; the reading side reports a lost connection."""
    with suppress(ConnectionLost):
        async for chunk in body.iter_remaining():
            await connection.send(_encode_chunk(chunk, chunked))
        if chunked:
            await connection.send(_LAST_CHUNK)


def _encode_chunk(chunk: bytes, chunked: bool) -> bytes:
    if not chunk or not chunked:
        return chunk
    return b"%x\r\n%b\r\n" % (len(chunk), chunk)


def _node_error(response_head: ResponseHead) -> AttemptResult | None:
    """Return the result that a node reports in its own error response, or None.

    Upstreams can't forge it: the owner node removes the header that marks it.
    """
    outcome = find_header(response_head.headers, OUTCOME)
    if outcome is None:
        return None
    code = _parse_code(find_header(response_head.headers, CODE))
    fault = Fault(code, "reported by the owner node")
    if outcome == CallOutcome.NOT_RUN.value.encode():
        return AttemptResult(AttemptState.NOT_RUN, fault)
    return AttemptResult(AttemptState.UNKNOWN, fault)


def _parse_code(value: bytes | None) -> ResultCode:
    try:
        return ResultCode(int(value or b""))
    except ValueError:
        return ResultCode.CALL_UNKNOWN_OUTCOME
