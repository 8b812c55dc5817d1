"""Writes one answer to the client: an upstream's, or the node's own."""

from __future__ import annotations

import msgspec

from gypsumlock.proxy.connection import ResponseHead, UpstreamConnection
from gypsumlock.proxy.headers import (
    CODE,
    OUTCOME,
    RETRIES,
    CallOutcome,
    Headers,
    forwardable,
)
from gypsumlock.proxy.request import Send
from gypsumlock.result_codes import Fault, get_code_entry

__all__ = ["Responder"]


class Responder:
    """The way back to one client."""

    __slots__ = ("_last", "_send", "retries", "started", "status")

    def __init__(self, send: Send, last: bool) -> None:
        self._send = send
        # True when the client should not use its connection again.
        self._last = last
        # True once the head of an answer went out; there is no second one.
        self.started = False
        self.status = 0
        # Attempts beyond the first, told to the client.
        self.retries = 0

    async def stream(self, head: ResponseHead, connection: UpstreamConnection) -> None:
        """Pass an upstream's answer on as it arrives.

        Raises
        ------
        ConnectionLost
            If the answer breaks off; the client's connection must be cut.
        """
        headers = forwardable(head.headers)
        headers.extend(self._own_headers())
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

    async def refuse(self, fault: Fault, outcome: CallOutcome) -> None:
        """Answer in place of an upstream, with code and outcome."""
        entry = get_code_entry(fault.code)
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
        headers.extend(self._own_headers())
        self.started = True
        self.status = entry.http_status
        await self._send(
            {
                "type": "http.response.start",
                "status": entry.http_status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _own_headers(self) -> Headers:
        headers: Headers = []
        if self.retries:
            headers.append((RETRIES, str(self.retries).encode()))
        if self._last:
            headers.append((b"connection", b"close"))
        return headers
