"""Tests of large responses on a link of low bandwidth."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, LinkMeter
from gypsumlock.mesh.pacer import CHUNK_BYTES, Pacer, split_into_chunks
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import (
    Behaviour,
    MeshUpstream,
    ReceivedCall,
    encode_response,
)

# 0.5 megabytes per second.
LINK_MBPS = 4.0


class TestChunks(unittest.TestCase):
    """Bodies are split into chunks."""

    def test_chunks_add_up_to_the_body(self) -> None:
        for size in (0, 1, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES + 7):
            body = bytes(number % 251 for number in range(size))
            chunks = list(split_into_chunks(body))
            self.assertEqual(b"".join(chunks), body)
            self.assertLessEqual(max(len(chunk) for chunk in chunks), CHUNK_BYTES)


class TestPacer(unittest.IsolatedAsyncioTestCase):
    """Order and timing of the chunks of several senders."""

    async def asyncSetUp(self) -> None:
        self.meter = LinkMeter(LINK_MBPS)
        self.pacer = Pacer(self.meter)
        self.loop = asyncio.get_running_loop()
        self.written: list[str] = []
        self.longest_wait_s = 0.0

    async def send(
        self, name: str, chunks: int, rank: int = 1, target_s: float = 1.0
    ) -> None:
        """Write a large response in chunks."""
        for _ in range(chunks):
            await self.pacer.wait_turn(rank, target_s)
            now_s = self.loop.time()
            self.longest_wait_s = max(self.longest_wait_s, self.meter.backlog_s(now_s))
            self.meter.record_write(CHUNK_BYTES, now_s)
            self.written.append(name)

    async def test_small_messages_wait_for_a_few_chunks_only(self) -> None:
        await asyncio.gather(*(self.send(f"a{n}", 8) for n in range(3)))
        # The three responses together take 0.39 s on the link.
        self.assertLess(self.longest_wait_s, 0.1)

    async def test_link_is_fully_used(self) -> None:
        started_at_s = self.loop.time()
        await self.send("a", 30)
        took_s = self.loop.time() - started_at_s
        self.assertLess(took_s, 2 * self.meter.transmission_s(30 * CHUNK_BYTES))

    async def test_earlier_target_of_a_rank_goes_first(self) -> None:
        later = self.send("later", 10, target_s=2.0)
        earlier = self.send("earlier", 10, target_s=1.0)
        await asyncio.gather(later, earlier)
        # The first chunks are written before both senders wait.
        self.assertEqual(self.written[4:12].count("earlier"), 8)

    async def test_responses_that_fit_the_link_meet_their_targets(self) -> None:
        """Twelve responses, whose targets leave each of them its time on the link."""
        took_s: list[float] = []
        chunks = 4
        slot_s = self.meter.transmission_s(chunks * CHUNK_BYTES)
        started_at_s = self.loop.time()

        async def respond(number: int) -> None:
            await self.send(f"r{number}", chunks, target_s=number)
            took_s.append((self.loop.time() - started_at_s) / (number + 1))

        await asyncio.gather(*(respond(number) for number in range(12)))
        self.assertLess(max(took_s), 2 * slot_s)

    async def test_urgent_responses_go_first(self) -> None:
        await asyncio.gather(self.send("low", 12, rank=2), self.send("high", 6, rank=0))
        self.assertGreater(self.written[:9].count("high"), 4)

    async def test_cancelled_sender_does_not_block_others(self) -> None:
        cancelled = asyncio.create_task(self.send("cancelled", 100))
        await asyncio.sleep(0.05)
        cancelled.cancel()
        async with asyncio.timeout(1.0):
            await self.send("a", 4)

    async def test_link_of_unknown_bandwidth_causes_no_wait(self) -> None:
        pacer = Pacer(LinkMeter(0.0))
        started_at_s = self.loop.time()
        for _ in range(1000):
            await pacer.wait_turn(1, 1.0)
        self.assertLess(self.loop.time() - started_at_s, 0.1)


def answer_with(body: bytes) -> Behaviour:
    """Return a behaviour that responds with a body."""

    async def respond(
        upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode_response(call, body=body))

    return respond


class TestLowBandwidthLink(unittest.IsolatedAsyncioTestCase):
    """Calls between nodes whose links have low bandwidth."""

    async def asyncSetUp(self) -> None:
        self.fleet = MeshFleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.fleet.configure(make_config(1))
        self.near = await self.fleet.add("n-1", slots=0, link_mbps=LINK_MBPS)
        self.far = await self.fleet.add("n-2", link_mbps=LINK_MBPS)
        await self.fleet.wait_until_ready(upstreams=1)
        self.written_chunks = 0
        record_write = LinkMeter.record_write

        def count_chunk(meter: LinkMeter, size_bytes: int, now_s: float) -> None:
            if size_bytes > CHUNK_BYTES:
                self.written_chunks += 1
            record_write(meter, size_bytes, now_s)

        patcher = mock.patch.object(LinkMeter, "record_write", count_chunk)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def test_large_response_arrives_whole(self) -> None:
        body = bytes(number % 251 for number in range(12 * CHUNK_BYTES + 5))
        self.far.upstream.script.append(answer_with(body))
        response = await self.fleet.call(self.near)
        self.assertEqual((response.status, response.body), (200, body))

    async def test_stopping_owner_sends_all_chunks(self) -> None:
        self.far.upstream.script.append(answer_with(bytes(60 * CHUNK_BYTES)))
        large = asyncio.create_task(self.fleet.call(self.near))
        owner = self.far.node
        # The upstream responds at once; its response takes a second on the link.
        while owner.owner.busy() or not owner.peer_server.busy():
            self.assertFalse(large.done())
            await asyncio.sleep(0.005)
        stopping = asyncio.create_task(owner._stop())
        self.assertEqual(len((await large).body), 60 * CHUNK_BYTES)
        stopping.cancel()

    async def test_small_responses_overtake_a_large_one(self) -> None:
        self.far.upstream.script.append(answer_with(bytes(40 * CHUNK_BYTES)))
        large = asyncio.create_task(self.fleet.call(self.near))
        await asyncio.sleep(0.1)
        small = await self.fleet.call(self.near)
        self.assertEqual(small.status, 200)
        self.assertFalse(large.done())
        self.assertLess(small.took_s, 0.2)
        self.assertEqual(len((await large).body), 40 * CHUNK_BYTES)

    async def test_responses_too_slow_for_the_link_are_refused(self) -> None:
        body = bytes(40 * CHUNK_BYTES)
        script = self.far.upstream.script
        script.append(answer_with(body))
        # The node learns the response size from the first call, which takes 0.77 s on
        # the link.
        await self.fleet.call(self.near)
        script.extend(answer_with(body) for _ in range(12))
        sent_before = self.written_chunks
        chunks_at_refusal: list[int] = []

        async def call() -> int:
            response = await self.fleet.call(self.near)
            if response.status == 503:
                self.assertIn(b"retry-after", response.headers)
                chunks_at_refusal.append(self.written_chunks - sent_before)
            return response.status

        statuses = await asyncio.gather(*(call() for _ in range(12)))
        self.assertEqual(set(statuses), {200, 503})
        # Half of the route's latency target, as time on the link.
        max_chunks = 0.5 * LINK_MBPS * BYTES_PER_MEGABIT / CHUNK_BYTES
        self.assertLess(max(chunks_at_refusal), max_chunks)
