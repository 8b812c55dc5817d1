"""Large answers on a narrow link."""

from __future__ import annotations

import asyncio
import unittest

from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.pacer import PIECE_BYTES, Pacer, pieces_of
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import (
    Behaviour,
    MeshUpstream,
    ReceivedCall,
    encode_answer,
)

# Half a megabyte a second.
NARROW_MBPS = 4.0


class TestPieces(unittest.TestCase):
    """How bodies are cut."""

    def test_pieces_make_up_the_body(self) -> None:
        for size in (0, 1, PIECE_BYTES, PIECE_BYTES + 1, 5 * PIECE_BYTES + 7):
            body = bytes(number % 251 for number in range(size))
            pieces = pieces_of(body)
            self.assertEqual(b"".join(pieces), body)
            self.assertLessEqual(max(len(piece) for piece in pieces), PIECE_BYTES)


class TestPacer(unittest.IsolatedAsyncioTestCase):
    """Who writes when."""

    async def asyncSetUp(self) -> None:
        self.meter = LinkMeter(NARROW_MBPS)
        self.pacer = Pacer(self.meter)
        self.loop = asyncio.get_running_loop()
        self.written: list[str] = []
        self.longest_wait_s = 0.0

    async def send(self, name: str, pieces: int, rank: int = 1) -> None:
        """Write a large answer."""
        for _ in range(pieces):
            await self.pacer.wait_turn(rank)
            now_s = self.loop.time()
            self.longest_wait_s = max(self.longest_wait_s, self.meter.backlog_s(now_s))
            self.meter.note(PIECE_BYTES, now_s)
            self.written.append(name)

    async def test_small_messages_wait_for_a_few_pieces_only(self) -> None:
        await asyncio.gather(*(self.send(f"a{n}", 8) for n in range(3)))
        # All three together take 0.39 s on the link.
        self.assertLess(self.longest_wait_s, 0.1)

    async def test_link_is_used_up(self) -> None:
        began_s = self.loop.time()
        await self.send("a", 30)
        took_s = self.loop.time() - began_s
        self.assertLess(took_s, 2 * self.meter.time_of_s(30 * PIECE_BYTES))

    async def test_large_answers_take_turns(self) -> None:
        await asyncio.gather(self.send("a", 10), self.send("b", 10))
        self.assertLess(self.written.index("b"), 4)
        self.assertGreater(self.written[10:].count("a"), 2)

    async def test_urgent_answers_go_first(self) -> None:
        await asyncio.gather(self.send("low", 12, rank=2), self.send("high", 6, rank=0))
        self.assertGreater(self.written[:9].count("high"), 4)

    async def test_sender_that_gave_up_holds_nobody_up(self) -> None:
        lost = asyncio.create_task(self.send("lost", 100))
        await asyncio.sleep(0.05)
        lost.cancel()
        async with asyncio.timeout(1.0):
            await self.send("a", 4)

    async def test_unknown_link_is_never_waited_for(self) -> None:
        pacer = Pacer(LinkMeter(0.0))
        began_s = self.loop.time()
        for _ in range(1000):
            await pacer.wait_turn(1)
        self.assertLess(self.loop.time() - began_s, 0.1)


def answer_with(body: bytes) -> Behaviour:
    """Return a behaviour that answers with a body."""

    async def answer(
        upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode_answer(call, body=body))

    return answer


class TestNarrowNode(unittest.IsolatedAsyncioTestCase):
    """Calls through a node whose link is narrow."""

    async def asyncSetUp(self) -> None:
        self.fleet = MeshFleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.fleet.configure(make_config(1))
        self.near = await self.fleet.add("n-1", slots=0, link_mbps=NARROW_MBPS)
        self.far = await self.fleet.add("n-2", link_mbps=NARROW_MBPS)
        await self.fleet.settle(upstreams=1)

    async def test_large_answer_arrives_whole(self) -> None:
        body = bytes(number % 251 for number in range(12 * PIECE_BYTES + 5))
        self.far.upstream.script.append(answer_with(body))
        answer = await self.fleet.call(self.near)
        self.assertEqual((answer.status, answer.body), (200, body))

    async def test_stopping_owner_sends_all_pieces(self) -> None:
        self.far.upstream.script.append(answer_with(bytes(60 * PIECE_BYTES)))
        large = asyncio.create_task(self.fleet.call(self.near))
        await asyncio.sleep(0.1)
        owner = self.far.node
        stopping = asyncio.create_task(owner._stop())
        # The upstream is done; its answer takes a second on the link.
        self.assertFalse(owner.owner.busy())
        self.assertTrue(owner.peers.busy())
        self.assertEqual(len((await large).body), 60 * PIECE_BYTES)
        stopping.cancel()

    async def test_small_answers_overtake_a_large_one(self) -> None:
        self.far.upstream.script.append(answer_with(bytes(40 * PIECE_BYTES)))
        large = asyncio.create_task(self.fleet.call(self.near))
        await asyncio.sleep(0.1)
        small = await self.fleet.call(self.near)
        self.assertEqual(small.status, 200)
        self.assertFalse(large.done())
        self.assertLess(small.took_s, 0.2)
        self.assertEqual(len((await large).body), 40 * PIECE_BYTES)

    async def test_answers_that_the_link_can_t_carry_in_time_are_refused(self) -> None:
        body = bytes(40 * PIECE_BYTES)
        script = self.far.upstream.script
        script.append(answer_with(body))
        # The first answer shows how large they are; it takes 0.65 s.
        await self.fleet.call(self.near)
        script.extend(answer_with(body) for _ in range(12))
        answers = await asyncio.gather(*(self.fleet.call(self.near) for _ in range(12)))
        statuses = [answer.status for answer in answers]
        self.assertEqual(set(statuses), {200, 503})
        for answer in answers:
            if answer.status == 503:
                # Half of the route's target, with the client's own connecting.
                self.assertLess(answer.took_s, 0.5)
                self.assertIn(b"retry-after", answer.headers)
