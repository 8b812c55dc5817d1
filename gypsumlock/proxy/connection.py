"""One HTTP/1.1 connection to an upstream or to another node.

`UpstreamConnection` is what the data path needs of a client; see
docs/DESIGN.md for the ways weighed. A connection carries one call at a time,
and is used again only after an answer that ended cleanly.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import cast

import httptools

from gypsumlock import defaults
from gypsumlock.proxy.headers import Headers

__all__ = ["ConnectionLost", "Http1Connection", "ResponseHead", "UpstreamConnection"]


class ConnectionLost(Exception):
    """The connection ended, or sent what is not HTTP."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


class UpstreamConnection(ABC):
    """A client connection that carries one call at a time."""

    __slots__ = ()

    @abstractmethod
    def begin_request(self, method: str) -> None:
        """Prepare for a new call."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Write bytes of the request; waits while the peer reads slowly."""

    @abstractmethod
    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer."""

    @abstractmethod
    async def read_body(self) -> bytes:
        """Return the next part of the answer's body; empty at its end."""

    @abstractmethod
    def reusable(self) -> bool:
        """Tell whether another call may use the connection."""

    @abstractmethod
    def disable_reuse(self) -> None:
        """Make sure that no other call uses the connection."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once."""


class Http1Connection(asyncio.Protocol, UpstreamConnection):
    """An asyncio protocol over the parser of httptools."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_can_write",
        "_complete",
        "_failure",
        "_head",
        "_headers",
        "_idle_since_s",
        "_keep_alive",
        "_method",
        "_parser",
        "_reading_paused",
        "_transport",
        "_until_close",
        "_wakeup",
    )

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._idle_since_s = 0.0
        # Set whenever the state of the answer changed.
        self._wakeup = asyncio.Event()
        self._failure: str | None = None
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading_paused = False
        # True while no answer is awaited.
        self._complete = True
        self._keep_alive = True
        # True when the answer ends with the connection.
        self._until_close = False
        self._method = "GET"
        self._parser = httptools.HttpResponseParser(self)

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transports of uvloop do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        if self._complete:
            # Nothing was asked: the peer breaks the protocol.
            self._fail("unexpected data")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {type(error).__name__}")
        self._wakeup.set()

    def eof_received(self) -> None:
        """Let the transport close itself."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End an answer that has no length, or fail the call."""
        if not self._complete and self._until_close and exc is None:
            self._keep_alive = False
            self._complete = True
        elif self._failure is None:
            self._failure = "connection closed"
        self._can_write.set()
        self._wakeup.set()

    def pause_writing(self) -> None:
        """Stop the sender while the peer reads slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let the sender go on."""
        self._can_write.set()

    # --- UpstreamConnection ---

    def begin_request(self, method: str) -> None:
        """Prepare for a new call."""
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._body = []
        self._body_bytes = 0
        self._until_close = False
        self._complete = False

    async def send(self, data: bytes) -> None:
        """Write bytes of the request; waits while the peer reads slowly."""
        transport = self._transport
        if self._failure is not None or transport is None or transport.is_closing():
            raise ConnectionLost(self._failure or "connection closed")
        transport.write(data)
        if not self._can_write.is_set():
            await self._can_write.wait()

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer."""
        while self._head is None:
            await self._progress()
        return self._head

    async def read_body(self) -> bytes:
        """Return the next part of the answer's body; empty at its end."""
        while not self._body:
            if self._complete:
                return b""
            await self._progress()
        chunk = b"".join(self._body)
        self._body.clear()
        self._body_bytes = 0
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return chunk

    def reusable(self) -> bool:
        """Tell whether another call may use the connection."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._failure is not None:
            return False
        return self._complete and self._keep_alive and not self._body

    def disable_reuse(self) -> None:
        """Make sure that no other call uses the connection."""
        self._failure = self._failure or "request was not sent whole"

    def close(self) -> None:
        """Close the connection at once."""
        self._failure = self._failure or "closed by this node"
        if self._transport is not None:
            self._transport.abort()

    def mark_idle(self) -> None:
        """Note that the connection goes back to the pool."""
        self._idle_since_s = time.monotonic()

    def idle_s(self) -> float:
        """Return for how long the connection has carried no call."""
        return time.monotonic() - self._idle_since_s

    # --- callbacks of httptools ---

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Publish the head, unless it is an interim one."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._head = ResponseHead(status, self._headers)
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = self._method == "HEAD" or status in (204, 304)
        self._until_close = not framed and not bodiless
        if bodiless:
            # The parser would wait for the body that the headers describe.
            self._keep_alive = not framed and self._parser.should_keep_alive()
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, and stop reading when there is too much."""
        if self._complete:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        full = self._body_bytes > defaults.RESPONSE_BUFFER_BYTES
        if full and not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._head is None:
            # The end of an interim answer such as 100 Continue.
            self._headers = []
            return
        if not self._complete:
            self._keep_alive = self._parser.should_keep_alive()
            self._complete = True

    async def _progress(self) -> None:
        """Wait until something changed, or raise if nothing can any more."""
        if self._failure is not None:
            raise ConnectionLost(self._failure)
        self._wakeup.clear()
        await self._wakeup.wait()
        if self._failure is not None and self._head is None:
            raise ConnectionLost(self._failure)

    def _fail(self, reason: str) -> None:
        self._failure = reason
        if self._transport is not None:
            self._transport.abort()
