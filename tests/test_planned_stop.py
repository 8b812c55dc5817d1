"""Calls of clients at a node that is stopped while upstreams are at work."""

from __future__ import annotations

import asyncio
import unittest

from tests.standins.mesh_fleet import ClientResponse, MeshFleet, MeshHost, make_config

# Longer than any grace period of these tests.
ENDLESS_S = 60.0
ANSWER_STATUSES = (200, 502, 504)


class TestPlannedStop(unittest.IsolatedAsyncioTestCase):
    """Two instances; one node stops, with a short grace period."""

    grace_s = 3.0

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=30.0, target_latency_s=10.0))
        self.near = await self.fleet.add("n-1")
        self.far = await self.fleet.add("n-2")
        await self.fleet.wait_until_ready()
        for host in self.fleet.hosts:
            host.node.state.bounds.grace_s = self.grace_s
            host.upstream.delay_s = ENDLESS_S

    def stop(self, host: MeshHost) -> float:
        """Request the stop of a node; return the time of the request."""
        assert host.task is not None
        # The connections of a process end with it.
        host.task.add_done_callback(lambda _: host.node.close())
        host.stop_requested.set()
        return asyncio.get_running_loop().time()

    def call(self, path: str = "/book/x") -> asyncio.Task[ClientResponse]:
        """Start a call at the node that stops."""
        return asyncio.create_task(
            self.fleet.call(self.near, path, "POST", b"b", deadline_ms=30_000)
        )

    def count_received(self) -> int:
        """Return the number of calls that upstreams have received."""
        return sum(len(host.upstream.calls) for host in self.fleet.hosts)

    async def check_answered_in_time(
        self, calls: list[asyncio.Task[ClientResponse]], stopped_at_s: float
    ) -> None:
        """Check that each call gets an answer within the grace period."""
        async with asyncio.timeout_at(stopped_at_s + self.grace_s):
            responses = await asyncio.gather(*calls)
        for response in responses:
            self.assertIn(response.status, ANSWER_STATUSES)
        assert self.near.task is not None
        async with asyncio.timeout_at(stopped_at_s + self.grace_s):
            await self.near.task

    # Calls that came late in the grace period were cut without an answer at its end.
    async def test_late_calls_get_an_answer(self) -> None:
        stopped_at_s = self.stop(self.near)
        await asyncio.sleep(0.4 * self.grace_s)
        calls = [self.call(path) for path in ("/book/x", "/search/x") * 2]
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_received(), len(calls))
        await self.check_answered_in_time(calls, stopped_at_s)

    async def test_calls_from_before_the_stop_get_an_answer(self) -> None:
        calls = [self.call(path) for path in ("/book/x", "/search/x") * 2]
        await asyncio.sleep(0.2)
        self.assertEqual(self.count_received(), len(calls))
        stopped_at_s = self.stop(self.near)
        # Only in the last sixth may a call end while an upstream is at work on it.
        await asyncio.sleep(5 / 6 * self.grace_s)
        self.assertFalse(any(call.done() for call in calls))
        await self.check_answered_in_time(calls, stopped_at_s)

    async def test_call_in_the_second_half_of_the_grace_is_refused(self) -> None:
        running = self.call()
        await asyncio.sleep(0.1)
        self.stop(self.near)
        await asyncio.sleep(0.6 * self.grace_s)
        before = self.count_received()
        async with asyncio.timeout(0.3):
            response = await self.call()
        self.assertEqual(response.status, 503)
        self.assertEqual(self.count_received(), before)
        self.assertIn((await running).status, ANSWER_STATUSES)

    # A connection was closed before its first request had arrived.
    async def test_new_connection_has_time_for_its_request(self) -> None:
        running = self.call()
        await asyncio.sleep(0.1)
        self.stop(self.near)
        await asyncio.sleep(0.45 * self.grace_s)
        host, _, port = self.near.addresses.calls.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.1)
        writer.write(
            b"GET /unknown/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n\r\n"
        )
        async with asyncio.timeout(0.5):
            self.assertIn(b" 404 ", await reader.readline())
        writer.close()
        self.assertIn((await running).status, ANSWER_STATUSES)

    async def test_ready_response_is_delivered(self) -> None:
        for host in self.fleet.hosts:
            host.upstream.delay_s = 0.6 * self.grace_s
        stopped_at_s = self.stop(self.near)
        await asyncio.sleep(0.2)
        call = self.call()
        await self.check_answered_in_time([call], stopped_at_s)
        self.assertEqual(call.result().status, 200)


class TestPlannedStopWithLittleGrace(TestPlannedStop):
    """The same with a grace period that the margins must not use up."""

    grace_s = 1.5


class TestPlannedStopOfUsersPlatform(TestPlannedStop):
    """The same with the grace period of the users' platform."""

    grace_s = 6.0
