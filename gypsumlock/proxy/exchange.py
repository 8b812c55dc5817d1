"""Sends one call over one connection and passes the answer on.

Phases: send the head with the kept part of the body, send the rest while the
peer may already answer, wait for the head of the answer, pass the answer on.
The result says what is known: a call is *not run* only if no byte was written
or if a node beside the upstream said so.
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
    """What is known of one attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of one attempt; the fault is None exactly when it was answered."""

    state: AttemptState
    fault: Fault | None = None


ANSWERED = AttemptResult(AttemptState.ANSWERED)


async def exchange_call(
    connection: UpstreamConnection,
    head: RequestHead,
    body: RequestBody,
    extra: Headers,
    responder: Responder,
    peer_is_node: bool,
) -> AttemptResult:
    """Carry one call over a connection.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection that carries no other call.
    head, body : RequestHead, RequestBody
        The call. The first part of the body must have been read.
    extra : Headers
        Headers that this node adds.
    responder : Responder
        Where the answer goes.
    peer_is_node : bool
        True when the peer is a node, whose refusals are believed.

    Returns
    -------
    AttemptResult
        What is known of the attempt.

    Raises
    ------
    ConnectionLost
        If the answer breaks off after its head was passed on.
    ClientDisconnected
        If the client leaves while it sends the body.
    """
    connection.begin_request(head.method)
    chunked = head.chunked()
    try:
        await connection.send(_first_bytes(head, body, extra, chunked))
    except ConnectionLost as error:
        # The connection was closed before anything was written to it.
        fault = Fault(ResultCode.CALL_UPSTREAM_UNREACHABLE, str(error))
        return AttemptResult(AttemptState.NOT_RUN, fault)
    if body.finished:
        return await _receive(connection, responder, peer_is_node)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_pump, connection, body, chunked)
        result = await _receive(connection, responder, peer_is_node)
        if not body.finished:
            # An answer that came early ends the sending.
            connection.disable_reuse()
        tasks.cancel_scope.cancel()
    return result


_LAST_CHUNK = b"0\r\n\r\n"


def _first_bytes(
    head: RequestHead, body: RequestBody, extra: Headers, chunked: bool
) -> bytes:
    """Return the head and what is known of the body, in one piece."""
    kept = body.kept()
    has_body = bool(kept) or not body.finished
    first = head.encode(extra, has_body) + _framed(kept, chunked)
    if has_body and body.finished and chunked:
        first += _LAST_CHUNK
    return first


async def _receive(
    connection: UpstreamConnection, responder: Responder, peer_is_node: bool
) -> AttemptResult:
    """Wait for the answer and pass it on, unless a node refused the call."""
    try:
        answer = await connection.read_head()
    except ConnectionLost as error:
        fault = Fault(ResultCode.CALL_UNKNOWN_OUTCOME, f"after sending: {error}")
        return AttemptResult(AttemptState.UNKNOWN, fault)
    refusal = _refusal_of(answer) if peer_is_node else None
    if refusal is None:
        await responder.stream(answer, connection)
        return ANSWERED
    # Read to its end, so that the connection can be used again.
    with suppress(ConnectionLost):
        while await connection.read_body():
            pass
    return refusal


async def _pump(
    connection: UpstreamConnection, body: RequestBody, chunked: bool
) -> None:
    """Send the rest of the body; a lost connection shows at the reading side."""
    with suppress(ConnectionLost):
        async for chunk in body.iter_remaining():
            await connection.send(_framed(chunk, chunked))
        if chunked:
            await connection.send(_LAST_CHUNK)


def _framed(chunk: bytes, chunked: bool) -> bytes:
    if not chunk or not chunked:
        return chunk
    return b"%x\r\n%b\r\n" % (len(chunk), chunk)


def _refusal_of(answer: ResponseHead) -> AttemptResult | None:
    """Return what a node says of the call that it did not carry through.

    Upstreams can't forge this: the node beside them does not pass it on.
    """
    outcome = find_header(answer.headers, OUTCOME)
    if outcome is None:
        return None
    code = _code_of(find_header(answer.headers, CODE))
    fault = Fault(code, "said by the node beside the upstream")
    if outcome == CallOutcome.NOT_RUN.value.encode():
        return AttemptResult(AttemptState.NOT_RUN, fault)
    return AttemptResult(AttemptState.UNKNOWN, fault)


def _code_of(value: bytes | None) -> ResultCode:
    try:
        return ResultCode(int(value or b""))
    except ValueError:
        return ResultCode.CALL_UNKNOWN_OUTCOME
