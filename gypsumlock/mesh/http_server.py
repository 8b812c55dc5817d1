"""An HTTP/1.1 server for calls: one protocol object for each connection.

uvicorn serves the operator API; here a call needs what its interface hides: to
know at once that a client has left, to end a connection in the middle of an
answer, and to tell whether a request was read. Both use the same parser.

A connection carries one call at a time. A request is handed over once it was read
whole; further requests wait in the order of their arrival.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import cast

import httptools

from gypsumlock.http_headers import Headers, find_header
from gypsumlock.mesh.model import ClientLimits

__all__ = ["CallServer", "HttpHandler", "HttpRequest", "ServerConnection"]

REASONS = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Requests of one connection that may wait behind the one being answered.
MAX_PIPELINED = 16
LISTEN_BACKLOG = 1024
# Limits that hold until a configuration is known.
FIRST_LIMITS = ClientLimits(16_384, 67_108_864, 5.0, 60.0)


class HttpRequest:
    """One request, read whole."""

    __slots__ = ("body", "headers", "keep_alive", "method", "received_s", "target")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
        received_s: float,
    ) -> None:
        self.method = method
        self.target = target
        # Names are in lower case.
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        # Monotonic time at which the last byte was read.
        self.received_s = received_s

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class HttpHandler(ABC):
    """Answers requests; one task runs it for each request."""

    @abstractmethod
    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Answer through `connection.answer`; cancelled when the client leaves."""

    def limits(self) -> ClientLimits:
        """Return the bounds on clients that hold now."""
        return FIRST_LIMITS


class CallServer:
    """Listens on one address and keeps count of its connections."""

    __slots__ = ("_server", "closing", "connections", "handler", "loop")

    def __init__(self, handler: HttpHandler) -> None:
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        # True while answers tell clients to close their connections.
        self.closing = False
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen; raises OSError if the address is taken."""
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def close_idle_connections(self) -> None:
        """Close connections that carry no request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_busy_connections(self) -> int:
        """Return the number of connections with an unanswered request."""
        return sum(1 for connection in self.connections if connection.busy)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_current",
        "_deadline",
        "_header_bytes",
        "_headers",
        "_in_request",
        "_parser",
        "_rejected",
        "_requests",
        "_server",
        "_target",
        "_task",
        "_transport",
    )

    def __init__(self, server: CallServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._in_request = False
        self._rejected = False
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def busy(self) -> bool:
        """True while a request is read or answered."""
        return self._in_request or self._current is not None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._arm(self._server.handler.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in progress: its client has left."""
        self._server.connections.discard(self)
        self._disarm()
        self._requests.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as one whose client has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self._rejected:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._in_request = True
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        if self._current is None:
            self._arm(self._server.handler.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Let a client that waits for it send the body."""
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.handler.limits().max_body_bytes:
            self._reject(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over, or let it wait for the one before it."""
        self._in_request = False
        if self._rejected:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
            self._server.loop.time(),
        )
        self._body = []
        if self._current is not None:
            self._requests.append(request)
            if len(self._requests) > MAX_PIPELINED and self._transport is not None:
                self._transport.abort()
            return
        self._begin(request)

    # --- answers ---

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer and go on to the next request.

        Parameters
        ----------
        status : int
            Status code.
        headers : list[tuple[bytes, bytes]]
            Headers without those that frame the message.
        body : bytes
            The whole body.
        """
        request = self._current
        if request is None:
            return
        last = self._server.closing or not request.keep_alive
        reason = REASONS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines.extend([b"%b: %b\r\n" % header for header in headers])
        if status >= 200 and status not in (204, 304):
            lines.append(b"content-length: %d\r\n" % len(body))
        lines.append(b"connection: close\r\n\r\n" if last else b"\r\n")
        if request.method != b"HEAD":
            lines.append(body)
        self._write(b"".join(lines))
        self._finish(last)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection without a complete answer."""
        if self._transport is not None:
            self._transport.abort()

    def _begin(self, request: HttpRequest) -> None:
        self._disarm()
        self._current = request
        self._task = self._server.loop.create_task(self._run(request))

    async def _run(self, request: HttpRequest) -> None:
        await self._server.handler.handle(request, self)
        if self._current is request:
            # A handler that gave no answer must not leave the client waiting.
            self.abort()

    def _finish(self, last: bool) -> None:
        self._current = None
        self._task = None
        if last and self._transport is not None:
            self._requests.clear()
            self._transport.close()
            return
        if self._requests:
            self._begin(self._requests.popleft())
        elif not self._in_request:
            self._arm(self._server.handler.limits().idle_timeout_s)

    def _reject(self, status: int) -> None:
        """Answer what can't be read, once nothing else is being answered."""
        if self._rejected:
            return
        self._rejected = True
        if self._current is None and self._transport is not None:
            self._write(
                b"HTTP/1.1 %d %b\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
                % (status, REASONS[status])
            )
            self._transport.close()
        elif self._current is not None:
            # The answer in progress is the last one of this connection.
            self._current.keep_alive = False

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.handler.limits().max_header_bytes:
            self._reject(431)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _arm(self, timeout_s: float) -> None:
        self._disarm()
        self._deadline = self._server.loop.call_later(timeout_s, self._expire)

    def _disarm(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _expire(self) -> None:
        if self._in_request:
            self._reject(408)
        elif self._current is None and self._transport is not None:
            self._transport.close()
