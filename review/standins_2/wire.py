"""HTTP/1.1 messages, read and written with the standard library alone."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "call", "encode_response", "read_message", "split_address"]

REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


@dataclass(slots=True)
class Message:
    """A request or a response."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at a clean end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start, headers, body)


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send one request on a new connection; return None if no answer comes."""
    fields = {"Host": address, **(headers or {}), "Connection": "close"}
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
