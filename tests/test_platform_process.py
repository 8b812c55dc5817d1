"""Real node processes on a stand-in of the users' platform."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.standins.users_platform import UsersPlatform, route_resource

WAIT_S = 15.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = WAIT_S
) -> None:
    """Wait for a condition, looking every 50 ms."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


class TestPlatformProcess(unittest.IsolatedAsyncioTestCase):
    """Two nodes of one service."""

    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.platform = await self.enterAsyncContext(UsersPlatform(Path(folder)))
        self.search = route_resource("search", "finder")
        self.book = route_resource("book", "finder", "non_idempotent")
        self.platform.configure(3, self.search, self.book)
        self.one = await self.platform.add_node("one")
        self.two = await self.platform.add_node("two")
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
            self.assertEqual(await node.send_heartbeat(), 200)
        await wait_until(self.served)

    async def served(self) -> bool:
        """Tell whether both nodes carry calls."""
        statuses = [(await node.call(1)).status for node in self.platform.nodes]
        return statuses == [200, 200]

    async def test_changed_version_is_in_force_within_two_seconds(self) -> None:
        self.platform.configure(
            9, self.search, self.book, route_resource("new", "finder")
        )

        async def found() -> bool:
            return (await self.one.call(2, "/new/x")).status == 200

        self.assertEqual((await self.one.call(3, "/gone/x")).status, 404)
        await wait_until(found, 2.0)

    async def test_stop_cuts_nothing_and_ends_in_time(self) -> None:
        for node in self.platform.nodes:
            node.upstream.delay_s = 0.5
        calls = [
            asyncio.create_task(self.one.call(100 + number, "/book/x", "POST"))
            for number in range(6)
        ]
        await asyncio.sleep(0.2)
        self.one.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        self.assertFalse(await self.one.is_ready())
        answer = await self.one.call(200)
        self.assertEqual(answer.status, 200)
        self.assertIn((b"connection", b"close"), answer.headers)
        self.assertEqual(await self.one.wait_for_exit(6.0), 0)
        # The other node goes on without the upstream beside the stopped one.
        self.assertEqual((await self.two.call(201)).status, 200)

    async def test_restarted_node_serves_before_the_next_heartbeat(self) -> None:
        for node in self.platform.nodes:
            node.send_signal(signal.SIGKILL)
            await node.wait_for_exit(5.0)
            node.start_process()
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
        await wait_until(self.served, 3.0)

    async def test_restarted_node_believes_a_restarted_upstream(self) -> None:
        for node in self.platform.nodes:
            node.send_signal(signal.SIGKILL)
            await node.wait_for_exit(5.0)
            node.upstream.instance += "-reborn"
            node.start_process()
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
        await wait_until(self.served, 3.0)
        calls = self.one.upstream.calls + self.two.upstream.calls
        named = [seen.headers[b"target-instance"] for seen in calls]
        self.assertTrue({b"i-one-reborn", b"i-two-reborn"} & set(named))

    async def test_draining_upstream_gets_nothing_more(self) -> None:
        self.assertEqual(await self.one.send_heartbeat("draining"), 200)
        before = len(self.one.upstream.calls)
        for number in range(10):
            self.assertEqual((await self.one.call(number)).status, 200)
        self.assertEqual(len(self.one.upstream.calls), before)

    async def test_metrics_tell_latencies_by_route(self) -> None:
        await self.one.call(8)
        await self.one.call(9, "/gone/x")
        report = json.loads(
            (await self.one.request("ready", "GET", "/metrics")).content
        )
        self.assertGreaterEqual(report["latencies"]["r-search"]["count"], 1)
        self.assertEqual(report["counters"]["refused.call_no_route"], 1)

    async def test_faulty_settings_change_nothing(self) -> None:
        self.one.settings_path.write_text("self_node: [")
        self.one.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.one.call(5)).status, 200)
        self.assertIn("settings refused", self.one.log_path.read_text())

    async def test_service_of_new_settings_is_told_to_upstreams(self) -> None:
        self.one.service = "renamed"
        self.one.write_settings()
        self.one.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        await self.one.call(6)
        calls = self.one.upstream.calls + self.two.upstream.calls
        self.assertIn(b"renamed", [seen.headers[b"caller-service"] for seen in calls])

    async def test_calls_go_on_while_the_store_is_down(self) -> None:
        self.platform.store.set_down(True)
        await asyncio.sleep(0.5)
        self.assertTrue(await self.served())
        self.platform.store.set_down(False)
        self.platform.configure(12, self.search, route_resource("late", "finder"))

        async def found() -> bool:
            return (await self.one.call(7, "/late/x")).status == 200

        await wait_until(found, 2.0)
