"""Memory that received messages take, whatever the parts that they arrive in."""

from __future__ import annotations

import asyncio
import tracemalloc
import unittest
import zlib
from collections.abc import Callable

from gypsumlock.mesh.caller_protocol import (
    CallerProtocol,
    PendingCall,
    ProtocolListener,
)
from gypsumlock.mesh.feed_messages import ConfigSnapshot, unpack_config
from gypsumlock.mesh.frames import AnswerChunk
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import CallServer, HttpHandler, ServerConnection
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.model import OwnerLoad
from gypsumlock.mesh.upstream_connection import UpstreamConnection
from gypsumlock.mesh.upstream_response import ExchangeFailed

BODY_BYTES = 1_000_000
# A body takes its bytes in the buffer that grows, and once more where it is handed on.
MAX_BODY_MEMORY_BYTES = 2.5 * BODY_BYTES
# Memory of everything else, such as the data that is being parsed.
OTHER_MEMORY_BYTES = 500_000
TINY_CHUNK = b"2\r\nxx\r\n"
READ_BYTES = 65_536


class RecordingTransport(asyncio.Transport):
    """Accepts what is written, and notes that it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False
        self.written = bytearray()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep the data."""
        self.written += data

    def get_write_buffer_size(self) -> int:
        """Return 0: everything was sent."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closed

    def close(self) -> None:
        """Note the close."""
        self.closed = True

    def abort(self) -> None:
        """Note the close."""
        self.closed = True


def peak_memory_bytes(action: Callable[[], None]) -> int:
    """Return the most memory that Python objects take while an action runs."""
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def feed(protocol: asyncio.Protocol, block: bytes, count: int) -> None:
    """Pass copies of a block to a protocol, in reads as a socket returns them."""
    per_read = max(1, READ_BYTES // len(block))
    for start in range(0, count, per_read):
        protocol.data_received(block * min(per_read, count - start))


class TestReceivedResponse(unittest.IsolatedAsyncioTestCase):
    """A response that an upstream sends in parts."""

    async def asyncSetUp(self) -> None:
        self.connection = UpstreamConnection(b"request-id", ByteBudget())
        self.transport = RecordingTransport()
        self.connection.connection_made(self.transport)
        self.exchange = asyncio.create_task(
            self.connection.exchange(b"GET", b"a", b"GET / HTTP/1.1\r\n\r\n")
        )
        await asyncio.sleep(0)

    async def asyncTearDown(self) -> None:
        self.exchange.cancel()
        await asyncio.gather(self.exchange, return_exceptions=True)

    # An endless answer in chunks of two bytes took its node over the memory limit.
    async def test_tiny_chunks_take_no_more_memory_than_their_bytes(self) -> None:
        self.connection.data_received(
            b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        )

        def receive() -> None:
            feed(self.connection, TINY_CHUNK, BODY_BYTES // 2)
            self.connection.data_received(b"0\r\n\r\n")

        peak_bytes = peak_memory_bytes(receive)
        self.assertEqual(len((await self.exchange).body), BODY_BYTES)
        self.assertLess(peak_bytes, MAX_BODY_MEMORY_BYTES + OTHER_MEMORY_BYTES)

    async def test_tiny_headers_take_bounded_memory(self) -> None:
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n")
        peak_bytes = peak_memory_bytes(
            lambda: feed(self.connection, b"a:\r\n", BODY_BYTES)
        )
        self.assertTrue(self.transport.closed)
        self.assertLess(peak_bytes, OTHER_MEMORY_BYTES)

    async def test_body_of_another_call_allows_no_longer_head(self) -> None:
        body = b"x" * BODY_BYTES
        self.connection.data_received(
            b"HTTP/1.1 200 OK\r\nrequest-id: b\r\ncontent-length: %d\r\n\r\n"
            % len(body)
        )
        self.connection.data_received(body)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\nx-a: ")
        peak_bytes = peak_memory_bytes(
            lambda: feed(self.connection, b"x" * 1000, 5 * BODY_BYTES // 1000)
        )
        self.assertTrue(self.transport.closed)
        with self.assertRaises(ExchangeFailed):
            await self.exchange
        self.assertLess(peak_bytes, OTHER_MEMORY_BYTES)


class _SilentHandler(HttpHandler):
    """Answers no request."""

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Keep the size of the body, and wait until the connection is closed."""
        self.body_bytes = len(request.body)
        await asyncio.Event().wait()


class TestReceivedRequest(unittest.IsolatedAsyncioTestCase):
    """A request that a client sends in parts."""

    async def test_tiny_chunks_take_no_more_memory_than_their_bytes(self) -> None:
        handler = _SilentHandler()
        connection = ServerConnection(CallServer(handler))
        connection.connection_made(RecordingTransport())
        connection.data_received(
            b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        )

        def receive() -> None:
            feed(connection, TINY_CHUNK, BODY_BYTES // 2)
            connection.data_received(b"0\r\n\r\n")

        peak_bytes = peak_memory_bytes(receive)
        await asyncio.sleep(0)
        connection.connection_lost(None)
        self.assertEqual(handler.body_bytes, BODY_BYTES)
        self.assertLess(peak_bytes, MAX_BODY_MEMORY_BYTES + OTHER_MEMORY_BYTES)


class _IgnoringListener(ProtocolListener):
    """Ignores what concerns the other node."""

    def next_number(self) -> int:
        return 1

    def store_load_report(self, load: OwnerLoad) -> None:
        pass

    def forget_protocol(self, protocol: CallerProtocol) -> None:
        pass


class TestReceivedAnswer(unittest.IsolatedAsyncioTestCase):
    """An answer that another node sends in parts."""

    async def test_tiny_parts_take_no_more_memory_than_their_bytes(self) -> None:
        protocol = CallerProtocol(_IgnoringListener(), LinkMeter(0.0))
        future = asyncio.get_running_loop().create_future()
        protocol.pending[1] = PendingCall(future, True, lambda: False)

        def receive() -> None:
            for _ in range(BODY_BYTES // 2):
                protocol.handle_message(AnswerChunk(1, bytes(2)))

        peak_bytes = peak_memory_bytes(receive)
        self.assertLess(peak_bytes, MAX_BODY_MEMORY_BYTES)


class TestReceivedConfig(unittest.TestCase):
    """A configuration version that another node sends."""

    def test_small_message_does_not_grow_without_bound(self) -> None:
        data = zlib.compress(bytes(400 * BODY_BYTES))
        peak_bytes = peak_memory_bytes(lambda: self._unpack(data))
        self.assertLess(peak_bytes, 100 * BODY_BYTES)

    def _unpack(self, data: bytes) -> None:
        self.assertIsNone(unpack_config(ConfigSnapshot(data)))
