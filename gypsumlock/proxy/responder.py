"""Sends a response to the client: an upstream's, or an error response of the node."""

from __future__ import annotations

import msgspec

from gypsumlock.proxy.connection import ResponseHead, UpstreamConnection
from gypsumlock.proxy.headers import (
    CODE,
    OUTCOME,
    RETRIES,
    CallOutcome,
    Headers,
    forwardable_headers,
)
from gypsumlock.proxy.request import Send
from gypsumlock.result_codes import Fault, get_code_entry

__all__ = ["Responder"]


class Responder:
    """Sends the response of one call to its client."""

    __slots__ = ("_close_after", "_send", "retries", "started", "status")

    def __init__(self, send: Send, close_after: bool) -> None:
        self._send = send
        # True if the client is told not to reuse its connection.
        self._close_after = close_after
        # True once the head of a response was sent; no other response can follow.
        self.started = False
        self.status = 0
        # Number of retries so far; sent to the client in a header.
        self.retries = 0

    async def stream(self, head: ResponseHead, connection: UpstreamConnection) -> None:
        """Forward an upstream's response as it arrives.

        Raises
        ------
        ConnectionLost
            If the response ends early; the client's connection must be closed.
        """
        headers = forwardable_headers(head.headers)
        headers.extend(self._node_headers())
        self.started = True
        self.status = head.status
        await self._send(
            {"type": "http.response.start", "status": head.status, "headers": headers}
        )
        while chunk := await connection.read_body():
            await self._send(
                {"type": "http.response.body", "body": chunk, "more_body": True}
            )
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error(self, fault: Fault, outcome: CallOutcome) -> None:
        """Send an error response in place of an upstream, with code and outcome."""
        code_entry = get_code_entry(fault.code)
        body = msgspec.json.encode(
            {
                "code": fault.code.value,
                "name": fault.code.name,
                "detail": fault.detail,
                "outcome": outcome.value,
            }
        )
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (CODE, str(fault.code.value).encode()),
            (OUTCOME, outcome.value.encode()),
        ]
        headers.extend(self._node_headers())
        self.started = True
        self.status = code_entry.http_status
        await self._send(
            {
                "type": "http.response.start",
                "status": code_entry.http_status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _node_headers(self) -> Headers:
        headers: Headers = []
        if self.retries:
            headers.append((RETRIES, str(self.retries).encode()))
        if self._close_after:
            headers.append((b"connection", b"close"))
        return headers
