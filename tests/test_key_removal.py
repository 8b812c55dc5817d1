"""Removal of API keys: calls that wait, nodes that are cut off, and what is logged."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from loguru import logger

from gypsumlock.mesh import frames, write_buffer
from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.model import CallRequest, Refusal
from gypsumlock.mesh.state import RevocationBounds
from gypsumlock.organisations import ConfigContact, HeartbeatTimes
from tests.standins.mesh_fleet import MeshFleet, MeshHost
from tests.test_organisation_calls import (
    KEY,
    OTHER_KEY,
    bearer,
    make_keyed_config,
    make_organisation,
)

# The users' limit on the time from the acceptance of a version until it is in force.
CONFIG_APPLY_S = 2.5
MAX_DELAY_S = 3.5
WITHOUT_KEY = make_keyed_config(2, make_organisation("other", OTHER_KEY))


async def wait_for(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("the condition did not hold in time")
        await asyncio.sleep(0.01)


class TestWaitingCalls(unittest.IsolatedAsyncioTestCase):
    """Calls that wait for a slot while their key is removed."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.owner = await self.fleet.add("n1", slots=1)
        self.other = await self.fleet.add("n2", service="other")
        self.fleet.configure(make_keyed_config(1, timeout_s=6.0))
        await self.fleet.wait_until_ready()
        self.owner.upstream.delay_s = 0.8

    async def check_removal(self, caller: MeshHost) -> None:
        """Check what becomes of three calls, one of which runs, without their key."""
        calls = []
        for path in ("/search/x", "/search/y", "/open/z"):
            call = self.fleet.call(caller, path, deadline_ms=6000, headers=bearer())
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.1)
        await wait_for(lambda: self.owner.node.owner.load().in_flight == 3)
        began_s = time.monotonic()
        for host in (self.owner, self.other):
            host.node.feed.apply_config(WITHOUT_KEY, "test")
        self.assertEqual((await calls[1]).status, 401)
        self.assertLess(time.monotonic() - began_s, 0.4)
        # A public route needs no key: the call goes on without an organisation.
        self.assertEqual([(await call).status for call in calls], [200, 401, 200])
        received = self.owner.upstream.calls
        self.assertEqual([x.target for x in received], [b"/search/x", b"/open/z"])
        self.assertNotIn(b"tenant", received[1].headers)

    async def test_waiting_call_is_answered_401_and_a_running_one_200(self) -> None:
        await self.check_removal(self.owner)

    async def test_call_that_waits_at_another_node(self) -> None:
        await self.check_removal(self.other)

    async def test_call_on_its_way_to_the_owner_is_not_executed(self) -> None:
        # The call waits for the connection, or its task has not begun at the owner.
        for caller in (self.owner, self.other):
            directory = caller.node.directory
            view = directory.views("finder")[0]
            request = CallRequest(
                0, b"1", "finder", "search", 1, True, 1.0, False, 0, 1.0, 2.0,
                b"GET", b"/search/x", [], b"",
            )  # fmt: skip
            attempt = Attempt(view.node, request)
            task = asyncio.create_task(directory.send(view, attempt, lambda: False))
            if caller is not self.owner:
                await asyncio.sleep(0)
            directory.withdraw(attempt)
            self.assertIsInstance(await task, Refusal)
        self.assertEqual(self.owner.upstream.calls, [])


class TestCutOffNodes(unittest.IsolatedAsyncioTestCase):
    """Nodes that can't read the store, alone or together."""

    async def start(self, strict: bool, nodes: int = 1) -> MeshFleet:
        """Start a fleet with a key in force."""
        bounds = RevocationBounds(MAX_DELAY_S, strict)
        fleet = await self.enterAsyncContext(MeshFleet(revocation=bounds))
        for number in range(nodes):
            await fleet.add(f"n{number}")
        fleet.configure(make_keyed_config())
        await fleet.wait_until_ready()
        return fleet

    async def statuses(self, fleet: MeshFleet, host: MeshHost) -> tuple[int, int]:
        """Return the statuses of a call with the key, and of one without any."""
        keyed = await fleet.call(host, headers=bearer())
        return keyed.status, (await fleet.call(host, "/open/x")).status

    async def test_node_learns_of_the_removal_from_another_node(self) -> None:
        for strict in (False, True):
            with self.subTest(strict=strict):
                fleet = await self.start(strict, nodes=3)
                cut_off = fleet.hosts[2]
                cut_off.store.disconnected = True
                await asyncio.sleep(MAX_DELAY_S + 1.0)
                self.assertEqual(await self.statuses(fleet, cut_off), (200, 200))
                fleet.configure(WITHOUT_KEY)
                await asyncio.sleep(CONFIG_APPLY_S)
                self.assertEqual(await self.statuses(fleet, cut_off), (401, 200))

    async def test_strict_node_refuses_keys_until_it_is_in_contact(self) -> None:
        fleet = await self.start(strict=True, nodes=2)
        host = fleet.hosts[0]
        fleet.store.set_down(True)
        await asyncio.sleep(MAX_DELAY_S + 0.2)
        for other in fleet.hosts:
            self.assertEqual(await self.statuses(fleet, other), (503, 200))
        fleet.store.set_down(False)
        await wait_for(lambda: not host.node.state.is_config_outdated())
        self.assertEqual(await self.statuses(fleet, host), (200, 200))

    async def test_other_node_keeps_serving(self) -> None:
        fleet = await self.start(strict=False)
        fleet.store.set_down(True)
        await asyncio.sleep(MAX_DELAY_S + 0.2)
        self.assertEqual(await self.statuses(fleet, fleet.hosts[0]), (200, 200))


class TestContact(unittest.TestCase):
    """The age of a node's configuration, also after a pause of the process."""

    def test_later_news_of_an_earlier_time_changes_nothing(self) -> None:
        contact = ConfigContact()
        self.assertGreater(contact.age_s(0.0), MAX_DELAY_S)
        contact.confirm(10.0)
        contact.confirm(8.0)
        self.assertEqual(contact.age_s(13.0), 3.0)

    def test_heartbeat_received_before_a_pause_is_not_new(self) -> None:
        # The source was lost at once; the node resumes after a minute.
        times = HeartbeatTimes(100.0)
        self.assertEqual(times.next(100.2), 100.2)
        self.assertLess(times.next(160.0), 160.0 - 50.0)

    def test_heartbeats_of_a_source_that_is_alive_catch_up_after_a_pause(self) -> None:
        times = HeartbeatTimes(100.0)
        sent_at_s = [times.next(160.0) for _ in range(150)]
        self.assertEqual(sent_at_s[-1], 160.0)


class TestSecrecy(unittest.IsolatedAsyncioTestCase):
    """Keys must not leave the node that receives them."""

    async def test_no_key_in_logs_metrics_answers_or_messages(self) -> None:
        written: list[str] = []
        sent: list[bytes] = []
        handler = logger.add(written.append, level=0, serialize=True)
        self.addCleanup(logger.remove, handler)
        write = write_buffer.write_with_head

        def record(transport: asyncio.Transport, head: bytes, data: bytes) -> None:
            sent.append(data)
            write(transport, head, data)

        self.enterContext(mock.patch.object(frames, "write_with_head", record))
        # Sent as they are, so that they can be searched.
        self.enterContext(mock.patch("zlib.compress", lambda data, _: data))
        fleet = await self.enterAsyncContext(MeshFleet())
        hosts = [await fleet.add("n1"), await fleet.add("n2", service="other")]
        organisation = replace(make_organisation(), rate_per_s=5.0)
        fleet.configure(make_keyed_config(1, organisation))
        await fleet.wait_until_ready()
        answers = [
            await fleet.call(host, path, headers=bearer(key))
            for host in hosts
            for path in ("/search/x", "/open/x", "/none/x")
            for key in (KEY, OTHER_KEY)
        ]
        fleet.configure(WITHOUT_KEY)
        await wait_for(lambda: hosts[0].node.feed.config_version == 2)
        answers += [await fleet.call(hosts[0], headers=bearer())]
        self.assertEqual({x.status for x in answers}, {200, 401, 404})
        reports = [repr(host.node.metrics.report()) for host in hosts]
        texts = [*written, *reports, *(repr((x.headers, x.body)) for x in answers)]
        self.assertTrue(any("call answered" in text for text in written))
        self.assertTrue(any(b"/search/x" in data for data in sent))
        for key in (KEY, OTHER_KEY):
            self.assertFalse([text for text in texts if key in text])
            self.assertFalse([data for data in sent if key.encode() in data])
        received = [call for host in hosts for call in host.upstream.calls]
        self.assertNotIn(KEY, repr(received))
