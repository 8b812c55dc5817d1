"""An upstream of a mesh node that answers as a test tells it to."""

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
    """One call as it arrived."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    # True once its connection was closed before the answer.
    abandoned: bool = False


Behaviour = Callable[
    ["MeshUpstream", ReceivedCall, asyncio.StreamWriter], Awaitable[None]
]


@dataclass(slots=True)
class MeshUpstream:
    """Listens on a port of its own."""

    instance: str = "i-1"
    delay_s: float = 0.0
    calls: list[ReceivedCall] = field(default_factory=list)
    # Behaviour of the next calls, in order; then the usual one.
    script: deque[Behaviour] = field(default_factory=deque)
    address: str = ""
    running: int = 0
    most_running: int = 0
    connections: int = 0
    # Idle time after which a connection is forgotten: what comes next is reset.
    forget_after_s: float = float("inf")
    _server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"

    def stop(self) -> None:
        """Refuse further connections."""
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
                if loop.time() - idle_since_s > self.forget_after_s:
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
        self.most_running = max(self.most_running, self.running)
        behaviour = self.script.popleft() if self.script else answer_usual
        work = asyncio.ensure_future(behaviour(self, call, writer))
        gone = asyncio.create_task(_wait_gone(reader))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                call.abandoned = True
                work.cancel()
        finally:
            gone.cancel()
            self.running -= 1


def _encode_health(instance: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nInstance-Id: %b\r\nContent-Length: 0\r\n\r\n"
        % instance.encode()
    )


async def _wait_gone(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


async def _read_call(reader: asyncio.StreamReader) -> ReceivedCall | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    method, target, _ = first.split(b" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    length = int(headers.get(b"content-length", b"0"))
    return ReceivedCall(method, target, headers, await reader.readexactly(length))


def encode_answer(
    call: ReceivedCall,
    status: int = 200,
    body: bytes = b"answer",
    extra: bytes = b"",
    request_id: bytes | None = None,
) -> bytes:
    """Return the bytes of an answer to a call."""
    name = call.headers.get(b"request-id", b"") if request_id is None else request_id
    return (
        b"HTTP/1.1 %d Status\r\nRequest-Id: %b\r\nServer-Seal: seal-%b\r\n"
        b"Content-Length: %d\r\n%b\r\n%b" % (status, name, name, len(body), extra, body)
    )


async def answer_usual(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer with 200 after the usual delay."""
    await asyncio.sleep(upstream.delay_s)
    writer.write(encode_answer(call, body=b"to " + call.headers[b"request-id"]))


async def answer_error(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Run the call and fail it."""
    writer.write(encode_answer(call, status=500, body=b"error"))


async def reject_unexecuted(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Reject the call without running it."""
    writer.write(encode_answer(call, 503, b"", b"Not-Executed: 1\r\n"))


async def reset_connection(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Run the call and lose the answer."""
    writer.transport.abort()


async def truncate_answer(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Break the answer off within its body."""
    writer.write(encode_answer(call, body=b"x" * 1000)[:-500])
    writer.close()


async def answer_with_garbage(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer with what is not HTTP."""
    writer.write(b"\x00\x01 this is no answer\r\n\r\n")


async def answer_twice(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer, and add a second answer at once."""
    writer.write(encode_answer(call) + encode_answer(call, body=b"second"))


async def answer_late_extra(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer another call first, then this one."""
    writer.write(encode_answer(call, body=b"not yours", request_id=b"other"))
    await asyncio.sleep(0.02)
    writer.write(encode_answer(call, body=b"yours"))


async def answer_until_close(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Answer without a length; the end of the connection ends it."""
    name = call.headers[b"request-id"]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Seal: s\r\n\r\nopen end" % name
    )
    writer.close()


async def reset_until_close(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Begin an answer without a length, then reset the connection."""
    name = call.headers[b"request-id"]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Seal: s\r\n\r\nopen " % name
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
