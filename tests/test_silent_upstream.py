"""Upstreams that stop responding on a connection, or reset it, once they are full."""

from __future__ import annotations

import asyncio
import math
import unittest

from gypsumlock.mesh.response_wait import ResponseWaits
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import MeshUpstream, ReceivedCall

SERVICE_S = 0.02
LEFT_S = 0.6


async def stop_responding(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    """Never respond on the connection again."""
    await asyncio.sleep(60.0)


class TestResponseWaits(unittest.TestCase):
    """When a call without a response is given up."""

    def setUp(self) -> None:
        self.waits = ResponseWaits()
        for number in range(100):
            self.waits.record_answer("a", SERVICE_S * (1 + number % 3), number * 0.01)

    def wait_s(self, left_s: float = LEFT_S, now_s: float = 3.0) -> float:
        return self.waits.wait_s("a", SERVICE_S, left_s, now_s)

    def record_silences(self, count: int) -> None:
        for _ in range(count):
            self.waits.record_no_answer(SERVICE_S, LEFT_S, 2.9)

    def test_no_call_is_given_up_where_all_are_answered(self) -> None:
        self.assertEqual(self.wait_s(), math.inf)

    def test_no_call_is_given_up_after_a_single_silence(self) -> None:
        self.record_silences(1)
        self.assertEqual(self.wait_s(), math.inf)

    def test_call_to_a_silent_upstream_is_given_up_in_time(self) -> None:
        self.record_silences(2)
        # An answered call takes three times the service time, and as much is left.
        self.assertGreater(self.wait_s(), 3 * SERVICE_S)
        self.assertLess(self.wait_s(), LEFT_S - 3 * SERVICE_S)

    def test_slow_calls_are_waited_for(self) -> None:
        self.record_silences(2)
        self.waits.record_answer("a", 0.5, 2.95)
        self.assertEqual(self.wait_s(), math.inf)

    def test_call_without_time_for_another_attempt_is_waited_for(self) -> None:
        self.record_silences(2)
        self.assertEqual(self.wait_s(left_s=0.1), math.inf)

    def test_short_waits_are_no_silences(self) -> None:
        for _ in range(20):
            self.waits.record_no_answer(SERVICE_S, SERVICE_S, 2.9)
        self.assertEqual(self.wait_s(), math.inf)

    def test_silences_are_forgotten(self) -> None:
        self.record_silences(2)
        self.assertEqual(self.wait_s(now_s=60.0), math.inf)


class TestSilentUpstream(unittest.IsolatedAsyncioTestCase):
    """Calls to two upstreams, of which one stops responding on its connections."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config())
        self.silent = await self.fleet.add("n-1")
        await self.fleet.wait_until_ready()

    async def test_silent_connection_is_never_reused(self) -> None:
        upstream = self.silent.upstream
        for path, method in (("/search/x", "GET"), ("/book/x", "POST")):
            for _ in range(2):
                upstream.script.append(stop_responding)
                lost = await self.fleet.call(self.silent, path, method, deadline_ms=200)
                self.assertEqual(lost.status, 504)
                before = upstream.connections
                response = await self.fleet.call(self.silent, path, method)
                self.assertEqual(response.status, 200)
                self.assertEqual(upstream.connections, before + 1)

    async def test_repeatable_call_is_sent_elsewhere_within_its_deadline(self) -> None:
        for _ in range(20):
            await self.fleet.call(self.silent)
        for _ in range(2):
            self.silent.upstream.script.append(stop_responding)
            lost = await self.fleet.call(self.silent, deadline_ms=500)
            self.assertEqual(lost.status, 504)
        other = await self.fleet.add("n-2")
        await self.fleet.wait_until_ready()
        other.upstream.delay_s = 0.02
        # Whichever upstream is chosen, the first call is not answered.
        self.silent.upstream.script.append(stop_responding)
        responses = [
            await self.fleet.call(self.silent, deadline_ms=1000) for _ in range(10)
        ]
        self.assertEqual([x.status for x in responses], [200] * 10)
        self.assertGreater(max(x.took_s for x in responses), 0.08)
