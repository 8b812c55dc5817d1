"""Tests of whole roll-outs with real nodes in one process, each with its upstream."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from gypsumlock.leases import LEASE_TABLE
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.record_watcher import RECORD_TABLE
from gypsumlock.mesh.state import RolloutBounds
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config
from tests.standins.mesh_upstream import (
    MeshUpstream,
    ReceivedCall,
    answer_error,
    answer_ok,
)
from tests.standins.users_platform import (
    PlatformNode,
    UsersPlatform,
    route_resource,
)

BOUNDS = RolloutBounds(canary_share=0.1, canary_allowance=50, rollback_s=5.0)
DURATION_S = 9.0
HOSTS = 3
CALL_INTERVAL_S = 0.025
BAD_SHARE = 0.8
STATUS_OK = 200
STATUS_ERROR = 500


class _Traffic:
    """Calls to the nodes in turn, until stopped."""

    def __init__(self, fleet: MeshFleet) -> None:
        self._fleet = fleet
        self._calls: set[asyncio.Task[None]] = set()
        self.statuses: list[int] = []
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        number = 0
        while True:
            host = self._fleet.hosts[number % len(self._fleet.hosts)]
            number += 1
            task = asyncio.create_task(self._call(host))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, host: MeshHost) -> None:
        self.statuses.append((await self._fleet.call(host)).status)

    async def stop(self) -> None:
        """Stop, and wait for the calls in flight."""
        self._task.cancel()
        await asyncio.gather(self._task, *self._calls, return_exceptions=True)


async def _answer_sometimes(
    upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
) -> None:
    await (answer_error if random.random() < BAD_SHARE else answer_ok)(
        upstream, call, writer
    )


class TestWholeRollout(unittest.IsolatedAsyncioTestCase):
    """The operator writes an order while clients call the service."""

    async def asyncSetUp(self) -> None:
        self.fleet = MeshFleet(rollout=BOUNDS)
        await self.enterAsyncContext(self.fleet)
        self.fleet.configure(make_config())
        self.old = [await self.fleet.add(f"old{i}", version="v1") for i in range(HOSTS)]
        await self.fleet.wait_until_ready()
        await self.wait_until(lambda: self.established() == {"v1"}, 8.0)
        self.new = [await self.fleet.add(f"new{i}", version="v2") for i in range(HOSTS)]
        await self.fleet.wait_until_ready()
        self.traffic = _Traffic(self.fleet)
        self.addAsyncCleanup(self.traffic.stop)

    def established(self) -> set[str]:
        """Return the established versions that the nodes have been told."""
        tables = [host.node.state.versions for host in self.fleet.hosts]
        entries = [table.entry("finder") for table in tables]
        return {entry.established if entry else "" for entry in entries}

    async def wait_until(self, condition: object, timeout_s: float) -> None:
        end_s = time.monotonic() + timeout_s
        assert callable(condition)
        while not condition():
            self.assertLess(time.monotonic(), end_s, "condition not met in time")
            await asyncio.sleep(0.05)

    def status(self) -> dict[str, str]:
        """Return the status that the system has written."""
        row = self.fleet.store.tables["status"].get("rollout/finder")
        value = row.value if row else None
        return msgspec.json.decode(value, type=dict[str, str]) if value else {}

    def order(self) -> None:
        """Write the order, as the operator does."""
        order = {"service": "finder", "to": "v2", "duration_s": DURATION_S}
        self.fleet.store.put("op", "rollout/finder", msgspec.json.encode(order))

    def calls_of(self, hosts: list[MeshHost]) -> int:
        """Return the number of calls that some upstreams have received."""
        return sum(len(host.upstream.calls) for host in hosts)

    async def test_good_version_replaces_the_old_one(self) -> None:
        """Guards against calls before the order, at a stopped upstream, or lost."""
        await asyncio.sleep(0.5)
        self.assertEqual(self.calls_of(self.new), 0)
        self.order()
        await self.wait_until(lambda: self.status().get("state") == "running", 2.0)
        await self.wait_until(
            lambda: self.status() == {"state": "completed", "to": "v2"}, DURATION_S
        )
        running = sum(host.upstream.running for host in self.old)
        received = self.calls_of(self.old)
        self.assertEqual(running, 0)
        for host in self.old:
            host.upstream.stop()
        await asyncio.sleep(1.0)
        self.assertEqual(self.calls_of(self.old), received)
        self.assertEqual(set(self.traffic.statuses), {STATUS_OK})

    async def test_bad_version_is_rolled_back(self) -> None:
        """Guards against a bad version that gets more calls than the bounds allow."""
        for host in self.new:
            host.upstream.script.extend([_answer_sometimes] * 5000)
        before = self.calls_of(self.old)
        self.order()
        await self.wait_until(
            lambda: self.status() == {"state": "rolled_back", "to": "v2"}, DURATION_S
        )
        exposed = self.calls_of(self.new)
        await asyncio.sleep(1.0)
        self.assertEqual(self.calls_of(self.new), exposed)
        total = exposed + self.calls_of(self.old) - before
        allowed = BOUNDS.canary_share * total + BOUNDS.canary_allowance
        self.assertLessEqual(exposed, allowed)
        # What the new version fails is sent to the old one.
        self.assertNotIn(STATUS_ERROR, self.traffic.statuses)

    async def test_next_conductor_completes_what_a_killed_one_has_begun(self) -> None:
        """Guards against a roll-out that ends with its conductor."""
        self.order()
        await self.wait_until(lambda: self.status().get("state") == "running", 2.0)
        await asyncio.sleep(2.0)
        table = self.fleet.hosts[0].node.state.versions
        name = table.services["finder"].conductor
        killed = next(host for host in self.fleet.hosts if host.name == name)
        self.fleet.hosts.remove(killed)
        assert killed.task is not None
        killed.task.cancel()
        await asyncio.gather(killed.task, return_exceptions=True)
        killed.node.close()
        self.addCleanup(killed.upstream.stop)
        await self.wait_until(
            lambda: self.status() == {"state": "completed", "to": "v2"}, 25.0
        )
        self.assertEqual(sum(host.upstream.running for host in self.old), 0)


class TestRolloutOfProcesses(unittest.IsolatedAsyncioTestCase):
    """Node processes with the settings, heartbeats and rows of the platform."""

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.platform = await self.enterAsyncContext(UsersPlatform(Path(directory)))
        self.platform.configure(3, route_resource("search", "finder"))

    async def add(
        self, name: str, version: str, has_bounds: bool = True
    ) -> PlatformNode:
        """Start a node with its upstream."""
        bounds = {"exposure_share": 0.1, "exposure_slack": 50, "rollback_s": 5}
        bounds = bounds if has_bounds else {}
        node = await self.platform.add_node(name, version=version, more_bounds=bounds)
        await self.wait_until(node.is_ready)
        self.assertEqual(await node.send_heartbeat(), STATUS_OK)
        return node

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 20.0
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.1)

    async def test_order_moves_the_service(self) -> None:
        """Guards against parts that are not connected in the process of a node."""
        old = await self.add("old", "v1")

        async def is_served() -> bool:
            return (await old.call(1)).status == STATUS_OK

        await self.wait_until(is_served)
        new = await self.add("new", "v2")
        for number in range(2, 22):
            self.assertEqual((await new.call(number)).status, STATUS_OK)
        self.assertEqual(new.upstream.calls, [])
        order = {"service": "finder", "to": "v2", "duration_s": 8.0}
        self.platform.store.put("op", "rollout/finder", msgspec.json.encode(order))

        async def is_completed() -> bool:
            row = self.platform.store.tables["status"].get("rollout/finder")
            value = row.value if row else None
            return bool(value) and msgspec.json.decode(value or b"") == {
                "state": "completed",
                "to": "v2",
            }

        await self.wait_until(is_completed)
        self.assertEqual((await old.call(30)).status, STATUS_OK)
        self.assertEqual(len(new.upstream.calls), 1)

    async def test_nothing_is_published_of_versions_without_bounds(self) -> None:
        """Guards against new behaviour where the settings do not ask for it."""
        await self.add("plain", "v1", has_bounds=False)

        async def is_published() -> bool:
            return "plain" in self.platform.store.tables[RECORD_TABLE]

        await self.wait_until(is_published)
        value = self.platform.store.tables[RECORD_TABLE]["plain"].value
        record = msgspec.json.decode(value or b"", type=UpstreamRecord)
        self.assertEqual((record.version, record.rollouts), ("", ()))
        self.assertEqual(dict(self.platform.store.tables[LEASE_TABLE]), {})


class TestNodeInARollout(unittest.IsolatedAsyncioTestCase):
    """What one node knows of its upstream and of versions."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet(rollout=BOUNDS))
        self.fleet.configure(make_config())
        self.host = await self.fleet.add("n-1", version="v1")
        await self.fleet.wait_until_ready()

    async def test_upstream_may_be_executing_a_call_whose_client_left(self) -> None:
        """Guards against a replaced upstream that is ended while it is at work."""
        owner = self.host.node.owner
        self.host.upstream.delay_s = 2.0
        client = asyncio.create_task(self.fleet.call(self.host, deadline_ms=600))
        await asyncio.sleep(0.2)
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        await asyncio.sleep(0.1)
        self.assertTrue(owner.may_be_executing())
        await asyncio.sleep(0.6)
        self.assertFalse(owner.may_be_executing())

    async def test_settings_without_bounds_end_the_use_of_versions(self) -> None:
        """Guards against a service without upstreams after a change of settings."""
        state = self.host.node.state
        self.assertTrue(state.versions.services)
        state.bounds.rollout = None
        self.host.version = "v2"
        self.host.send_heartbeat(slots=5)
        async with asyncio.timeout(5.0):
            while state.versions.services:
                await asyncio.sleep(0.05)
        self.assertEqual((await self.fleet.call(self.host)).status, STATUS_OK)
