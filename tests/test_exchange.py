"""Kept connections that the peer closes, at every moment around a call."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from gypsumlock.proxy.exchange import AttemptResult, AttemptState, exchange_call
from gypsumlock.proxy.pool import Http1ConnectionPool
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import ResultCode

LIMIT = 4
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
HEAD = RequestHead("POST", "mesh", "/x", b"/x", [(b"content-length", b"0")])


class ClosingPeer:
    """Answers the first request of a connection, and closes at the second."""

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
        writer.write(ANSWER)
        if await reader.read(1):
            # The next call is on its way: what the peer did with it, if
            # anything, nobody can tell.
            self.requests += 1
            writer.transport.abort()


class TestClosedConnections(unittest.IsolatedAsyncioTestCase):
    """What is claimed about a call whose connection was closed."""

    async def asyncSetUp(self) -> None:
        self.peer = ClosingPeer()
        self.server = await asyncio.start_server(self.peer.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = Http1ConnectionPool()

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()
        # Lets the peer's handlers see the end of their connections.
        await asyncio.sleep(0.02)

    async def call(self) -> AttemptResult:
        async def send(message: dict[str, Any]) -> None:
            """Take the answer."""

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": b"", "more_body": False}

        body = RequestBody(receive)
        await body.read_first_chunk()
        connection = (await self.pool.acquire(self.address, LIMIT)).unwrap()
        try:
            return await exchange_call(
                connection, HEAD, body, [], Responder(send, close_after=False), True
            )
        finally:
            self.pool.release(self.address, connection)

    async def test_closed_as_the_call_is_sent_is_unknown(self) -> None:
        self.assertIs((await self.call()).state, AttemptState.ANSWERED)
        result = await self.call()
        self.assertIs(result.state, AttemptState.UNKNOWN)
        assert result.fault is not None
        self.assertIs(result.fault.code, ResultCode.CALL_UNKNOWN_OUTCOME)
        self.assertEqual((self.peer.requests, len(self.peer.connections)), (2, 1))

    async def test_closed_before_the_call_is_replaced(self) -> None:
        await self.call()
        self.peer.connections[0].close()
        await asyncio.sleep(0.05)
        self.assertIs((await self.call()).state, AttemptState.ANSWERED)
        self.assertEqual(len(self.peer.connections), 2)

    async def test_connections_are_bounded(self) -> None:
        taken = [await self.pool.acquire(self.address, 1)]
        refused = await self.pool.acquire(self.address, 1)
        self.assertIs(refused.unwrap_err().code, ResultCode.CALL_OVERLOADED)
        self.pool.release(self.address, taken[0].unwrap())
        again = await self.pool.acquire(self.address, 1)
        self.assertTrue(again.is_ok())
        self.pool.release(self.address, again.unwrap())
