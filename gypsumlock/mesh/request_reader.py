"""Reads the requests of one connection, and bounds what is held of them.

What always holds:
- A head, and the trailers behind a body, hold no more than `max_header_bytes` and one
  slice of a read, wherever they stop.
- Bodies, and heads that take more memory than usual ones, are counted in the account of
  the node before they are held.
- A request that is rejected was not passed on.
"""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Final

import httptools

from gypsumlock.http_headers import Headers, find_header
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.model import ClientLimits
from gypsumlock.mesh.unfinished_bodies import UnfinishedBodies, UnfinishedBody
from gypsumlock.section_limit import SectionLimit, split_read

__all__ = ["RequestListener", "RequestReader"]

# Memory of a header beside its bytes, and memory of a head that is not counted.
HEADER_COST_BYTES: Final = 150
UNCOUNTED_HEAD_BYTES: Final = 8192


class RequestListener(UnfinishedBody):
    """Receives what a reader has read."""

    __slots__ = ()

    @abstractmethod
    def request_begun(self) -> None:
        """Handle the first byte of a request."""

    @abstractmethod
    def head_read(self, expects_continue: bool) -> None:
        """Handle the end of a head; the client may wait to be invited to go on."""

    @abstractmethod
    def request_read(self, request: HttpRequest) -> None:
        """Handle a complete request, whose bytes stay reserved."""

    @abstractmethod
    def reject(self, status: int) -> None:
        """Reject the request that is being read, and read no more."""


class RequestReader:
    """Parses the requests of one connection.

    Parameters
    ----------
    listener : RequestListener
        Receives the requests.
    limits : Callable[[], ClientLimits]
        Returns the limits that apply now.
    budget : ByteBudget
        Counts what is held.
    bodies : UnfinishedBodies
        Unfinished bodies of all connections.
    clock : Callable[[], float]
        Returns the monotonic time, in seconds.
    """

    __slots__ = (
        "_body",
        "_bodies",
        "_budget",
        "_clock",
        "_head_cost_bytes",
        "_header_bytes",
        "_headers",
        "_held_bytes",
        "_in_body",
        "_limits",
        "_listener",
        "_parser",
        "_section",
        "_target",
        "body_at_s",
        "is_reading",
        "is_rejected",
    )

    def __init__(
        self,
        listener: RequestListener,
        limits: Callable[[], ClientLimits],
        budget: ByteBudget,
        bodies: UnfinishedBodies,
        clock: Callable[[], float],
    ) -> None:
        self._listener = listener
        self._limits = limits
        self._budget = budget
        self._bodies = bodies
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._section = SectionLimit()
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._head_cost_bytes = 0
        self._in_body = False
        # One buffer, as an object for each chunk would take many times its bytes.
        self._body = bytearray()
        # Reserved for the request that is being read.
        self._held_bytes = 0
        # True from the first byte of a request to its last.
        self.is_reading = False
        self.is_rejected = False
        # Monotonic time of the last byte of the body; None while none is being read.
        self.body_at_s: float | None = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes; reject the request if they are not valid HTTP."""
        max_bytes = self._limits().max_header_bytes
        for part in split_read(data):
            if self.is_rejected:
                return
            try:
                self._parser.feed_data(part)
            except (httptools.HttpParserUpgrade, httptools.HttpParserError):
                self._reject(400)
                return
            if not self._section.record_slice(len(part), max_bytes):
                self._reject(431)

    def drop(self) -> None:
        """Release what is held of the request that is being read."""
        self.is_rejected = True
        self.body_at_s = None
        self._bodies.end(self._listener)
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        self._body = bytearray()
        self._headers = []

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.is_reading = True
        self._in_body = False
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._head_cost_bytes = 0
        self._body = bytearray()
        self._listener.request_begun()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url
        self._count_header(len(url), len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not passed on."""
        if self._in_body or self.is_rejected:
            return
        self._headers.append((name.lower(), value))
        size_bytes = len(name) + len(value)
        self._count_header(size_bytes + 4, size_bytes + HEADER_COST_BYTES)

    def on_headers_complete(self) -> None:
        """Reject a body that is known to be too large; invite others if asked to."""
        self._section.end_section()
        self._in_body = True
        if self.is_rejected:
            return
        length = find_header(self._headers, b"content-length") or b""
        if length.isdigit() and not self._has_room(int(length)):
            self._reject(503)
            return
        self.body_at_s = self._clock()
        self._bodies.begin(self._listener, self.body_at_s)
        self._listener.head_read(
            any(
                name == b"expect" and value.lower() == b"100-continue"
                for name, value in self._headers
            )
        )

    def on_chunk_header(self) -> None:
        """Note that the size of a chunk was read."""
        self._section.end_section()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._section.end_section()
        if self.is_rejected:
            return
        if len(self._body) + len(body) > self._limits().max_body_bytes:
            self._reject(413)
        elif not self._budget.reserve(len(body)):
            self._reject(503)
        elif self.is_rejected:
            # Given up itself, for want of memory.
            self._budget.release(len(body))
        else:
            self._held_bytes += len(body)
            self._body += body
            self.body_at_s = self._clock()
            self._bodies.record(self._listener, len(self._body), self.body_at_s)

    def on_message_complete(self) -> None:
        """Pass on the request."""
        self._section.end_section()
        self.is_reading = False
        self.body_at_s = None
        self._bodies.end(self._listener)
        if self.is_rejected:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._clock(),
            self._held_bytes,
        )
        self._held_bytes = 0
        self._body = bytearray()
        self._listener.request_read(request)

    def _count_header(self, size_bytes: int, cost_bytes: int) -> None:
        """Count a part of the head, and reserve the memory that it takes."""
        if self.is_rejected:
            return
        self._header_bytes += size_bytes
        self._head_cost_bytes += cost_bytes
        if self._header_bytes > self._limits().max_header_bytes:
            self._reject(431)
        elif self._head_cost_bytes > UNCOUNTED_HEAD_BYTES:
            if self._budget.reserve(cost_bytes):
                self._held_bytes += cost_bytes
            else:
                self._reject(503)

    def _has_room(self, body_bytes: int) -> bool:
        """Return whether a body can be held, if clients may send one of that size.

        One that is larger than they may send is rejected as such while it is received.
        """
        max_bytes = self._limits().max_body_bytes
        return body_bytes > max_bytes or self._budget.make_room(body_bytes)

    def _reject(self, status: int) -> None:
        if not self.is_rejected:
            self._listener.reject(status)
