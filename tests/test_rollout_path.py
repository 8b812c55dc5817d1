"""Tests of whole roll-outs with real nodes in one process, each with its upstream."""

from __future__ import annotations

import asyncio
import random
import time
import unittest

import msgspec

from gypsumlock.mesh.state import RolloutBounds
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config
from tests.standins.mesh_upstream import (
    MeshUpstream,
    ReceivedCall,
    answer_error,
    answer_ok,
)

BOUNDS = RolloutBounds(exposure_share=0.1, exposure_allowance=50, rollback_s=5.0)
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
        allowed = BOUNDS.exposure_share * total + BOUNDS.exposure_allowance
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
