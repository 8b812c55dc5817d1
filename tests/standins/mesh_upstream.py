"""Stand-in upstream whose responses a test can script."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Behaviour", "MeshUpstream", "ReceivedCall"]

HEALTH_TARGET = b"/healthz"


@dataclass(slots=True)
class ReceivedCall:
    """A call as the upstream received it."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    # True once its connection was closed before it was answered.
    abandoned: bool = False


Behaviour = Callable[
    ["MeshUpstream", ReceivedCall, asyncio.StreamWriter], Awaitable[None]
]


@dataclass(slots=True)
class MeshUpstream:
    """HTTP server that records calls and answers them as scripted."""

    instance: str = "i-1"
    delay_s: float = 0.0
    calls: list[ReceivedCall] = field(default_factory=list)
    # How to handle the next calls, in order; calls after that are answered with 200.
    script: deque[Behaviour] = field(default_factory=deque)
    address: str = ""
    running: int = 0
    max_running: int = 0
    connections: int = 0
    # Idle time after which the next request resets the connection.
    reset_after_idle_s: float = float("inf")
    _server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on an address; by default on a free port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop(self) -> None:
        """Stop listening; further connections are refused."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        loop = asyncio.get_running_loop()
        idle_since_s = loop.time()
        try:
            while (call := await _read_call(reader)) is not None:
                if loop.time() - idle_since_s > self.reset_after_idle_s:
                    writer.transport.abort()
                    break
                if call.target == HEALTH_TARGET:
                    writer.write(_encode_health(self.instance))
                    continue
                await self._answer(call, reader, writer)
                idle_since_s = loop.time()
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.calls.append(call)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        behaviour = self.script.popleft() if self.script else answer_ok
        handling = asyncio.ensure_future(behaviour(self, call, writer))
        disconnect = asyncio.create_task(_wait_for_disconnect(reader))
        try:
            await asyncio.wait(
                {handling, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                call.abandoned = True
                handling.cancel()
        finally:
            disconnect.cancel()
            self.running -= 1


def _encode_health(instance: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nInstance-Id: %b\r\nContent-Length: 0\r\n\r\n"
        % instance.encode()
    )


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


async def _read_call(reader: asyncio.StreamReader) -> ReceivedCall | None:
    head = await reader.readuntil(b"\r\n\r\n")
    request_line, *lines = head[:-4].split(b"\r\n")
    method, target, _ = request_line.split(b" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    length = int(headers.get(b"content-length", b"0"))
    return ReceivedCall(method, target, headers, await reader.readexactly(length))


def encode_response(
    call: ReceivedCall,
    status: int = 200,
    body: bytes = b"answer",
    extra_headers: bytes = b"",
    request_id: bytes | None = None,
) -> bytes:
    """Return the bytes of a response to a call."""
    name = call.headers.get(b"request-id", b"") if request_id is None else request_id
    return (
        b"HTTP/1.1 %d Status\r\nRequest-Id: %b\r\nServer-Seal: seal-%b\r\n"
        b"Content-Length: %d\r\n%b\r\n%b"
        % (status, name, name, len(body), extra_headers, body)
    )


async def answer_ok(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer with 200 after the delay of the upstream."""
    await asyncio.sleep(upstream.delay_s)
    writer.write(encode_response(call, body=b"to " + call.headers[b"request-id"]))


async def answer_error(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Execute the call and answer with 500."""
    writer.write(encode_response(call, status=500, body=b"error"))


async def reject_unexecuted(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Reject the call without executing it."""
    writer.write(encode_response(call, 503, b"", b"Not-Executed: 1\r\n"))


async def reset_connection(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Execute the call and close the connection without a response."""
    writer.transport.abort()


async def truncate_response(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of the body."""
    writer.write(encode_response(call, body=b"x" * 1000)[:-500])
    writer.close()


def answer_with(body: bytes) -> Behaviour:
    """Return a behaviour that responds with a body."""

    async def respond(
        upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode_response(call, body=body))

    return respond


async def answer_with_garbage(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer with bytes that are not HTTP."""
    writer.write(b"\x00\x01 this is no answer\r\n\r\n")


async def answer_twice(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Send two responses to one call."""
    writer.write(encode_response(call) + encode_response(call, body=b"second"))


async def answer_another_call_first(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Send a response with the identifier of another call, then the right one."""
    writer.write(encode_response(call, body=b"not yours", request_id=b"other"))
    await asyncio.sleep(0.02)
    writer.write(encode_response(call, body=b"yours"))


async def answer_without_length(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Send a response without a length, which ends when the connection closes."""
    name = call.headers[b"request-id"]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Seal: s\r\n\r\nopen end" % name
    )
    writer.close()


async def reset_response_without_length(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Start a response without a length, then reset the connection."""
    name = call.headers[b"request-id"]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Seal: s\r\n\r\nopen " % name
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
