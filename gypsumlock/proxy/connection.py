"""HTTP/1.1 client connections to upstreams and to other nodes.

`UpstreamConnection` is the interface that the data path needs; docs/DESIGN.md
lists the implementations that were considered. A connection carries one call
at a time, and is reused only after a response that ended cleanly.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import cast

import httptools

from gypsumlock import defaults
from gypsumlock.http_status import is_final_status, is_status
from gypsumlock.proxy.headers import Headers
from gypsumlock.section_limit import SectionLimit, split_read

__all__ = ["ConnectionLost", "Http1Connection", "ResponseHead", "UpstreamConnection"]


class ConnectionLost(Exception):
    """The connection was closed, or the peer sent data that is not HTTP."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers


class UpstreamConnection(ABC):
    """A client connection that carries one call at a time."""

    __slots__ = ()

    @abstractmethod
    def begin_request(self, method: str) -> None:
        """Reset the response state for a new request."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Write bytes of the request; wait while the peer reads slowly."""

    @abstractmethod
    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response and return it."""

    @abstractmethod
    async def read_body(self) -> bytes:
        """Return the next part of the response body; empty at its end."""

    @abstractmethod
    def reusable(self) -> bool:
        """Return whether another call may use the connection."""

    @abstractmethod
    def disable_reuse(self) -> None:
        """Prevent other calls from using the connection."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once."""


class Http1Connection(asyncio.Protocol, UpstreamConnection):
    """HTTP/1.1 client connection: an asyncio protocol with the httptools parser."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_can_write",
        "_complete",
        "_ends_at_close",
        "_failure",
        "_head",
        "_headers",
        "_idle_since_s",
        "_keep_alive",
        "_method",
        "_parser",
        "_reading_paused",
        "_section",
        "_transport",
        "_wakeup",
    )

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._idle_since_s = 0.0
        # Set whenever the state of the response changes.
        self._wakeup = asyncio.Event()
        self._failure: str | None = None
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading_paused = False
        # True while no response is expected.
        self._complete = True
        self._keep_alive = True
        # True if the response ends when the peer closes the connection.
        self._ends_at_close = False
        self._method = "GET"
        self._parser = httptools.HttpResponseParser(self)
        self._section = SectionLimit()

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._complete:
            # No request is in flight, so the peer violates the protocol.
            self._fail("unexpected data")
            return
        for part in split_read(data):
            self._read(part)
            if self._failure is not None:
                break
        self._wakeup.set()

    def eof_received(self) -> None:
        """Return None, so that the transport closes itself."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End a response that is delimited by the close, or fail the call."""
        if not self._complete and self._ends_at_close and exc is None:
            self._keep_alive = False
            self._complete = True
        elif self._failure is None:
            self._failure = "connection closed"
        self._can_write.set()
        self._wakeup.set()

    def pause_writing(self) -> None:
        """Make `send` wait while the write buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let `send` continue."""
        self._can_write.set()

    # --- UpstreamConnection ---

    def begin_request(self, method: str) -> None:
        """Reset the response state for a new request."""
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._section = SectionLimit()
        self._headers = []
        self._head = None
        self._body = []
        self._body_bytes = 0
        self._ends_at_close = False
        self._complete = False

    async def send(self, data: bytes) -> None:
        """Write bytes of the request; wait while the peer reads slowly."""
        transport = self._transport
        if self._failure is not None or transport is None or transport.is_closing():
            raise ConnectionLost(self._failure or "connection closed")
        transport.write(data)
        if not self._can_write.is_set():
            await self._can_write.wait()

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response and return it."""
        while self._head is None:
            await self._wait_for_change()
        return self._head

    async def read_body(self) -> bytes:
        """Return the next part of the response body; empty at its end."""
        while not self._body:
            if self._complete:
                return b""
            await self._wait_for_change()
        chunk = b"".join(self._body)
        self._body.clear()
        self._body_bytes = 0
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return chunk

    def reusable(self) -> bool:
        """Return whether another call may use the connection."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._failure is not None:
            return False
        return self._complete and self._keep_alive and not self._body

    def disable_reuse(self) -> None:
        """Prevent other calls from using the connection."""
        self._failure = self._failure or "the request was not sent completely"

    def close(self) -> None:
        """Close the connection at once."""
        self._failure = self._failure or "closed by this node"
        if self._transport is not None:
            self._transport.abort()

    def mark_idle(self) -> None:
        """Record that the connection has become idle."""
        self._idle_since_s = time.monotonic()

    def idle_s(self) -> float:
        """Return the time since the connection became idle, in seconds."""
        return time.monotonic() - self._idle_since_s

    # --- httptools callbacks ---

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the response; trailers are not passed on."""
        if self._head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head, unless the response is an interim one (1xx)."""
        self._section.end_section()
        status = self._parser.get_status_code()
        if not is_status(status):
            self._fail("invalid status")
            return
        if not is_final_status(status):
            return
        self._head = ResponseHead(status, self._headers)
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = self._method == "HEAD" or status in (204, 304)
        self._ends_at_close = not framed and not bodiless
        if bodiless:
            # The parser would wait for the body that the headers announce.
            self._keep_alive = not framed and self._parser.should_keep_alive()
            self._complete = True

    def on_chunk_header(self) -> None:
        """Note that the size of a chunk was read."""
        self._section.end_section()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading above the buffer limit."""
        self._section.end_section()
        if self._complete:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        over_limit = self._body_bytes > defaults.RESPONSE_BUFFER_BYTES
        if over_limit and not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self._section.end_section()
        if self._head is None:
            # The end of an interim response such as 100 Continue.
            self._headers = []
            return
        if not self._complete:
            self._keep_alive = self._parser.should_keep_alive()
            self._complete = True

    async def _wait_for_change(self) -> None:
        """Wait for the response state to change; raise once the connection failed."""
        if self._failure is not None:
            raise ConnectionLost(self._failure)
        self._wakeup.clear()
        await self._wakeup.wait()
        if self._failure is not None and self._head is None:
            raise ConnectionLost(self._failure)

    def _read(self, part: bytes | memoryview) -> None:
        """Parse a slice of the response; fail if a head or trailers have no end."""
        try:
            self._parser.feed_data(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"not HTTP: {type(error).__name__}")
            return
        if not self._section.record_slice(len(part), defaults.MAX_HEADER_BYTES):
            self._fail("no end of the response head or trailers")

    def _fail(self, reason: str) -> None:
        self._failure = reason
        if self._transport is not None:
            self._transport.abort()
