"""Memory that complete bodies take while they wait, and what is refused meanwhile."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gypsumlock.mesh.frames import Cancel
from gypsumlock.mesh.memory_account import ByteBudget, MemoryAccount
from gypsumlock.mesh.model import ClientLimits
from gypsumlock.mesh.peer_server import InboundConnection
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config
from tests.standins.mesh_upstream import answer_with
from tests.test_field_checks import make_messages
from tests.test_memory_bounds import RecordingTransport

MEMORY_MB = 128.0
MEGABYTE = 1_000_000
MAX_BODY_BYTES = 64 * MEGABYTE
# Some seconds for a response of a megabyte.
LINK_MBPS = 4.0


class TestMemoryAccount(unittest.TestCase):
    """Limits of each kind of body, and of all together."""

    def setUp(self) -> None:
        self.account = MemoryAccount(MEMORY_MB)

    def test_requests_and_responses_leave_room_for_new_calls(self) -> None:
        for budget in (self.account.requests, self.account.responses):
            self.assertTrue(budget.reserve(budget.max_bytes))
            self.assertFalse(budget.reserve(1))
        self.assertFalse(self.account.is_high())

    def test_answers_are_held_in_any_case(self) -> None:
        self.account.answers.hold(2 * self.account.max_bytes)
        self.assertTrue(self.account.is_high())
        self.assertFalse(self.account.requests.reserve(1))
        self.assertFalse(self.account.responses.reserve(1))
        self.account.answers.release(2 * self.account.max_bytes)
        self.assertFalse(self.account.is_high())
        self.assertTrue(self.account.requests.reserve(1))

    def test_account_fits_the_machine_twice(self) -> None:
        # A body is copied once while it is handed on.
        for memory_mb in (MEMORY_MB, 150.0, 552.0):
            held_bytes = MemoryAccount(memory_mb).max_bytes
            self.assertLess(2 * held_bytes, 0.7 * memory_mb * MEGABYTE)

    def test_budget_without_account_has_its_own_limit_only(self) -> None:
        budget = ByteBudget(10)
        self.assertTrue(budget.reserve(10))
        self.assertFalse(budget.reserve(1))


class HeldMemoryTestCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes on machines with little memory; clients may send large bodies."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        limits = ClientLimits(16_384, MAX_BODY_BYTES, 3.0, 15.0)
        config = make_config(timeout_s=8.0, target_latency_s=7.0)
        self.fleet.configure(replace(config, limits=limits))
        self.near = await self.add("n-1", slots=0)
        self.far = await self.add("n-2", slots=20)
        await self.fleet.wait_until_ready(upstreams=1)

    async def add(self, name: str, slots: int) -> MeshHost:
        """Start a host."""
        return await self.fleet.add(
            name, slots=slots, link_mbps=LINK_MBPS, memory_mb=MEMORY_MB
        )

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client."""
        host, _, port = self.near.addresses.calls.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def check_nothing_is_held(self) -> None:
        """Check that all bodies were returned to the accounts."""
        await asyncio.sleep(0.2)
        for host in (self.near, self.far):
            self.assertEqual(host.node.state.memory.used_bytes, 0)


class TestLargeRequests(HeldMemoryTestCase):
    """Bodies of clients that the node can't hold."""

    # A body within the limits of the configuration took the node over its memory.
    async def test_body_beyond_the_memory_is_refused_at_its_head(self) -> None:
        reader, writer = await self.connect()
        writer.write(
            b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n"
            b"Content-Length: 60000000\r\n\r\n"
        )
        async with asyncio.timeout(0.5):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 503 ", head)
        self.assertIn(b"retry-after: ", head)
        await self.check_nothing_is_held()

    async def test_body_of_unknown_length_is_refused_once_it_is_too_large(self) -> None:
        reader, writer = await self.connect()
        writer.write(
            b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        memory = self.near.node.state.memory
        with self.assertRaises(ConnectionError):
            for _ in range(60):
                writer.write(b"f4240\r\n" + bytes(MEGABYTE) + b"\r\n")
                await writer.drain()
                self.assertLessEqual(memory.used_bytes, memory.requests.max_bytes)
                await asyncio.sleep(0.005)
        self.assertEqual(self.far.upstream.calls, [])
        await self.check_nothing_is_held()

    async def test_pipelined_bodies_share_the_limit(self) -> None:
        self.far.upstream.delay_s = 2.0
        _, writer = await self.connect()
        head = (
            b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n"
            b"Content-Length: 3000000\r\n\r\n"
        )
        memory = self.near.node.state.memory
        for _ in range(12):
            writer.write(head + bytes(3 * MEGABYTE))
            await asyncio.sleep(0.02)
            self.assertLessEqual(memory.used_bytes, memory.requests.max_bytes)
        self.assertEqual((await self.fleet.call(self.near)).status, 200)
        writer.close()
        await asyncio.sleep(2.0)
        await self.check_nothing_is_held()

    async def test_large_body_that_fits_is_forwarded(self) -> None:
        body = bytes(8 * MEGABYTE)
        response = await self.fleet.call(
            self.near, "/book/x", "POST", body, deadline_ms=8000
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(self.far.upstream.calls[-1].body, body)
        await self.check_nothing_is_held()


class TestWaitingAnswers(HeldMemoryTestCase):
    """Answers that wait for a slow link, or for a client that does not read."""

    # Complete answers were not counted: 20 of 6 MB took 120 MB.
    async def test_answers_that_wait_for_the_link_are_bounded(self) -> None:
        memory = self.far.node.state.memory
        script = self.far.upstream.script
        script.extend(answer_with(bytes(6 * MEGABYTE)) for _ in range(20))
        # Each call uses a route whose answers have no known size yet.
        calls = []
        for _ in range(20):
            calls.append(asyncio.create_task(self.fleet.call(self.near)))
            await asyncio.sleep(0.05)
        self.assertLessEqual(memory.used_bytes, memory.max_bytes)
        received = len(self.far.upstream.calls)
        self.assertLess(received, len(calls))
        refused = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual(refused.status, 503)
        self.assertEqual(len(self.far.upstream.calls), received)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await self.check_nothing_is_held()
        self.far.upstream.script.clear()
        self.assertEqual((await self.fleet.call(self.near)).status, 200)

    async def test_answers_that_a_client_does_not_read_are_bounded(self) -> None:
        self.near.send_heartbeat(slots=20)
        await self.fleet.wait_until_ready(upstreams=2)
        self.far.send_heartbeat(leaving=True)
        await self.fleet.wait_until_ready(upstreams=1)
        memory = self.near.node.state.memory
        self.near.upstream.script.extend(
            answer_with(bytes(6 * MEGABYTE)) for _ in range(20)
        )
        writers = []
        for number in range(20):
            _, writer = await self.connect()
            writers.append(writer)
            writer.write(
                b"GET /search/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Request-Id: %d\r\n\r\n" % number
            )
            await asyncio.sleep(0.05)
            if number == 0:
                # Counted once, but for what the sockets hold.
                self.assertLess(memory.used_bytes, 1.05 * 6 * MEGABYTE)
        self.assertTrue(memory.is_high())
        # One answer may have been received at the limit.
        self.assertLessEqual(memory.used_bytes, memory.max_bytes + 6 * MEGABYTE)
        for writer in writers:
            writer.transport.abort()
        self.near.upstream.script.clear()
        await self.check_nothing_is_held()
        self.assertEqual((await self.fleet.call(self.near)).status, 200)


class TestInboundConnection(unittest.IsolatedAsyncioTestCase):
    """Calls of another node that end before they have begun."""

    # A call that was cancelled in the same read was taken for one in flight for good.
    async def test_call_cancelled_at_once_is_not_in_flight(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        host = await fleet.add("n-1")
        server = host.node.peer_server
        connection = InboundConnection(server)
        connection.connection_made(RecordingTransport())
        request = make_messages()[0]
        connection.handle_message(request)
        connection.handle_message(Cancel(1))
        await asyncio.sleep(0.05)
        self.assertFalse(connection.busy())
        self.assertEqual(host.node.state.memory.used_bytes, 0)
