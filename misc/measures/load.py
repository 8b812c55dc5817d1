"""Open-loop load generator: sends calls at a steady rate, whatever the responses."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from result import Err

from gypsumlock.proxy.connection import ConnectionLost, ResponseHead
from gypsumlock.proxy.headers import Headers
from gypsumlock.proxy.pool import Http1ConnectionPool

__all__ = ["Call", "CallStream", "LoadClient"]

MAX_CONNECTIONS = 512
CALL_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class CallStream:
    """Calls to one path of one address at a steady rate."""

    name: str
    address: str
    path: str
    rate_per_s: float
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class Call:
    """One finished call."""

    stream: str
    # Monotonic time at which the call was due to be sent. The latency is counted from
    # here, so that it includes any delay of a slow sender.
    due_at_s: float
    latency_s: float
    # HTTP status; 0 if there was no response.
    status: int


class LoadClient:
    """Sends streams of calls over persistent connections."""

    def __init__(self) -> None:
        self._pool = Http1ConnectionPool()
        self.calls: list[Call] = []

    async def run(self, streams: list[CallStream], duration_s: float) -> None:
        """Run all streams concurrently for a time and wait for the last responses."""
        async with asyncio.TaskGroup() as tasks:
            for stream in streams:
                tasks.create_task(self._run_stream(stream, duration_s))

    async def send(self, stream: CallStream, due_at_s: float) -> Call:
        """Send one call and return its result."""
        status = 0
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = (await self._exchange(stream)).status
        except (ConnectionLost, TimeoutError):
            pass
        return Call(stream.name, due_at_s, time.monotonic() - due_at_s, status)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _run_stream(self, stream: CallStream, duration_s: float) -> None:
        count = int(stream.rate_per_s * duration_s)
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for index in range(count):
                due_at_s = start_s + index / stream.rate_per_s
                await asyncio.sleep(max(0.0, due_at_s - time.monotonic()))
                tasks.create_task(self._send_and_record(stream, due_at_s))

    async def _send_and_record(self, stream: CallStream, due_at_s: float) -> None:
        self.calls.append(await self.send(stream, due_at_s))

    async def _exchange(self, stream: CallStream) -> ResponseHead:
        acquired = await self._pool.acquire(stream.address, MAX_CONNECTIONS)
        if isinstance(acquired, Err):
            raise ConnectionLost(acquired.err_value.detail)
        connection = acquired.ok_value
        try:
            connection.begin_request("GET")
            await connection.send(_encode_request(stream))
            head = await connection.read_head()
            while await connection.read_body():
                pass
            return head
        finally:
            self._pool.release(stream.address, connection)


def _encode_request(stream: CallStream) -> bytes:
    headers: Headers = [(b"host", b"mesh"), *stream.headers]
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    return b"GET %b HTTP/1.1\r\n%b\r\n" % (stream.path.encode(), lines)
