"""One connection of a server for calls.

A connection carries one request at a time. A request is passed to the handler once it
was read completely; pipelined requests wait in the order of their arrival.

What always holds: a connection on which nothing moves is closed. A head has the time
`header_timeout_s`; a connection without a request, a body of which nothing arrives and
a response of which the client reads nothing have the time `idle_timeout_s`.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import cast

from gypsumlock.http_headers import Headers
from gypsumlock.mesh.connection_table import ConnectionTable
from gypsumlock.mesh.http_messages import (
    HttpRequest,
    encode_rejection,
    encode_response_head,
)
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import ClientLimits
from gypsumlock.mesh.request_reader import RequestListener, RequestReader
from gypsumlock.mesh.unfinished_bodies import UnfinishedBodies
from gypsumlock.mesh.write_buffer import (
    UnsentBytes,
    has_unsent_bytes,
    write_with_head,
)
from gypsumlock.mesh.write_watch import WriteWatch

__all__ = ["HttpHandler", "ServerConnection", "ServerState"]

# Requests of one connection that may wait while another one is handled.
MAX_PIPELINED_REQUESTS = 16
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


class ServerState:
    """What the connections of one server share.

    Parameters
    ----------
    handler : HttpHandler
        Handles the requests.
    memory : MemoryAccount | None
        Counts the bodies that the connections hold; None for an account of their own.
    max_connections : int
        Most connections that are kept; 0 for no limit.
    """

    __slots__ = ("bodies", "closing", "handler", "loop", "memory", "table")

    def __init__(
        self,
        handler: HttpHandler,
        memory: MemoryAccount | None = None,
        max_connections: int = 0,
    ) -> None:
        self.handler = handler
        self.memory = memory or MemoryAccount()
        self.memory.requests.on_shortage = self._give_up_stalled_bodies
        self.loop = asyncio.get_running_loop()
        self.table: ConnectionTable[ServerConnection] = ConnectionTable(max_connections)
        self.bodies = UnfinishedBodies()
        # True once every response carries `connection: close`.
        self.closing = False

    def add_connection(self, connection: ServerConnection) -> None:
        """Add a new connection, and close one if there are too many."""
        excess = self.table.add(connection)
        if excess is not None:
            excess.abort()

    def _give_up_stalled_bodies(self, size_bytes: int) -> None:
        """Give up unfinished bodies until a number of bytes can be held."""
        while not self.memory.requests.has_room(size_bytes):
            body = self.bodies.take_stalled(self.loop.time())
            if body is None:
                return
            body.give_up()


class ServerConnection(asyncio.Protocol, RequestListener):
    """One connection from a client."""

    __slots__ = (
        "_current",
        "_held_bytes",
        "_idle_since_s",
        "_limits",
        "_pipelined",
        "_reader",
        "_server",
        "_task",
        "_timer",
        "_transport",
        "_unsent",
        "_write_watch",
    )

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self._limits = server.handler.limits
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            self,
            self._limits,
            server.memory.requests,
            server.bodies,
            server.loop.time,
        )
        self._pipelined: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._write_watch = WriteWatch(lambda: self._limits().idle_timeout_s)
        # Monotonic time of the end of the last response, or of the connection's start.
        self._idle_since_s = server.loop.time()
        # Reserved for the requests that were read completely.
        self._held_bytes = 0
        self._unsent = UnsentBytes(server.memory.answers)

    @property
    def busy(self) -> bool:
        """True while a request is read or handled, or its response is not sent yet."""
        return (
            self._reader.is_reading
            or self._current is not None
            or has_unsent_bytes(self._transport)
        )

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._start_timer(self._limits().idle_timeout_s)
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its client has disconnected."""
        self._server.table.remove(self)
        self._cancel_timer()
        self._write_watch.stop()
        self._pipelined.clear()
        self._unsent.resume()
        self._reader.drop()
        self._release(self._held_bytes)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Count what the client does not read."""
        self._unsent.pause(self._transport)
        self._write_watch.start(self._transport)

    def resume_writing(self) -> None:
        """Count it no more: the client has read most of it."""
        self._unsent.resume()
        self._write_watch.stop()

    def eof_received(self) -> bool:
        """Treat a half-closed connection like a closed one."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._reader.feed(data)

    # --- RequestListener ---

    def request_begun(self) -> None:
        """Give the head its time."""
        self._start_timer(self._limits().header_timeout_s)

    def head_read(self, expects_continue: bool) -> None:
        """Give the body its time, and invite it if the client waits for that."""
        self._server.table.mark_reading(self)
        self._start_timer(self._limits().idle_timeout_s)
        if expects_continue:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(self, request: HttpRequest) -> None:
        """Start handling the request, or queue it behind the current one."""
        self._cancel_timer()
        self._held_bytes += request.held_bytes
        if self._current is None:
            self._start_request(request)
            return
        self._pipelined.append(request)
        if len(self._pipelined) > MAX_PIPELINED_REQUESTS:
            self.abort()

    def reject(self, status: int) -> None:
        """Reject a request that can't be read, and close the connection.

        If another request is being handled, its response is the last one and the
        rejected request gets none.
        """
        self._reader.drop()
        if self._current is not None:
            # The connection closes after the response in progress.
            self._current.keep_alive = False
        elif self._transport is not None:
            self._write(encode_rejection(status))
            self._close()

    def give_up(self) -> None:
        """Reject a request whose body takes memory that others need."""
        self.reject(503)

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

    def _close(self) -> None:
        """Close the connection once the client has read what was written."""
        if self._transport is not None:
            self._transport.close()
            if has_unsent_bytes(self._transport):
                self._write_watch.start(self._transport)

    def _start_request(self, request: HttpRequest) -> None:
        self._server.table.mark_busy(self)
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
            self._release(self._current.held_bytes)
        self._current = None
        self._task = None
        self._idle_since_s = self._server.loop.time()
        if close_connection and self._transport is not None:
            self._pipelined.clear()
            self._close()
            return
        if self._pipelined:
            self._start_request(self._pipelined.popleft())
            return
        self._server.table.mark_idle(self)
        if not self._reader.is_reading:
            self._start_timer(self._limits().idle_timeout_s)

    def _write(self, head: bytes, body: bytes = b"") -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._unsent.record_write(len(head) + len(body))
            self._write_watch.record_write(len(head) + len(body))
            write_with_head(self._transport, head, body)

    def _release(self, held_bytes: int) -> None:
        """Return the bytes of a request, unless all were returned before."""
        held_bytes = min(held_bytes, self._held_bytes)
        self._held_bytes -= held_bytes
        self._server.memory.requests.release(held_bytes)

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = self._server.loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        body_at_s = self._reader.body_at_s
        if body_at_s is not None:
            limit_s = body_at_s + self._limits().idle_timeout_s
            left_s = limit_s - self._server.loop.time()
            if left_s > 0:
                self._start_timer(left_s)
                return
        if self._reader.is_reading:
            if not self._reader.is_rejected:
                self.reject(408)
        elif self._current is None and self._transport is not None:
            self._transport.close()
