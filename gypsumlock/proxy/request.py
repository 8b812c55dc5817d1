"""A request on its way through the node: its head and its body.

The body streams. Its begin is kept, so that a call can be sent again as long
as no more than `REPLAY_BUFFER_BYTES` were read.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import anyio

from gypsumlock import defaults
from gypsumlock.proxy.headers import Headers, find_header, forwardable

__all__ = [
    "ClientDisconnected",
    "Receive",
    "RequestBody",
    "RequestHead",
    "Scope",
    "Send",
]

# Types of ASGI, which leaves messages to dictionaries.
Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class ClientDisconnected(Exception):
    """The client closed its connection before the answer was complete."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    host: str
    path: str
    # Path and query as the client sent them.
    target: bytes
    headers: Headers

    @staticmethod
    def from_scope(scope: Scope) -> RequestHead:
        """Read the head from an ASGI scope."""
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

    def encode(self, extra: Headers, has_body: bool) -> bytes:
        """Return the bytes of the head for the next connection.

        Parameters
        ----------
        extra : Headers
            Headers that this node adds.
        has_body : bool
            True when body bytes follow. Without a length they go in chunks.
        """
        lines = [b"%b %b HTTP/1.1\r\n" % (self.method.encode(), self.target)]
        sized = False
        for name, value in forwardable(self.headers):
            sized = sized or name == b"content-length"
            lines.append(b"%b: %b\r\n" % (name, value))
        for name, value in extra:
            lines.append(b"%b: %b\r\n" % (name, value))
        if has_body and not sized:
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def chunked(self) -> bool:
        """Tell whether the body has no stated length."""
        return find_header(self.headers, b"content-length") is None


class RequestBody:
    """The body of one request, readable again from its begin while it is short."""

    __slots__ = ("_finished", "_kept", "_kept_bytes", "_overflowed", "_receive")

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._finished = anyio.Event()
        # True once bytes were read that are not kept.
        self._overflowed = False

    @property
    def finished(self) -> bool:
        """True once the client has sent everything."""
        return self._finished.is_set()

    @property
    def replayable(self) -> bool:
        """True while the body can be sent again from its begin."""
        return not self._overflowed

    async def read_first_chunk(self) -> None:
        """Read the first part, so that short bodies are known whole."""
        if self._kept or self.finished:
            return
        chunk = await self._read()
        if self._overflowed:
            # Kept nevertheless: it must be sent at least once.
            self._kept.append(chunk)

    def kept(self) -> bytes:
        """Return the part of the body that was read so far."""
        return b"".join(self._kept)

    async def iter_remaining(self) -> AsyncIterator[bytes]:
        """Yield what follows the kept part, as it arrives."""
        while not self.finished:
            chunk = await self._read()
            if chunk:
                yield chunk

    async def wait_disconnected(self) -> None:
        """Return once the client, having sent all, has closed its connection."""
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
        self._keep(chunk)
        return chunk

    def _keep(self, chunk: bytes) -> None:
        if self._overflowed or not chunk:
            return
        if self._kept_bytes + len(chunk) > defaults.REPLAY_BUFFER_BYTES:
            self._overflowed = True
            return
        self._kept.append(chunk)
        self._kept_bytes += len(chunk)
