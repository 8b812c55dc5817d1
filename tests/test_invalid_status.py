"""Responses whose status is none: an upstream that fails sends such status lines.

Only 200 to 599 is a final response, and 100 to 199 an interim one. After anything else
the outcome of the call is unknown, and the connection is closed at once.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from gypsumlock.mesh.caller_protocol import CallerProtocol, PendingCall
from gypsumlock.mesh.frames import _ENCODER, _LENGTH
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import Answer, Failure, OwnerLoad
from gypsumlock.proxy.exchange import AttemptResult, AttemptState, exchange_call
from gypsumlock.proxy.pool import Http1ConnectionPool
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import ResultCode
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import MeshUpstream, ReceivedCall
from tests.test_memory_bounds import RecordingTransport, _IgnoringListener

INVALID_STATUSES = (b"000", b"001", b"099", b"600", b"999")
TIMEOUT_S = 3.0
# Well before the deadline, until which such a call was held.
AT_ONCE_S = 1.0


def raw_response(status: bytes, request_id: bytes = b"") -> bytes:
    """Return a response that is sound but for its status."""
    return (
        b"HTTP/1.1 %b Status\r\nRequest-Id: %b\r\nServer-Seal: s\r\n"
        b"Content-Length: 2\r\n\r\nok" % (status, request_id)
    )


class TestStatusOfUpstream(unittest.IsolatedAsyncioTestCase):
    """Two instances; the one that is called first sends the response."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=TIMEOUT_S))
        self.hosts = [await self.fleet.add(name) for name in ("n-1", "n-2")]
        await self.fleet.wait_until_ready()
        self.hosts[1].upstream.script = self.hosts[0].upstream.script
        self.calls: list[ReceivedCall] = []

    async def send_call(self, status: bytes, path: str, method: str) -> int:
        """Return what the client gets; check that it comes at once."""

        async def answer(
            upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
        ) -> None:
            self.calls.append(call)
            writer.write(raw_response(status, call.headers[b"request-id"]))
            # The upstream leaves its connection open.
            await asyncio.sleep(2 * TIMEOUT_S)

        self.hosts[0].upstream.script.append(answer)
        response = await self.fleet.call(
            self.hosts[0], path, method, b"b" if method == "POST" else b""
        )
        self.assertLess(response.took_s, AT_ONCE_S)
        await asyncio.sleep(0.1)
        self.assertTrue(self.calls[-1].abandoned)
        return response.status

    async def test_call_that_may_be_repeated_is_sent_elsewhere(self) -> None:
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self.assertEqual(await self.send_call(status, "/search/x", "GET"), 200)

    async def test_outcome_of_another_call_is_unknown(self) -> None:
        for status in INVALID_STATUSES:
            with self.subTest(status):
                received = sum(len(host.upstream.calls) for host in self.hosts)
                self.assertEqual(await self.send_call(status, "/book/x", "POST"), 502)
                now_received = sum(len(host.upstream.calls) for host in self.hosts)
                self.assertEqual(now_received, received + 1)

    async def test_statuses_at_the_ends_of_the_range_are_passed_on(self) -> None:
        for status in (299, 400, 599):
            with self.subTest(status):
                raw = raw_response(b"%d" % status, b"{id}")

                async def answer(
                    upstream: MeshUpstream,
                    call: ReceivedCall,
                    writer: asyncio.StreamWriter,
                    raw: bytes = raw,
                ) -> None:
                    writer.write(raw.replace(b"{id}", call.headers[b"request-id"]))

                self.hosts[0].upstream.script.append(answer)
                response = await self.fleet.call(self.hosts[0], "/book/x", "POST", b"b")
                self.assertEqual(response.status, status)


class TestStatusBetweenNodes(unittest.IsolatedAsyncioTestCase):
    """An answer of another node, perhaps of an older version."""

    async def test_outcome_of_a_call_with_an_invalid_status_is_unknown(self) -> None:
        for status in (0, 99, 100, 199, 600, 999):
            protocol = CallerProtocol(_IgnoringListener(), LinkMeter(0.0))
            protocol.connection_made(RecordingTransport())
            future = protocol.loop.create_future()
            protocol.pending[1] = PendingCall(future, False, lambda: False)
            data = _ENCODER.encode(Answer(1, status, [], b"", OwnerLoad()))
            protocol.data_received(_LENGTH.pack(len(data)) + data)
            with self.subTest(status):
                self.assertTrue(future.done())
                outcome = future.result()
                self.assertIsInstance(outcome, Failure)
                self.assertIs(outcome.code, ResultCode.CALL_UNKNOWN_OUTCOME)


class TestStatusAtDaemon(unittest.IsolatedAsyncioTestCase):
    """The client of `gypsumlockd`, which streams responses."""

    async def asyncSetUp(self) -> None:
        self.raw = b""
        self.closed = asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.pool = Http1ConnectionPool()
        self.sent: list[dict[str, Any]] = []

    async def asyncTearDown(self) -> None:
        self.pool.close()
        # Lets the handlers of the server see that their connections are closed.
        await asyncio.sleep(0.05)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, and leave the connection open."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.raw)
        try:
            while await reader.read(1000):
                pass
        except ConnectionError:
            pass
        self.closed.set()
        writer.close()

    async def exchange(self, raw: bytes) -> AttemptResult:
        """Send a call, and answer it with given bytes."""

        async def send(message: dict[str, Any]) -> None:
            self.sent.append(message)

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": b"", "more_body": False}

        self.raw = raw
        self.closed.clear()
        body = RequestBody(receive)
        await body.read_first_chunk()
        head = RequestHead("POST", "mesh", "/x", b"/x", [(b"content-length", b"0")])
        connection = (await self.pool.acquire(self.address, 4)).unwrap()
        try:
            async with asyncio.timeout(AT_ONCE_S):
                return await exchange_call(
                    connection, head, body, [], Responder(send, False), False
                )
        finally:
            self.pool.release(self.address, connection)

    async def test_outcome_of_a_call_with_an_invalid_status_is_unknown(self) -> None:
        for status in INVALID_STATUSES:
            with self.subTest(status):
                result = await self.exchange(raw_response(status))
                self.assertIs(result.state, AttemptState.UNKNOWN)
                self.assertEqual(self.sent, [])
                async with asyncio.timeout(AT_ONCE_S):
                    await self.closed.wait()

    # Only the deadline of the call ended what was read of a head.
    async def test_head_without_end_is_cut_off(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 1_000_000
        result = await self.exchange(head)
        self.assertIs(result.state, AttemptState.UNKNOWN)
        async with asyncio.timeout(AT_ONCE_S):
            await self.closed.wait()
