"""Pooled connections that the peer closes before or while a call is sent."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from gypsumlock.proxy.exchange import AttemptResult, AttemptState, exchange_call
from gypsumlock.proxy.pool import Http1ConnectionPool
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import ResultCode

CONNECTION_LIMIT = 4
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST_HEAD = RequestHead("POST", "mesh", "/x", b"/x", [(b"content-length", b"0")])


class ClosingPeer:
    """Responds to the first request of a connection, and closes it at the second."""

    def __init__(self) -> None:
        self.requests = 0
        self.connections: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return
        self.requests += 1
        writer.write(RESPONSE)
        if await reader.read(1):
            # The next request was sent; the client can't know whether it ran.
            self.requests += 1
            writer.transport.abort()


class TestClosedConnections(unittest.IsolatedAsyncioTestCase):
    """Reported state of a call whose connection was closed."""

    async def asyncSetUp(self) -> None:
        self.peer = ClosingPeer()
        self.server = await asyncio.start_server(self.peer.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = Http1ConnectionPool()

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()
        # Lets the peer's handlers see that their connections are closed.
        await asyncio.sleep(0.02)

    async def send_call(self) -> AttemptResult:
        async def send(message: dict[str, Any]) -> None:
            """Discard the response."""

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": b"", "more_body": False}

        body = RequestBody(receive)
        await body.read_first_chunk()
        connection = (await self.pool.acquire(self.address, CONNECTION_LIMIT)).unwrap()
        try:
            return await exchange_call(
                connection,
                REQUEST_HEAD,
                body,
                [],
                Responder(send, close_after=False),
                True,
            )
        finally:
            self.pool.release(self.address, connection)

    async def test_close_during_a_call_leaves_its_outcome_unknown(self) -> None:
        self.assertIs((await self.send_call()).state, AttemptState.ANSWERED)
        result = await self.send_call()
        self.assertIs(result.state, AttemptState.UNKNOWN)
        assert result.fault is not None
        self.assertIs(result.fault.code, ResultCode.CALL_UNKNOWN_OUTCOME)
        self.assertEqual((self.peer.requests, len(self.peer.connections)), (2, 1))

    async def test_connection_closed_before_a_call_is_replaced(self) -> None:
        await self.send_call()
        self.peer.connections[0].close()
        await asyncio.sleep(0.05)
        self.assertIs((await self.send_call()).state, AttemptState.ANSWERED)
        self.assertEqual(len(self.peer.connections), 2)

    async def test_number_of_connections_is_limited(self) -> None:
        acquired = [await self.pool.acquire(self.address, 1)]
        refused = await self.pool.acquire(self.address, 1)
        self.assertIs(refused.unwrap_err().code, ResultCode.CALL_OVERLOADED)
        self.pool.release(self.address, acquired[0].unwrap())
        again = await self.pool.acquire(self.address, 1)
        self.assertTrue(again.is_ok())
        self.pool.release(self.address, again.unwrap())
