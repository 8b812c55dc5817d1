"""One connection to the upstream beside the node.

An answer counts only if it is whole and echoes the identifier of its call.
Invariant: a connection is used again only after one such answer, without a byte
more, that did not announce the end of the connection.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import cast

import httptools

from gypsumlock.http_headers import Headers, find_header

__all__ = [
    "DEFAULT_IDLE_S",
    "ConnectFailed",
    "ExchangeFailed",
    "ReadTimeouts",
    "UpstreamResponse",
    "UpstreamConnection",
]

# Idle time after which a connection isn't used again, as a share of the time
# that the upstream announced. The rest covers an upstream that closes early.
IDLE_SHARE = 0.6
# Idle time allowed where nothing was announced, in seconds.
DEFAULT_IDLE_S = 4.0
# Largest answer that is kept until it is whole, in bytes.
MAX_ANSWER_BYTES = 16_777_216

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class ConnectFailed(Exception):
    """No connection could be made; nothing was sent."""


class ExchangeFailed(Exception):
    """The call was sent, and there is no usable answer."""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """An upstream's whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """Bounds on the time without a byte of an answer, in seconds."""

    # Until the first byte, and between two of them.
    first_s: float
    later_s: float


class UpstreamConnection(asyncio.Protocol):
    """Client side of one connection, for one call at a time."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_call_id",
        "_clean",
        "_complete",
        "_headers",
        "_heard",
        "_id_name",
        "_matches",
        "_method",
        "_parser",
        "_silence",
        "_silence_end",
        "_status",
        "_transport",
        "_until_close",
        "_waiter",
        "forgotten",
        "idle_limit_s",
        "idle_since_s",
        "rested_s",
    )

    def __init__(self, id_header: bytes) -> None:
        self._id_name = id_header
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[UpstreamResponse] | None = None
        self._parser = httptools.HttpResponseParser(self)
        # False once anything happened that forbids a further call.
        self._clean = True
        self._complete = False
        self._matches = False
        self._until_close = False
        self._call_id = b""
        self._method = b""
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._silence: ReadTimeouts | None = None
        self._silence_end: asyncio.TimerHandle | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        # Time that the connection had rested before its last call; 0 for a new one.
        self.rested_s = 0.0
        # True once it was closed under a call without a byte of an answer.
        self.forgotten = False
        self._heard = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer; refuse bytes that nobody asked for."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._heard = True
        if self._silence is not None:
            self._bound_silence(self._silence.later_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._complete:
                # What follows a whole answer belongs to no call.
                self._clean = False
            else:
                self._fail(f"not HTTP: {type(error).__name__}")
                return
        if self._complete:
            self._deliver()

    def eof_received(self) -> bool:
        """End an answer that has no length; it was closed in order."""
        if self._until_close and self._matches and not self._complete:
            self._complete = True
            self._clean = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call that waits."""
        self._clean = False
        waits = self._waiter is not None and not self._waiter.done()
        self.forgotten = waits and not self._heard
        self._fail("connection closed")

    async def exchange(
        self,
        method: bytes,
        call_id: bytes,
        data: bytes,
        silence: ReadTimeouts | None = None,
    ) -> UpstreamResponse:
        """Send one call and wait for its whole answer.

        Parameters
        ----------
        method : bytes
            Method of the call.
        call_id : bytes
            Identifier that the answer must echo; empty accepts any answer.
        data : bytes
            The encoded call.
        silence : ReadTimeouts | None
            How long nothing may be heard; None leaves that to the caller.

        Raises
        ------
        ConnectFailed
            If the connection was closed before anything was written.
        ExchangeFailed
            If no usable answer came.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ConnectFailed("connection closed")
        self._method = method
        self._call_id = call_id
        self._start_answer()
        self._complete = False
        self._heard = False
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = asyncio.get_running_loop().create_future()
        transport.write(data)
        self._silence = silence
        if silence is not None:
            self._bound_silence(silence.first_s)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._silence = None
            self._end_silence()

    def reusable(self) -> bool:
        """Tell whether a further call may use the connection."""
        transport = self._transport
        return self._clean and transport is not None and not transport.is_closing()

    def close(self) -> None:
        """Close the connection at once."""
        self._clean = False
        if self._transport is not None:
            self._transport.abort()

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Note a further message: it belongs to no call."""
        if self._complete:
            self._clean = False
            return
        self._start_answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out whose answer this is and how it ends."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        names = dict(self._headers)
        echoed = names.get(self._id_name, b"")
        self._matches = not self._call_id or echoed == self._call_id
        if not self._matches:
            self._clean = False
            return
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = self._method == b"HEAD" or self._status in (204, 304)
        self._until_close = not framed and not bodiless
        self._note_idle_limit(names.get(b"keep-alive"))
        if bodiless:
            # The parser would wait for the body that the headers describe.
            self._clean = self._clean and not framed
            self._end_answer()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self._complete or not self._matches:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of an answer; go on waiting if it was another call's."""
        if not self._complete and self._status >= 200 and self._matches:
            self._end_answer()

    def _bound_silence(self, limit_s: float) -> None:
        """Fail the call unless a byte arrives in time."""
        self._end_silence()
        loop = asyncio.get_running_loop()
        self._silence_end = loop.call_later(limit_s, self._fail, "silence")

    def _end_silence(self) -> None:
        if self._silence_end is not None:
            self._silence_end.cancel()
            self._silence_end = None

    def _start_answer(self) -> None:
        self._matches = False
        self._until_close = False
        self._status = 0
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def _end_answer(self) -> None:
        self._complete = True
        self._clean = self._clean and self._parser.should_keep_alive()

    def _note_idle_limit(self, value: bytes | None) -> None:
        found = _KEEP_ALIVE_TIMEOUT.search(value or b"")
        if found is not None:
            self.idle_limit_s = IDLE_SHARE * int(found.group(1))

    def _deliver(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            body = b"".join(self._body)
            self._waiter.set_result(UpstreamResponse(self._status, self._headers, body))

    def _fail(self, reason: str) -> None:
        self._clean = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeFailed(reason))
        if self._transport is not None:
            self._transport.abort()
