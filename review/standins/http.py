"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

__all__ = ["Message", "Responder", "encode_message", "read_message", "serve"]


@dataclass(slots=True)
class Message:
    """A request or a response."""

    # Request line or status line.
    start_line: str
    # Names are in lower case.
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start_line.split(" ")[1])


Responder = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def encode_message(
    start_line: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message that has a length; raise if the stream ends before its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


async def serve(address: str, respond: Responder) -> asyncio.Server:
    """Serve requests on an address, one at a time on each connection."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while not writer.is_closing():
                await respond(await read_message(reader), writer)
                await writer.drain()
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handle, host, int(port))
