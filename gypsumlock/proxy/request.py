"""Head and body of a request that the node forwards.

The body is streamed. Its start is buffered, so that a call can be retried as
long as no more than `REPLAY_BUFFER_BYTES` of the body were read.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import anyio

from gypsumlock import defaults
from gypsumlock.proxy.headers import Headers, find_header, forwardable_headers

__all__ = [
    "ClientDisconnected",
    "Receive",
    "RequestBody",
    "RequestHead",
    "Scope",
    "Send",
]

# ASGI types; ASGI messages are plain dictionaries.
Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class ClientDisconnected(Exception):
    """The client closed its connection before it had sent the whole request."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    host: str
    path: str
    # Path and query string as the client sent them.
    target: bytes
    headers: Headers

    @staticmethod
    def from_scope(scope: Scope) -> RequestHead:
        """Return the head of the request of an ASGI scope."""
        headers: Headers = scope["headers"]
        query: bytes = scope["query_string"]
        target: bytes = scope["raw_path"]
        host = find_header(headers, b"host") or b""
        return RequestHead(
            method=scope["method"],
            host=host.decode("latin-1").partition(":")[0],
            path=scope["path"],
            target=target + b"?" + query if query else target,
            headers=headers,
        )

    def encode(self, added_headers: Headers, has_body: bool) -> bytes:
        """Return the bytes of the head for the next connection.

        Parameters
        ----------
        added_headers : Headers
            Headers that this node adds.
        has_body : bool
            True if the request has a body. Without a content-length header the
            chunked transfer coding is announced.
        """
        lines = [b"%b %b HTTP/1.1\r\n" % (self.method.encode(), self.target)]
        has_length = False
        for name, value in forwardable_headers(self.headers):
            has_length = has_length or name == b"content-length"
            lines.append(b"%b: %b\r\n" % (name, value))
        for name, value in added_headers:
            lines.append(b"%b: %b\r\n" % (name, value))
        if has_body and not has_length:
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def chunked(self) -> bool:
        """Return whether a body must be sent chunked, as its length is not stated."""
        return find_header(self.headers, b"content-length") is None


class RequestBody:
    """Body of one request; can be replayed while it fits into the replay buffer."""

    __slots__ = (
        "_buffered_chunks",
        "_buffered_bytes",
        "_finished",
        "_overflowed",
        "_receive",
    )

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._buffered_chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._finished = anyio.Event()
        # True once the body has outgrown the replay buffer.
        self._overflowed = False

    @property
    def finished(self) -> bool:
        """True once the client has sent the whole body."""
        return self._finished.is_set()

    @property
    def replayable(self) -> bool:
        """True while the body can be sent again from its start."""
        return not self._overflowed

    async def read_first_chunk(self) -> None:
        """Read the first chunk, so that a short body is buffered completely."""
        if self._buffered_chunks or self.finished:
            return
        chunk = await self._read()
        if self._overflowed:
            # Buffered although it is too large, as the first attempt has to send it.
            self._buffered_chunks.append(chunk)

    def buffered(self) -> bytes:
        """Return the buffered part of the body."""
        return b"".join(self._buffered_chunks)

    async def iter_remaining(self) -> AsyncIterator[bytes]:
        """Yield the chunks after the buffered part, as they arrive."""
        while not self.finished:
            chunk = await self._read()
            if chunk:
                yield chunk

    async def wait_disconnected(self) -> None:
        """Wait until the client has sent the whole body and closed its connection."""
        await self._finished.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _read(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        chunk: bytes = message.get("body", b"")
        if not message.get("more_body", False):
            self._finished.set()
        self._append_to_buffer(chunk)
        return chunk

    def _append_to_buffer(self, chunk: bytes) -> None:
        if self._overflowed or not chunk:
            return
        if self._buffered_bytes + len(chunk) > defaults.REPLAY_BUFFER_BYTES:
            self._overflowed = True
            return
        self._buffered_chunks.append(chunk)
        self._buffered_bytes += len(chunk)
