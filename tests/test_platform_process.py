"""Integration tests of node processes on a fake of the users' platform."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.standins.users_platform import UsersPlatform, route_resource

WAIT_TIMEOUT_S = 15.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Wait until a condition holds, polling every 50 ms."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


class TestPlatformProcess(unittest.IsolatedAsyncioTestCase):
    """Two nodes with upstreams of the same service."""

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.platform = await self.enterAsyncContext(UsersPlatform(Path(directory)))
        self.search_route = route_resource("search", "finder")
        self.book_route = route_resource("book", "finder", "non_idempotent")
        self.platform.configure(3, self.search_route, self.book_route)
        self.node_one = await self.platform.add_node("one")
        self.node_two = await self.platform.add_node("two")
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
            self.assertEqual(await node.send_heartbeat(), 200)
        await wait_until(self.both_nodes_serve)

    async def both_nodes_serve(self) -> bool:
        """Return whether both nodes answer calls with status 200."""
        statuses = [(await node.call(1)).status for node in self.platform.nodes]
        return statuses == [200, 200]

    async def test_new_version_takes_effect_within_two_seconds(self) -> None:
        self.platform.configure(
            9, self.search_route, self.book_route, route_resource("new", "finder")
        )

        async def new_route_is_served() -> bool:
            return (await self.node_one.call(2, "/new/x")).status == 200

        self.assertEqual((await self.node_one.call(3, "/unknown/x")).status, 404)
        await wait_until(new_route_is_served, 2.0)

    async def test_stop_completes_calls_and_exits_in_time(self) -> None:
        for node in self.platform.nodes:
            node.upstream.delay_s = 0.5
        calls = [
            asyncio.create_task(
                self.node_one.call(100 + request_number, "/book/x", "POST")
            )
            for request_number in range(6)
        ]
        await asyncio.sleep(0.2)
        self.node_one.send_signal(signal.SIGTERM)
        responses = await asyncio.gather(*calls)
        self.assertEqual([response.status for response in responses], [200] * 6)
        self.assertFalse(await self.node_one.is_ready())
        response = await self.node_one.call(200)
        self.assertEqual(response.status, 200)
        self.assertIn((b"connection", b"close"), response.headers)
        self.assertEqual(await self.node_one.wait_for_exit(6.0), 0)
        # The other node continues without the upstream of the stopped node.
        self.assertEqual((await self.node_two.call(201)).status, 200)

    async def test_restarted_node_serves_before_the_next_heartbeat(self) -> None:
        for node in self.platform.nodes:
            node.send_signal(signal.SIGKILL)
            await node.wait_for_exit(5.0)
            node.start_process()
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
        await wait_until(self.both_nodes_serve, 3.0)

    async def test_restarted_node_recognises_a_restarted_upstream(self) -> None:
        for node in self.platform.nodes:
            node.send_signal(signal.SIGKILL)
            await node.wait_for_exit(5.0)
            node.upstream.instance += "-restarted"
            node.start_process()
        for node in self.platform.nodes:
            await wait_until(node.is_ready)
        await wait_until(self.both_nodes_serve, 3.0)
        calls = self.node_one.upstream.calls + self.node_two.upstream.calls
        target_instances = [call.headers[b"target-instance"] for call in calls]
        self.assertTrue(
            {b"i-one-restarted", b"i-two-restarted"} & set(target_instances)
        )

    async def test_draining_upstream_receives_no_further_calls(self) -> None:
        self.assertEqual(await self.node_one.send_heartbeat("draining"), 200)
        calls_before = len(self.node_one.upstream.calls)
        for request_number in range(10):
            self.assertEqual((await self.node_one.call(request_number)).status, 200)
        self.assertEqual(len(self.node_one.upstream.calls), calls_before)

    async def test_metrics_report_latencies_by_route(self) -> None:
        await self.node_one.call(8)
        await self.node_one.call(9, "/unknown/x")
        report = json.loads(
            (await self.node_one.request("ready", "GET", "/metrics")).content
        )
        self.assertGreaterEqual(report["latencies"]["r-search"]["count"], 1)
        self.assertEqual(report["counters"]["refused.call_no_route"], 1)

    async def test_invalid_settings_are_rejected(self) -> None:
        self.node_one.settings_path.write_text("self_node: [")
        self.node_one.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.node_one.call(5)).status, 200)
        self.assertIn("settings refused", self.node_one.log_path.read_text())

    # The default action of the signal ended a process that had just started.
    async def test_reload_signal_during_the_start_is_no_end(self) -> None:
        for delay_s in (0.05, 0.1, 0.2, 0.3):
            self.node_one.send_signal(signal.SIGKILL)
            await self.node_one.wait_for_exit(5.0)
            self.node_one.start_process()
            await asyncio.sleep(delay_s)
            self.node_one.send_signal(signal.SIGHUP)
            await wait_until(self.node_one.is_ready)

    async def test_reloaded_service_is_sent_to_upstreams(self) -> None:
        self.node_one.service = "renamed"
        self.node_one.write_settings()
        self.node_one.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        await self.node_one.call(6)
        calls = self.node_one.upstream.calls + self.node_two.upstream.calls
        self.assertIn(b"renamed", [call.headers[b"caller-service"] for call in calls])

    async def test_calls_succeed_while_the_store_is_down(self) -> None:
        self.platform.store.set_down(True)
        await asyncio.sleep(0.5)
        self.assertTrue(await self.both_nodes_serve())
        self.platform.store.set_down(False)
        self.platform.configure(12, self.search_route, route_resource("new", "finder"))

        async def new_route_is_served() -> bool:
            return (await self.node_one.call(7, "/new/x")).status == 200

        await wait_until(new_route_is_served, 2.0)
