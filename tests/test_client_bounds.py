"""Decisions about clients that no one controls, under the load they are for."""

from __future__ import annotations

import asyncio
import unittest

from gypsumlock.mesh.connection_table import ConnectionTable
from gypsumlock.mesh.descriptor_shares import DescriptorShares
from gypsumlock.mesh.frames import FRAME_STALL_TIMEOUT_S
from gypsumlock.mesh.peer_server import InboundConnection
from gypsumlock.mesh.unfinished_bodies import (
    MIN_STALL_S,
    PROGRESS_BYTES,
    UnfinishedBodies,
    UnfinishedBody,
)
from gypsumlock.mesh.write_watch import WriteWatch
from gypsumlock.section_limit import SECTION_SLACK_BYTES, SLICE_BYTES, SectionLimit
from tests.standins.mesh_fleet import MeshFleet
from tests.test_memory_bounds import RecordingTransport

MAX_HEADER_BYTES = 16_384


class TestSectionLimit(unittest.TestCase):
    """Sections of a request that never end, or end just within the limit."""

    def test_section_without_end_is_noticed_within_a_slice(self) -> None:
        limit = SectionLimit()
        read_bytes = 0
        while limit.record_slice(1000, MAX_HEADER_BYTES):
            read_bytes += 1000
        allowed_bytes = MAX_HEADER_BYTES + SECTION_SLACK_BYTES + SLICE_BYTES
        self.assertLessEqual(read_bytes, allowed_bytes)

    def test_progress_begins_a_new_section(self) -> None:
        limit = SectionLimit()
        for _ in range(100):
            self.assertTrue(limit.record_slice(MAX_HEADER_BYTES, MAX_HEADER_BYTES))
            limit.end_section()
            self.assertTrue(limit.record_slice(SLICE_BYTES, MAX_HEADER_BYTES))


class _Body(UnfinishedBody):
    """A body that nobody has to refuse."""

    def give_up(self) -> None:
        pass


class TestUnfinishedBodies(unittest.TestCase):
    """A crowd that stalls or drips, beside a client that sends slowly but steadily."""

    def test_steady_body_outlives_the_crowd(self) -> None:
        bodies = UnfinishedBodies()
        crowd = [_Body() for _ in range(100)]
        steady = _Body()
        for body in (steady, *crowd):
            bodies.begin(body, 0.0)
        for body in crowd:
            bodies.record(body, 60_000_000, 0.0)
        for step in range(1, 100):
            now_s = 0.1 * step
            # A hundred times the crowd's rate, at which it stays for hours.
            bodies.record(steady, step * PROGRESS_BYTES // 10, now_s)
            for body in crowd:
                bodies.record(body, 60_000_000 + step, now_s)
        given_up = [bodies.take_stalled(9.9) for _ in range(101)]
        self.assertEqual(set(given_up), {*crowd, None})

    def test_no_body_is_given_up_at_once(self) -> None:
        bodies = UnfinishedBodies()
        bodies.begin(_Body(), 0.0)
        self.assertIsNone(bodies.take_stalled(MIN_STALL_S / 2))


class TestConnectionTable(unittest.TestCase):
    """Connections at the limit: idle ones of a crowd, busy and kept ones of callers."""

    def test_busy_and_kept_connections_outlive_silent_ones(self) -> None:
        table: ConnectionTable[str] = ConnectionTable(10)
        for name in ("busy", "kept"):
            table.add(name)
            table.mark_busy(name)
        table.mark_idle("kept")
        closed = [table.add(f"silent-{number}") for number in range(1000)]
        self.assertEqual(closed[8:], [f"silent-{number}" for number in range(992)])
        self.assertLessEqual({"busy", "kept"}, table.connections)

    def test_upload_in_progress_outlives_silent_ones(self) -> None:
        table: ConnectionTable[str] = ConnectionTable(3)
        for name in ("upload", "silent"):
            table.add(name)
        table.mark_reading("upload")
        closed = [table.add(f"new-{number}") for number in range(4)]
        self.assertNotIn("upload", closed)

    def test_new_connection_is_closed_if_all_are_busy(self) -> None:
        table: ConnectionTable[str] = ConnectionTable(1)
        table.add("busy")
        table.mark_busy("busy")
        self.assertEqual(table.add("new"), "new")
        self.assertEqual(table.connections, {"busy"})


class TestDescriptorShares(unittest.TestCase):
    """Descriptors of the smallest machine in the largest fleet."""

    def test_shares_leave_a_connection_to_each_other_node(self) -> None:
        nodes, max_fds = 1300, 4100
        shares = DescriptorShares(max_fds)
        self.assertGreaterEqual(shares.peers, nodes)
        others = shares.clients + shares.peers + 2 * shares.control
        self.assertLess(others + nodes, max_fds)

    def test_unknown_number_of_descriptors_limits_nothing(self) -> None:
        shares = DescriptorShares()
        self.assertEqual((shares.clients, shares.peers, shares.control), (0, 0, 0))


class _SlowTransport(RecordingTransport):
    """A transport whose client reads a part of what waits at each check."""

    def __init__(self, unsent_bytes: int, read_bytes: int) -> None:
        super().__init__()
        self._unsent_bytes = unsent_bytes
        self._read_bytes = read_bytes

    def get_write_buffer_size(self) -> int:
        self._unsent_bytes = max(0, self._unsent_bytes - self._read_bytes)
        return self._unsent_bytes


class TestStalledConnections(unittest.IsolatedAsyncioTestCase):
    """Connections on which nothing moves any more."""

    async def test_only_a_client_that_reads_nothing_is_disconnected(self) -> None:
        for read_bytes, closed in ((0, True), (1, False)):
            transport = _SlowTransport(1000, read_bytes)
            watch = WriteWatch(lambda: 0.01)
            watch.start(transport)
            watch.record_write(0)
            await asyncio.sleep(0.1)
            watch.stop()
            with self.subTest(read_bytes=read_bytes):
                self.assertEqual(transport.closed, closed)

    # The rest of a frame that never came was awaited for good.
    async def test_unfinished_frame_is_given_up(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        host = await fleet.add("n-1")
        transport = RecordingTransport()
        connection = InboundConnection(host.node.peer_server)
        connection.connection_made(transport)
        connection.data_received((100_000).to_bytes(4, "big") + bytes(1000))
        connection.last_received_s -= FRAME_STALL_TIMEOUT_S
        connection._check_stall()
        self.assertTrue(transport.closed)
        connection.connection_lost(None)
