"""Calls whose time ends before anything was sent to an upstream.

Such a call is answered 503: its client may send it again, whatever its route allows.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.caller_protocol import CallerProtocol, PendingCall
from gypsumlock.mesh.frames import Cancel
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import OwnerLoad, Refusal
from gypsumlock.mesh.peer_connection import PeerConnection
from gypsumlock.mesh.peer_server import InboundConnection
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.mesh.upstream_response import ConnectFailed
from gypsumlock.result_codes import ResultCode
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config
from tests.test_memory_bounds import _IgnoringListener
from tests.test_own_pause import make_request

DEADLINE_MS = 400


class UnsentCallsTestCase(unittest.IsolatedAsyncioTestCase):
    """A node without an upstream, and the owner of one with a single slot."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=5.0))
        self.near = await self.fleet.add("n-1", slots=0)
        self.owner = await self.fleet.add("n-2", slots=1)
        await self.fleet.wait_until_ready(upstreams=1)

    async def check_refused(self, host: MeshHost) -> None:
        """Check that a call is refused at its deadline, and did not run."""
        before = len(self.owner.upstream.calls)
        response = await self.fleet.call(
            host, "/book/x", "POST", deadline_ms=DEADLINE_MS
        )
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers[b"retry-after"]), 0.0)
        self.assertLess(response.took_s, DEADLINE_MS / 1000 + 0.1)
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.owner.upstream.calls), before)


class TestQueuedAtDeadline(UnsentCallsTestCase):
    """The deadline passes while an owner that acts late queues the call."""

    async def test_call_that_waits_at_its_deadline_is_refused(self) -> None:
        self.owner.upstream.delay_s = 1.5
        running = asyncio.create_task(self.fleet.call(self.near, deadline_ms=3000))
        await asyncio.sleep(0.1)
        # An owner without processor time drops waiting calls late.
        with mock.patch("gypsumlock.mesh.slot_waiters.SWEEP_INTERVAL_S", 30.0):
            for host in (self.near, self.owner):
                with self.subTest(host=host.name):
                    await self.check_refused(host)
        self.assertEqual((await running).status, 200)

    async def test_running_call_is_not_reported_as_refused(self) -> None:
        self.owner.send_heartbeat(slots=2)
        self.owner.upstream.delay_s = 1.0
        for host in (self.near, self.owner):
            with self.subTest(host=host.name):
                response = await self.fleet.call(
                    host, "/book/x", "POST", deadline_ms=DEADLINE_MS
                )
                self.assertEqual(response.status, 504)


class TestConnectingAtDeadline(UnsentCallsTestCase):
    """The deadline passes while a connection is being opened."""

    async def test_call_to_a_node_that_accepts_no_connection_is_refused(self) -> None:
        self.near.node.directory.connection_to("n-2").close()

        async def hang(_: PeerConnection) -> None:
            await asyncio.sleep(2.0)

        with mock.patch.object(PeerConnection, "_open_connection", hang):
            await self.check_refused(self.near)

    async def test_call_to_an_upstream_that_accepts_no_connection_is_refused(
        self,
    ) -> None:
        async def hang(_: UpstreamPool, timeout_s: float) -> None:
            await asyncio.sleep(timeout_s)
            raise ConnectFailed("TimeoutError")

        with mock.patch.object(UpstreamPool, "open", hang):
            for host in (self.near, self.owner):
                with self.subTest(host=host.name):
                    await self.check_refused(host)
        # A call with little time left says nothing about the upstream.
        self.assertTrue(self.owner.node.owner.accepting())


class TestGivenUpCalls(unittest.IsolatedAsyncioTestCase):
    """Calls that are given up because their owner is silent."""

    async def test_owner_refuses_a_cancelled_call_that_it_has_not_sent(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config())
        host = await fleet.add("n-1", slots=1)
        await fleet.wait_until_ready()
        host.upstream.delay_s = 0.3
        sent: list[object] = []
        connection = InboundConnection(host.node.peer_server)
        with mock.patch.object(InboundConnection, "send", lambda _, x: sent.append(x)):
            for number in (1, 2, 3):
                request = make_request(repeatable=True)
                request.number = number
                request.request_id = b"%d" % number
                connection.handle_message(request)
                if number < 3:
                    await asyncio.sleep(0.05)
            # The first one runs, the second one is queued, the third has not begun.
            for number in (1, 2, 3):
                connection.handle_message(Cancel(number))
            await asyncio.sleep(0.5)
        refused = [message.number for message in sent if isinstance(message, Refusal)]
        self.assertEqual(sorted(refused), [2, 3])
        self.assertEqual(len(sent), 2)
        self.assertEqual(len(host.upstream.calls), 1)

    async def test_late_refusal_of_a_given_up_call_is_believed(self) -> None:
        protocol = CallerProtocol(_IgnoringListener(), LinkMeter(0.0))
        attempts = [Attempt("n-1", make_request(True)) for _ in range(2)]
        for number, attempt in enumerate(attempts):
            attempt.is_with_owner = True
            future = asyncio.get_running_loop().create_future()
            protocol.pending[number] = PendingCall(future, True, lambda: True, attempt)
        protocol.fail_over_calls()
        code = ResultCode.CALL_OVERLOADED
        protocol.handle_message(Refusal(1, code, 0.0, False, OwnerLoad()))
        self.assertEqual([x.may_have_run for x in attempts], [True, False])
