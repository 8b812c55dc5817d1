"""Uploads over links of low bandwidth."""

from __future__ import annotations

import asyncio
import unittest

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, usable_mbps
from gypsumlock.mesh.upload_time import UploadTime
from tests.standins.mesh_fleet import MeshFleet, make_config

LINK_MBPS = 10.0
UPLOAD = bytes(360_000)
# Time of the upload on one link.
UPLOAD_S = len(UPLOAD) / (usable_mbps(LINK_MBPS) * BYTES_PER_MEGABIT)


class TestUploadTime(unittest.TestCase):
    """Time of a body on two links."""

    def upload(self, queue_s: float, own_s: float = 0.0) -> UploadTime:
        return UploadTime(len(UPLOAD), queue_s, own_s, LINK_MBPS)

    def test_slower_link_decides(self) -> None:
        self.assertAlmostEqual(self.upload(0.5, 0.1).total_s, 0.5 + UPLOAD_S)
        self.assertAlmostEqual(self.upload(0.5, 2.0).total_s, 2.5)

    def test_body_behind_others_is_refused_if_it_is_late(self) -> None:
        self.assertTrue(self.upload(1.0).is_refused(2.0))
        self.assertFalse(self.upload(0.1).is_refused(2.0))

    def test_body_that_delays_nobody_is_sent_with_all_of_its_time(self) -> None:
        alone = self.upload(0.0)
        self.assertFalse(alone.is_refused(UPLOAD_S))
        self.assertEqual(alone.deduction_s(UPLOAD_S), 0.0)
        self.assertEqual(alone.deduction_s(3.0), alone.total_s)

    def test_links_of_unknown_bandwidth_take_no_time(self) -> None:
        unknown = UploadTime(len(UPLOAD), 0.0, 0.0, 0.0)
        self.assertFalse(unknown.is_refused(0.02))
        self.assertEqual(unknown.deduction_s(0.02), 0.0)


class TestUploads(unittest.IsolatedAsyncioTestCase):
    """A node without an upstream sends uploads to the owner of one."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=5.0))
        self.near = await self.fleet.add("n-1", slots=0, link_mbps=LINK_MBPS)
        self.far = await self.fleet.add("n-2", slots=20, link_mbps=LINK_MBPS)
        await self.fleet.wait_until_ready(upstreams=1)

    async def upload(self, deadline_ms: int) -> tuple[int, float]:
        response = await self.fleet.call(
            self.near, "/book/x", "POST", UPLOAD, deadline_ms
        )
        return response.status, response.took_s

    async def test_uploads_beyond_the_link_are_refused_as_not_run(self) -> None:
        count = 12
        results = await asyncio.gather(*(self.upload(3000) for _ in range(count)))
        answered = [status for status, _ in results].count(200)
        refused = [took_s for status, took_s in results if status == 503]
        self.assertEqual(answered + len(refused), count)
        # Half of the time may be used for the link.
        self.assertLessEqual(answered, 1.5 / UPLOAD_S + 1)
        self.assertGreaterEqual(answered, 1)
        self.assertLess(max(refused), 1.0)
        self.assertEqual(len(self.far.upstream.calls), answered)

    async def test_deadline_excludes_the_time_on_the_way(self) -> None:
        self.assertEqual((await self.upload(3000))[0], 200)
        received_ms = int(self.far.upstream.calls[0].headers[b"deadline-ms"])
        self.assertLessEqual(received_ms, 3000 - 1000 * UPLOAD_S)
