"""uvicorn's HTTP protocol with bounds on what a client may send, and how long it takes.

uvicorn bounds heads only with its other parser, ends only idle connections, and keeps
any number of them. Bodies need no bound here: reading stops while the application has
more than 64 KiB that it has not taken.

What always holds: a connection on which nothing moves for `CLIENT_STALL_TIMEOUT_S` is
closed, unless the application is at work on its request.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from gypsumlock import defaults
from gypsumlock.section_limit import SectionLimit, split_read

__all__ = ["BoundedConfig", "BoundedProtocol"]

_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)


class BoundedConfig(uvicorn.Config):
    """Configuration of a server, with the number of connections that it keeps."""

    # 0 for no limit.
    max_connections = 0


class BoundedProtocol(HttpToolsProtocol):
    """One connection of a client."""

    def __init__(self, config: BoundedConfig, *args: Any, **kwargs: Any) -> None:
        super().__init__(config, *args, **kwargs)
        self._max_connections = config.max_connections
        self._section = SectionLimit()
        self._in_body = False
        # True from the first byte of a request to its last.
        self._is_reading = False
        # Monotonic time at which the client last made progress: with a head, or with
        # each read of a body.
        self._progress_at_s = self.loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waits_for_client(self) -> bool:
        """True unless the application is at work on a request that was read."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return True
        return self._is_reading and not self.flow.read_paused

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection; close one if there are too many."""
        super().connection_made(transport)
        self._schedule_check(defaults.CLIENT_STALL_TIMEOUT_S)
        if 0 < self._max_connections < len(self.connections):
            self._close_oldest()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a head or trailers without end."""
        if self._in_body or not self._is_reading:
            self._progress_at_s = self.loop.time()
        for part in split_read(data):
            if self.transport.is_closing():
                return
            super().data_received(bytes(part))
            if not self._section.record_slice(len(part), defaults.MAX_HEADER_BYTES):
                self._refuse()

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._is_reading = True
        self._in_body = False
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not passed on."""
        if not self._in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the application."""
        self._section.end_section()
        self._in_body = True
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Note that the size of a chunk was read."""
        self._section.end_section()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._section.end_section()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self._section.end_section()
        self._is_reading = False
        self._in_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Give the client its time for the next request."""
        self._progress_at_s = self.loop.time()
        super().on_response_complete()

    def _refuse(self) -> None:
        """Refuse what is being read; a response in progress is broken off."""
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(_REFUSAL)
            self.transport.close()
        else:
            self.transport.abort()

    def _close_oldest(self) -> None:
        """Close the connection that waits longest for its client, or else this one."""
        others = cast(set[BoundedProtocol], self.connections)
        waiting = [other for other in others if other.waits_for_client]
        oldest = min(waiting, key=lambda other: other._progress_at_s, default=self)
        self.connections.discard(oldest)
        oldest.transport.abort()

    def _schedule_check(self, delay_s: float) -> None:
        self._timer = self.loop.call_later(delay_s, self._check_progress)

    def _check_progress(self) -> None:
        """Close the connection if its client made no progress in time."""
        now_s = self.loop.time()
        if not self.waits_for_client:
            self._progress_at_s = now_s
        left_s = self._progress_at_s + defaults.CLIENT_STALL_TIMEOUT_S - now_s
        if left_s > 0:
            self._schedule_check(left_s)
        else:
            self.transport.abort()
