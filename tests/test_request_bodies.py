"""Large request bodies, which are sent once the owner has accepted their calls."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from msgspec.structs import replace

from gypsumlock.mesh.caller_protocol import CallerProtocol
from gypsumlock.mesh.model import CallRequest
from gypsumlock.mesh.peer_server import InboundConnection
from gypsumlock.mesh.request_body import BodyRequest
from tests.standins.mesh_fleet import MeshFleet, make_config

BODY = bytes(range(256)) * 800


class TestLargeBodies(unittest.IsolatedAsyncioTestCase):
    """A node without an upstream, and the owner of one with a single slot."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=5.0))
        self.near = await self.fleet.add("n-1", slots=0)
        self.owner = await self.fleet.add("n-2", slots=1)
        await self.fleet.wait_until_ready(upstreams=1)

    async def upload(self, deadline_ms: int = 3000) -> int:
        """Send a large body, and return the status."""
        response = await self.fleet.call(
            self.near, "/book/x", "POST", BODY, deadline_ms
        )
        return response.status

    async def test_body_arrives_whole(self) -> None:
        self.assertEqual(await self.upload(), 200)
        self.assertEqual(self.owner.upstream.calls[0].body, BODY)

    async def test_body_of_a_waiting_call_arrives_whole(self) -> None:
        self.owner.upstream.delay_s = 0.3
        statuses = await asyncio.gather(self.upload(), self.upload())
        self.assertEqual(statuses, [200, 200])
        self.assertEqual([call.body for call in self.owner.upstream.calls], [BODY] * 2)

    # A body that was sent before the refusal had kept the link busy for nothing.
    async def test_body_of_a_refused_call_is_not_sent(self) -> None:
        self.owner.upstream.delay_s = 0.6
        # The owner learns from it that the slot will not be free in time.
        await self.upload()
        running = asyncio.create_task(self.fleet.call(self.near, deadline_ms=3000))
        await asyncio.sleep(0.1)
        with mock.patch.object(CallerProtocol, "_send_body") as send_body:
            self.assertEqual(await self.upload(deadline_ms=300), 503)
        send_body.assert_not_called()
        self.assertEqual((await running).status, 200)

    # Otherwise each upload whose client leaves would take the slot for good.
    async def test_slot_is_free_again_if_the_client_leaves(self) -> None:
        with mock.patch.object(CallerProtocol, "_send_body"):
            client = asyncio.create_task(self.upload())
            await asyncio.sleep(0.1)
            client.cancel()
            await asyncio.gather(client, return_exceptions=True)
        await asyncio.sleep(0.1)
        self.assertFalse(self.owner.node.owner.busy())
        self.assertEqual(await self.upload(), 200)

    # A call without its whole body can't have run, so its client may send it again.
    async def test_connection_lost_before_the_body_was_sent(self) -> None:
        def lose(connection: InboundConnection, message: object) -> bool:
            if isinstance(message, BodyRequest):
                connection.abort()
            return True

        with mock.patch.object(InboundConnection, "send", lose):
            self.assertEqual(await self.upload(), 503)
        self.assertEqual(self.owner.upstream.calls, [])

    # A call whose body is still on the way at its deadline can't have run.
    async def test_body_on_the_way_at_the_deadline(self) -> None:
        with mock.patch.object(CallerProtocol, "_send_body"):
            self.assertEqual(await self.upload(deadline_ms=400), 503)
        self.assertEqual(self.owner.upstream.calls, [])

    # An earlier release would execute the call without its body.
    async def test_node_that_requests_no_bodies_gets_them_with_the_call(self) -> None:
        directory = self.near.node.directory
        record = directory._records["n-2"]
        directory._records["n-2"] = replace(record, requests_bodies=False)
        with mock.patch.object(CallerProtocol, "_send_body") as send_body:
            self.assertEqual(await self.upload(), 200)
        send_body.assert_not_called()
        self.assertEqual(self.owner.upstream.calls[0].body, BODY)

    # Otherwise a key stayed usable for as long as an upload takes.
    async def test_call_that_is_withdrawn_during_its_upload_does_not_run(self) -> None:
        owner = self.owner.node.owner
        receive = InboundConnection._receive_body

        async def withdraw(connection: InboundConnection, request: CallRequest) -> None:
            await receive(connection, request)
            owner.withdraw(request)

        with mock.patch.object(InboundConnection, "_receive_body", withdraw):
            self.assertEqual(await self.upload(deadline_ms=500), 503)
        self.assertEqual(self.owner.upstream.calls, [])
        self.assertFalse(owner.busy())

    async def test_memory_is_released(self) -> None:
        await self.upload()
        await asyncio.sleep(0.05)
        for host in self.fleet.hosts:
            self.assertEqual(host.node.state.memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
