"""HTTP/1.1 client connection to one server, such as the local upstream.

A response is accepted only if it is complete and echoes the identifier of its call.

Invariants:
- A connection is reused only after exactly one such response, with no further bytes,
  that did not announce that the connection will close.
- Only a status from 200 to 599 is that of a response, and from 100 that of an interim
  one; after any other the connection is closed.
- What an upstream sends without end is cut off, wherever it is: in a head, a body, a
  trailer, or the response to another call.
"""

from __future__ import annotations

import asyncio
import re
from typing import cast

import httptools

from gypsumlock.http_headers import Headers, has_conflict
from gypsumlock.http_status import is_final_status, is_status
from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.upstream_response import (
    ConnectFailed,
    ExchangeFailed,
    ReadTimeouts,
    UpstreamResponse,
)

__all__ = ["DEFAULT_IDLE_LIMIT_S", "UpstreamConnection"]

# Fraction of the keep-alive timeout announced by the upstream for which an idle
# connection is reused. The rest is a margin for upstreams that close early.
IDLE_LIMIT_FRACTION = 0.6
# Idle limit for upstreams that announce no keep-alive timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
# Largest response body that is buffered, and largest one of another call that is
# skipped.
MAX_RESPONSE_BYTES = 16_777_216
# Bytes outside of bodies that are read for one call: heads, interim responses, chunk
# framing and trailers. Small chunks have more framing than body.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BODY_BYTE = 8
# Headers of one response. Each takes far more memory than its bytes.
MAX_HEADERS = 1000

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})(?!\d)")


class UpstreamConnection(asyncio.Protocol):
    """Client side of one connection, which carries one call at a time.

    Parameters
    ----------
    id_header : bytes
        Name of the header with the request identifier that responses echo.
    budget : ByteBudget
        Limits the response bodies that are held in memory.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_budget",
        "_complete",
        "_ends_at_close",
        "_head_bytes",
        "_headers",
        "_headers_complete",
        "_id_header",
        "_id_matches",
        "_method",
        "_parser",
        "_read_timer",
        "_reason",
        "_received_bytes",
        "_request_id",
        "_response_future",
        "_reusable",
        "_skipped_bytes",
        "_status",
        "_timeouts",
        "_transport",
        "closed_unanswered",
        "idle_before_call_s",
        "idle_limit_s",
        "idle_since_s",
    )

    def __init__(self, id_header: bytes, budget: ByteBudget) -> None:
        self._id_header = id_header
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[UpstreamResponse] | None = None
        self._parser = httptools.HttpResponseParser(self)
        # False once the connection must not carry another call.
        self._reusable = True
        self._complete = False
        self._headers_complete = False
        self._id_matches = False
        self._ends_at_close = False
        self._request_id = b""
        self._method = b""
        self._status = 0
        self._reason = b""
        self._headers: Headers = []
        # One buffer, as an object for each chunk would take many times its bytes.
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes of the head that is being received; bodies don't extend its limit.
        self._head_bytes = 0
        # Bytes received since the call was sent, and those of bodies of other calls.
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._timeouts: ReadTimeouts | None = None
        self._read_timer: asyncio.TimerHandle | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        # Time for which the connection was idle before its last call; 0 for a new one.
        self.idle_before_call_s = 0.0
        # True once it was closed during a call, before the first byte of the response.
        self.closed_unanswered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no call is in progress."""
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        self._received_bytes += len(data)
        if self._timeouts is not None:
            self._start_read_timer(self._timeouts.next_byte_s)
        was_in_head = not self._headers_complete
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                # Data after a complete response belongs to no call.
                self._reusable = False
            else:
                self._fail(f"invalid HTTP: {type(error).__name__}")
                return
        if self._complete:
            self._deliver()
            return
        is_in_head = was_in_head and not self._headers_complete
        self._head_bytes = self._head_bytes + len(data) if is_in_head else 0
        if self._head_bytes > MAX_FRAMING_BYTES or self._exceeds_framing_limit():
            self._fail("no end of the response head or framing")

    def eof_received(self) -> bool:
        """Complete a response that is delimited by a clean close of the connection."""
        if self._ends_at_close and self._id_matches and not self._complete:
            self._complete = True
            self._reusable = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self._reusable = False
        pending = self._response_future is not None and not self._response_future.done()
        self.closed_unanswered = pending and not self._received_bytes
        self._fail("connection closed")

    async def exchange(
        self,
        method: bytes,
        request_id: bytes,
        data: bytes,
        timeouts: ReadTimeouts | None = None,
    ) -> UpstreamResponse:
        """Send one call and wait for its complete response.

        Parameters
        ----------
        method : bytes
            Method of the call.
        request_id : bytes
            Identifier that the response must echo; empty accepts any response.
        data : bytes
            The encoded request.
        timeouts : ReadTimeouts | None
            Timeouts for reading the response; None leaves timeouts to the caller.

        Raises
        ------
        ConnectFailed
            If the connection was closed before anything was written.
        ExchangeFailed
            If no usable response was received.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ConnectFailed("connection closed")
        self._method = method
        self._request_id = request_id
        self._reset_response()
        self._complete = False
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._response_future = asyncio.get_running_loop().create_future()
        transport.write(data)
        self._timeouts = timeouts
        if timeouts is not None:
            self._start_read_timer(timeouts.first_byte_s)
        try:
            return await self._response_future
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._timeouts = None
            self._cancel_read_timer()
            self._budget.release(self._body_bytes)
            self._reset_response()

    def reusable(self) -> bool:
        """Return whether a further call may use the connection."""
        transport = self._transport
        return self._reusable and transport is not None and not transport.is_closing()

    def close(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response belongs to no call."""
        if self._complete:
            self._reusable = False
            return
        self._reset_response()

    def on_status(self, reason: bytes) -> None:
        """Collect a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not passed on."""
        if not self._complete and not self._headers_complete:
            if len(self._headers) >= MAX_HEADERS:
                self._fail("too many headers")
                return
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check which call the response belongs to, and determine how its body ends."""
        if self._complete:
            return
        self._headers_complete = True
        self._status = self._parser.get_status_code()
        if not is_status(self._status):
            self._fail("invalid status")
            return
        if not is_final_status(self._status):
            return
        if self._is_joined_head():
            self._fail("two response heads in one")
            return
        header_values = dict(self._headers)
        echoed = header_values.get(self._id_header, b"")
        self._id_matches = not self._request_id or echoed == self._request_id
        if not self._id_matches:
            self._reusable = False
            return
        framed = (
            b"content-length" in header_values or b"transfer-encoding" in header_values
        )
        bodiless = self._method == b"HEAD" or self._status in (204, 304)
        self._ends_at_close = not framed and not bodiless
        self._read_idle_limit(header_values.get(b"keep-alive"))
        if bodiless:
            # The parser would wait for the body that the headers announce.
            self._reusable = self._reusable and not framed
            self._finish_response()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._complete:
            return
        size_bytes = len(body)
        if not self._id_matches:
            self._skipped_bytes += size_bytes
            if self._skipped_bytes > MAX_RESPONSE_BYTES:
                self._fail("no end of the response to another call")
            return
        if self._body_bytes + size_bytes > MAX_RESPONSE_BYTES:
            self._fail("response body too large")
        elif self._budget.reserve(size_bytes):
            self._body_bytes += size_bytes
            self._body += body
        else:
            self._fail("too many bytes of responses are held")

    def on_message_complete(self) -> None:
        """Finish the response, or keep waiting if it belongs to another call."""
        if not self._complete and self._id_matches:
            self._finish_response()

    def _is_joined_head(self) -> bool:
        """Return whether the head consists of the beginning of one and another one.

        An upstream may break off a copy of an earlier response anywhere in its head.
        Status and headers of such a head belong to no single call.
        """
        texts = [self._reason, *[value for _, value in self._headers]]
        if _STATUS_LINE.search(b"\n".join(texts)):
            return True
        deciding = (self._id_header, b"content-length", b"transfer-encoding")
        return has_conflict(self._headers, deciding)

    def _exceeds_framing_limit(self) -> bool:
        body_bytes = self._body_bytes + self._skipped_bytes
        limit_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        return self._received_bytes - body_bytes > limit_bytes

    def _start_read_timer(self, timeout_s: float) -> None:
        """Fail the call unless data arrives before the timeout."""
        self._cancel_read_timer()
        loop = asyncio.get_running_loop()
        self._read_timer = loop.call_later(timeout_s, self._fail, "read timeout")

    def _cancel_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _reset_response(self) -> None:
        self._headers_complete = False
        self._id_matches = False
        self._ends_at_close = False
        self._status = 0
        self._reason = b""
        self._headers = []
        self._body = bytearray()
        self._body_bytes = 0

    def _finish_response(self) -> None:
        self._complete = True
        self._reusable = self._reusable and self._parser.should_keep_alive()

    def _read_idle_limit(self, value: bytes | None) -> None:
        match = _KEEP_ALIVE_TIMEOUT.search(value or b"")
        if match is not None:
            self.idle_limit_s = IDLE_LIMIT_FRACTION * int(match.group(1))

    def _deliver(self) -> None:
        if self._response_future is not None and not self._response_future.done():
            body = bytes(self._body)
            self._body = bytearray()
            self._response_future.set_result(
                UpstreamResponse(self._status, self._headers, body)
            )

    def _fail(self, reason: str) -> None:
        self._reusable = False
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(ExchangeFailed(reason))
        if self._transport is not None:
            self._transport.abort()
