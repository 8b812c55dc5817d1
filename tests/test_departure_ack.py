"""Departures are acknowledged only once they outlive a restart of the node."""

from __future__ import annotations

import asyncio
import unittest

import httpcore
import msgspec
from msgspec.structs import replace

from gypsumlock.mesh.http_server import CallServer
from gypsumlock.mesh.model import Departure, UpstreamRecord
from gypsumlock.mesh.record_watcher import RECORD_TABLE
from gypsumlock.platform.endpoints import HeartbeatHandler
from tests.standins.mesh_fleet import MeshFleet, free_address, make_config

# Time in which a restarted node has probed its upstream and published its record.
SETTLE_S = 1.5
DRAINING = {
    "info": {"service": "finder", "zone": "a", "slots": 4},
    "status": {"state": "draining", "sequence": 90},
    "born": 1000,
}


class DepartureTestCase(unittest.IsolatedAsyncioTestCase):
    """Two instances with a configuration."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config())
        self.host = await self.fleet.add("n-1")
        await self.fleet.add("n-2")
        await self.fleet.wait_until_ready()


class TestDepartureAck(DepartureTestCase):
    """One instance leaves while the store works, or is down."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = self.host.upstream.instance
        await self.listen()

    async def listen(self) -> None:
        """Serve heartbeats for the node that runs now."""
        node = self.host.node
        server = CallServer(HeartbeatHandler(node.state, node.notify_upstream_changed))
        self.address = free_address()
        await server.start(self.address)
        node.control_servers.append(server)

    async def send(self, call: str, body: object) -> int:
        """Send a heartbeat or a deregistration; return the status."""
        url = f"http://{self.address}/-/Instances.{call}/{self.instance}"
        async with httpcore.AsyncConnectionPool() as pool:
            content = msgspec.json.encode(body)
            return (await pool.request("POST", url, content=content)).status

    async def send_draining(self) -> int:
        """Report that the upstream is draining; return the status."""
        return await self.send(
            "Heartbeat", {"address": self.host.upstream.address, **DRAINING}
        )

    async def restart(self) -> None:
        """Restart the node, and give it time to publish its record."""
        await self.fleet.restart(self.host)
        await self.listen()
        await asyncio.sleep(SETTLE_S)

    async def check_restarted_node_uses_no_left_upstream(
        self, restarts: int = 1
    ) -> None:
        """Check that an acknowledged departure holds after restarts."""
        for _ in range(restarts - 1):
            await self.restart()
        await self.fleet.restart(self.host)
        self.host.send_heartbeat()
        await asyncio.sleep(1.0)
        incarnation = self.host.node.state.registry.current
        self.assertTrue(incarnation is None or incarnation.leaving)

    # The upstream stopped work on calls that its node went on to send.
    async def test_draining_that_is_not_applied_is_not_acknowledged(self) -> None:
        body = {"address": self.host.upstream.address, **DRAINING, "born": 400}
        self.assertEqual(await self.send("Heartbeat", body), 503)
        self.assertEqual((await self.fleet.call(self.host)).status, 200)

    # One odd heartbeat took the upstream out of use.
    async def test_heartbeat_of_an_unknown_service_is_rejected(self) -> None:
        odd = {
            "address": self.host.upstream.address,
            "info": {"service": "nobody", "zone": "a", "slots": 4},
            "status": {"state": "ready", "sequence": 99},
            "born": 1000,
        }
        self.assertEqual(await self.send("Heartbeat", odd), 400)
        self.assertEqual((await self.fleet.call(self.host)).status, 200)
        incarnation = self.host.node.state.registry.current
        assert incarnation is not None
        self.assertEqual(incarnation.service, "finder")

    async def test_departure_is_acknowledged_once_it_is_stored(self) -> None:
        self.assertEqual(await self.send_draining(), 200)
        record = self.host.node.state.published.record
        self.assertTrue(record is not None and record.departed)
        await self.check_restarted_node_uses_no_left_upstream()

    async def test_deregistration_is_acknowledged_once_it_is_stored(self) -> None:
        self.assertEqual(await self.send("Deregister", {}), 200)
        await self.check_restarted_node_uses_no_left_upstream()

    # A second restart brought an upstream back into use, with a late heartbeat: the
    # process in between had written its row anew without the departure.
    async def test_departure_outlives_several_restarts(self) -> None:
        self.assertEqual(await self.send("Deregister", {"born": 1000}), 200)
        await self.check_restarted_node_uses_no_left_upstream(restarts=3)

    async def test_draining_outlives_several_restarts(self) -> None:
        self.assertEqual(await self.send_draining(), 200)
        await self.check_restarted_node_uses_no_left_upstream(restarts=3)

    # The departure was acknowledged, but not stored.
    async def test_departure_of_unknown_upstream_outlives_a_restart(self) -> None:
        self.host.upstream.stop()
        await self.restart()
        self.assertIsNone(self.host.node.state.registry.current)
        self.assertEqual(await self.send("Deregister", {"born": 1000}), 200)
        await self.check_restarted_node_uses_no_left_upstream()

    async def test_departure_before_the_first_row_is_stored(self) -> None:
        self.host = await self.fleet.add("n-3", slots=0)
        self.instance = self.host.upstream.instance
        await self.listen()
        self.assertEqual(await self.send("Deregister", {"born": 1000}), 200)
        await self.check_restarted_node_uses_no_left_upstream()

    # The row held the departure of the current upstream alone.
    async def test_departure_outlives_the_next_upstream(self) -> None:
        self.assertEqual(await self.send_draining(), 200)
        left, self.host.upstream.instance = self.host.upstream.instance, "i-next"
        self.host.send_heartbeat(born_ms=2000)
        await asyncio.sleep(SETTLE_S)
        self.host.upstream.instance = left
        await self.check_restarted_node_uses_no_left_upstream()

    async def test_departure_is_not_acknowledged_while_the_store_is_down(self) -> None:
        self.fleet.store.down = True
        before = len(self.host.upstream.calls)
        self.assertEqual(await self.send_draining(), 503)
        self.assertEqual(await self.send("Deregister", {}), 503)
        # The upstream gets no further calls all the same.
        for _ in range(8):
            await self.fleet.call(self.host)
        self.assertEqual(len(self.host.upstream.calls), before)
        self.fleet.store.down = False
        async with asyncio.timeout(3.0):
            while await self.send_draining() != 200:
                pass


class TestRowOfAnEarlierProcess(DepartureTestCase):
    """The row of a node holds what another process of the node has written."""

    def stored_record(self) -> UpstreamRecord:
        """Return the record in the row of the node."""
        value = self.fleet.store.tables[RECORD_TABLE]["n-1"].value
        assert value is not None
        return msgspec.json.decode(value, type=UpstreamRecord)

    def write(self, record: UpstreamRecord) -> None:
        """Write the row of the node, as a process that was stopping did."""
        self.fleet.store.put(RECORD_TABLE, "n-1", msgspec.json.encode(record))

    async def wait_until_served(self) -> None:
        """Wait until every node uses the upstream of the node."""
        async with asyncio.timeout(3.0):
            while not self.stored_record().serving:
                await asyncio.sleep(0.05)
        await self.fleet.wait_until_ready()

    # A write of the stopped process that took effect late left the upstream unused.
    async def test_late_write_does_not_take_the_upstream_out_of_use(self) -> None:
        self.write(replace(self.stored_record(), serving=False))
        await self.wait_until_served()

    # Reading its own row made a starting node publish that it had no upstream.
    async def test_restart_does_not_take_the_upstream_out_of_use(self) -> None:
        before = self.fleet.store.version
        await self.fleet.restart(self.host)
        await asyncio.sleep(SETTLE_S)
        written = [
            msgspec.json.decode(row.value or b"", type=UpstreamRecord)
            for table, row in self.fleet.store.history
            if table == RECORD_TABLE and row.key == "n-1" and row.version > before
        ]
        self.assertEqual([record for record in written if not record.serving], [])

    async def test_late_departure_is_kept(self) -> None:
        departure = Departure("i-0", 500)
        self.write(replace(self.stored_record(), departures=(departure,)))
        await asyncio.sleep(1.0)
        self.host.send_heartbeat(slots=8)
        async with asyncio.timeout(3.0):
            while self.stored_record().slots != 8:
                await asyncio.sleep(0.05)
        self.assertEqual(self.stored_record().departures, (departure,))

    async def test_silent_upstream_stays_known(self) -> None:
        self.host.upstream.stop()
        for _ in range(2):
            await self.fleet.restart(self.host)
            await asyncio.sleep(SETTLE_S)
        record = self.stored_record()
        self.assertEqual((record.instance, record.slots), ("i-n-1", 4))
        self.assertFalse(record.serving)
