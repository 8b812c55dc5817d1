"""Tests of large responses on a link of low bandwidth."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, LinkMeter, usable_mbps
from gypsumlock.mesh.pacer import (
    CHUNK_BYTES,
    MAX_BACKLOG_S,
    Pacer,
    split_into_chunks,
)
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import answer_with
from tests.standins.simulated_clock import run_simulated

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


class TestRanksOnFullLink(unittest.TestCase):
    """Downloads ask for more than a link carries, for ten seconds.

    The load is that of a machine of the users' grown fleet: answers of 20 kB behind
    downloads of 280 kB, which are more urgent by a rank.
    """

    LINK_MBPS = usable_mbps(10.5)
    DOWNLOAD_BYTES = 280_000
    ANSWER_BYTES = 20_000
    # Demand of the downloads, in units of the link's bandwidth.
    DEMAND = 1.1
    DURATION_S = 10.0
    # Latency targets of the users' routes, in seconds.
    DOWNLOAD_TARGET_S = 1.48
    ANSWER_TARGET_S = 5.166

    async def send(
        self,
        pacer: Pacer,
        meter: LinkMeter,
        size_bytes: int,
        rank: int,
        target_s: float,
    ) -> float:
        """Send an answer in chunks; return the time that it took, in seconds."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for chunk in split_into_chunks(bytes(size_bytes)):
            await pacer.wait_turn(rank, began_s + target_s)
            meter.record_write(len(chunk), loop.time())
        return loop.time() + meter.backlog_s(loop.time()) - began_s

    async def play(self, rank: int, interval_s: float) -> tuple[list[float], int]:
        """Return the times of answers of a rank, and the number of sent downloads."""
        meter = LinkMeter(self.LINK_MBPS)
        pacer = Pacer(meter)
        loop = asyncio.get_running_loop()
        downloads: list[asyncio.Task[float]] = []
        answers: list[asyncio.Task[float]] = []
        download_interval_s = meter.transmission_s(self.DOWNLOAD_BYTES) / self.DEMAND

        async def start_answers() -> None:
            await asyncio.sleep(2.0)
            while loop.time() < self.DURATION_S:
                answers.append(
                    loop.create_task(
                        self.send(
                            pacer, meter, self.ANSWER_BYTES, rank, self.ANSWER_TARGET_S
                        )
                    )
                )
                await asyncio.sleep(interval_s)

        starting = loop.create_task(start_answers())
        while loop.time() < self.DURATION_S:
            downloads.append(
                loop.create_task(
                    self.send(
                        pacer, meter, self.DOWNLOAD_BYTES, 1, self.DOWNLOAD_TARGET_S
                    )
                )
            )
            await asyncio.sleep(download_interval_s)
        await starting
        sent = sum(download.done() for download in downloads)
        took_s = [
            answer.result() if answer.done() else float("inf") for answer in answers
        ]
        await asyncio.gather(*downloads, *answers)
        # The answers of the last seconds had too little time.
        before_end = int((self.DURATION_S - 2.0 - self.ANSWER_TARGET_S) / interval_s)
        return took_s[:before_end], sent

    # Answers that were ready seconds before their node stopped never left (review/2).
    def test_lower_rank_is_sent_in_time(self) -> None:
        took_s, _ = run_simulated(self.play(rank=2, interval_s=0.3))
        self.assertGreater(len(took_s), 5)
        self.assertLess(max(took_s), self.ANSWER_TARGET_S)

    def test_most_of_the_link_goes_to_the_higher_rank(self) -> None:
        _, alone = run_simulated(self.play(rank=2, interval_s=100.0))
        _, shared = run_simulated(self.play(rank=2, interval_s=0.05))
        self.assertGreater(shared, 0.8 * alone)

    def test_urgent_answer_waits_for_one_more_chunk_at_most(self) -> None:
        took_s, _ = run_simulated(self.play(rank=0, interval_s=0.5))
        meter = LinkMeter(self.LINK_MBPS)
        chunk_s = meter.transmission_s(CHUNK_BYTES)
        # The backlog that is allowed, the chunk that was written on top of it, and the
        # answer itself.
        alone_s = MAX_BACKLOG_S + chunk_s + meter.transmission_s(self.ANSWER_BYTES)
        # A turn is granted half a chunk after the link is free for it.
        turns_s = 3 * chunk_s / 2
        self.assertLess(max(took_s), alone_s + turns_s + chunk_s)


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
