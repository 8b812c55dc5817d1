"""HTTP/1.1 server for calls, with one protocol object per connection.

uvicorn serves the operator API. Calls need what its interface hides: to learn at once
that a client has disconnected, to abort a connection in the middle of a response, and
to tell whether a request was read. Both use the same parser.

A connection carries one request at a time. A request is passed to the handler once it
was read completely; pipelined requests wait in the order of their arrival.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import cast

import httptools

from gypsumlock.http_headers import Headers, find_header
from gypsumlock.mesh.http_messages import (
    HttpRequest,
    encode_rejection,
    encode_response_head,
)
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import ClientLimits
from gypsumlock.mesh.write_buffer import (
    UnsentBytes,
    has_unsent_bytes,
    write_with_head,
)

__all__ = ["CallServer", "HttpHandler", "ServerConnection"]

# Requests of one connection that may wait while another one is handled.
MAX_PIPELINED_REQUESTS = 16
LISTEN_BACKLOG = 1024
# Time for which a stopping node leaves an idle connection open, in seconds.
MIN_IDLE_S = 0.2
# Limits that apply until a configuration is known.
DEFAULT_LIMITS = ClientLimits(16_384, 67_108_864, 5.0, 60.0)


class HttpHandler(ABC):
    """Handles requests, each in a task of its own."""

    @abstractmethod
    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Call `connection.send_response`; cancelled when the client disconnects."""

    def limits(self) -> ClientLimits:
        """Return the limits that apply to clients now."""
        return DEFAULT_LIMITS


class CallServer:
    """Listens on one address and keeps track of its connections.

    Parameters
    ----------
    handler : HttpHandler
        Handles the requests.
    memory : MemoryAccount | None
        Counts the bodies that the connections hold; None for an account of their own.
    """

    __slots__ = ("_server", "closing", "connections", "handler", "loop", "memory")

    def __init__(
        self, handler: HttpHandler, memory: MemoryAccount | None = None
    ) -> None:
        self.handler = handler
        self.memory = memory or MemoryAccount()
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        # True once every response carries `connection: close`.
        self.closing = False
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on an address; raises OSError if it is in use."""
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def close_idle_connections(self) -> None:
        """Close all connections that have had no request for a moment."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.busy)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()


class ServerConnection(asyncio.Protocol):
    """One connection from a client."""

    __slots__ = (
        "_body",
        "_current",
        "_header_bytes",
        "_headers",
        "_idle_since_s",
        "_parser",
        "_pipelined",
        "_reading_request",
        "_rejected",
        "_reserved_bytes",
        "_server",
        "_target",
        "_task",
        "_timer",
        "_transport",
        "_unsent",
    )

    def __init__(self, server: CallServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Monotonic time of the end of the last response, or of the connection's start.
        self._idle_since_s = server.loop.time()
        self._reading_request = False
        self._rejected = False
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        # One buffer, as an object for each chunk would take many times its bytes.
        self._body = bytearray()
        # Of all bodies of this connection: received ones, and the one being received.
        self._reserved_bytes = 0
        self._unsent = UnsentBytes(server.memory.answers)

    @property
    def busy(self) -> bool:
        """True while a request is read or handled, or its response is not sent yet."""
        return (
            self._reading_request
            or self._current is not None
            or has_unsent_bytes(self._transport)
        )

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._start_timer(self._server.handler.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its client has disconnected."""
        self._server.connections.discard(self)
        self._cancel_timer()
        self._pipelined.clear()
        self._unsent.resume()
        self._release(self._reserved_bytes)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Count what the client does not read."""
        self._unsent.pause(self._transport)

    def resume_writing(self) -> None:
        """Count it no more: the client has read most of it."""
        self._unsent.resume()

    def eof_received(self) -> bool:
        """Treat a half-closed connection like a closed one."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject the request if they are not valid HTTP."""
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
        self._reading_request = True
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        if self._current is None:
            self._start_timer(self._server.handler.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Reject a body that is known to be too large; invite others if asked to."""
        length = find_header(self._headers, b"content-length") or b""
        if length.isdigit() and not self._has_room(int(length)):
            self._reject(503)
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._rejected:
            return
        max_bytes = self._server.handler.limits().max_body_bytes
        if len(self._body) + len(body) > max_bytes:
            self._reject(413)
        elif self._server.memory.requests.reserve(len(body)):
            self._reserved_bytes += len(body)
            self._body += body
        else:
            self._reject(503)

    def on_message_complete(self) -> None:
        """Start handling the request, or queue it behind the current one."""
        self._reading_request = False
        if self._rejected:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._server.loop.time(),
        )
        self._body = bytearray()
        if self._current is not None:
            self._pipelined.append(request)
            if (
                len(self._pipelined) > MAX_PIPELINED_REQUESTS
                and self._transport is not None
            ):
                self._transport.abort()
            return
        self._start_request(request)

    # --- responses ---

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response and start the next request.

        Parameters
        ----------
        status : int
            Status code.
        headers : list[tuple[bytes, bytes]]
            Headers except those that frame the message.
        body : bytes
            The complete body.
        """
        request = self._current
        if request is None:
            return
        is_last = self._server.closing and not self._pipelined
        close_connection = is_last or not request.keep_alive
        head = encode_response_head(status, headers, len(body), close_connection)
        self._write(head, b"" if request.method == b"HEAD" else body)
        self._finish_response(close_connection)

    def close_if_idle(self) -> None:
        """Close the connection if it has been idle for longer than a client needs.

        The first request of a new connection may be on its way.
        """
        idle_s = self._server.loop.time() - self._idle_since_s
        if not self.busy and idle_s > MIN_IDLE_S and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without a complete response."""
        if self._transport is not None:
            self._transport.abort()

    def _start_request(self, request: HttpRequest) -> None:
        self._cancel_timer()
        self._current = request
        self._task = self._server.loop.create_task(self._run_handler(request))

    async def _run_handler(self, request: HttpRequest) -> None:
        try:
            await self._server.handler.handle(request, self)
        finally:
            if self._current is request:
                # Don't leave the client waiting if the handler sent no response.
                self.abort()

    def _finish_response(self, close_connection: bool) -> None:
        if self._current is not None:
            self._release(len(self._current.body))
        self._current = None
        self._task = None
        self._idle_since_s = self._server.loop.time()
        if close_connection and self._transport is not None:
            self._pipelined.clear()
            self._transport.close()
            return
        if self._pipelined:
            self._start_request(self._pipelined.popleft())
        elif not self._reading_request:
            self._start_timer(self._server.handler.limits().idle_timeout_s)

    def _reject(self, status: int) -> None:
        """Reject a request that can't be read, and close the connection.

        If another request is being handled, its response is the last one and the
        rejected request gets none.
        """
        if self._rejected:
            return
        self._rejected = True
        self._release(len(self._body))
        self._body = bytearray()
        if self._current is None and self._transport is not None:
            self._write(encode_rejection(status))
            self._transport.close()
        elif self._current is not None:
            # The connection closes after the response in progress.
            self._current.keep_alive = False

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.handler.limits().max_header_bytes:
            self._reject(431)

    def _write(self, head: bytes, body: bytes = b"") -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._unsent.record_write(len(head) + len(body))
            write_with_head(self._transport, head, body)

    def _has_room(self, body_bytes: int) -> bool:
        """Return whether a body can be held, if clients may send one of that size.

        One that is larger than they may send is rejected as such while it is received.
        """
        max_bytes = self._server.handler.limits().max_body_bytes
        return body_bytes > max_bytes or self._server.memory.requests.has_room(
            body_bytes
        )

    def _release(self, body_bytes: int) -> None:
        """Return the bytes of a body, unless all were returned with the connection."""
        body_bytes = min(body_bytes, self._reserved_bytes)
        self._reserved_bytes -= body_bytes
        self._server.memory.requests.release(body_bytes)

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = self._server.loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._reading_request:
            self._reject(408)
        elif self._current is None and self._transport is not None:
            self._transport.close()
