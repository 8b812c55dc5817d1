"""Calls through mesh nodes, with upstreams that misbehave in every known way."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
import uvloop

from gypsumlock.mesh.model import ServiceShare, UpstreamRecord
from tests.standins.mesh_fleet import ClientResponse, MeshFleet, MeshHost, make_config
from tests.standins.mesh_upstream import (
    answer_error,
    answer_late_extra,
    answer_twice,
    answer_until_close,
    answer_with_garbage,
    reject_unexecuted,
    reset_connection,
    reset_until_close,
    truncate_answer,
)


class MeshCase(unittest.IsolatedAsyncioTestCase):
    """Two places of one service, in two zones, and a configuration."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config())
        self.near = await self.fleet.add("n-1", zone="a")
        self.far = await self.fleet.add("n-2", zone="b")
        await self.fleet.wait_until_ready()

    def runs(self) -> int:
        """Return how many calls reached an upstream."""
        return len(self.near.upstream.calls) + len(self.far.upstream.calls)

    def script_all(self, *behaviours: object) -> None:
        """Tell every upstream how to treat its next calls."""
        for place in self.fleet.hosts:
            place.upstream.script.extend(behaviours)  # type: ignore[arg-type]


class TestForwarding(MeshCase):
    """What an upstream gets, and what a client gets."""

    async def test_answer_is_passed_on_unchanged(self) -> None:
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.body.startswith(b"to "))
        self.assertTrue(answer.headers[b"server-seal"].startswith(b"seal-"))

    async def test_call_is_passed_on_unchanged(self) -> None:
        await self.fleet.call(
            self.near, "/book/x?y=%20z", "POST", b"body", headers={"X-Own": "kept"}
        )
        seen = (self.near.upstream.calls + self.far.upstream.calls)[0]
        self.assertEqual(seen.method, b"POST")
        self.assertEqual(seen.target, b"/book/x?y=%20z")
        self.assertEqual(seen.body, b"body")
        self.assertEqual(seen.headers[b"x-own"], b"kept")
        self.assertEqual(seen.headers[b"host"], b"a.example")

    async def test_caller_service_is_set_whatever_was_sent(self) -> None:
        await self.fleet.call(self.near, headers={"Caller-Service": "forged"})
        seen = (self.near.upstream.calls + self.far.upstream.calls)[0]
        self.assertEqual(seen.headers[b"caller-service"], b"finder")

    async def test_deadline_is_what_is_left_of_the_shorter_bound(self) -> None:
        await self.fleet.call(self.near, deadline_ms=900)
        await self.fleet.call(self.near, deadline_ms=60_000)
        calls = self.near.upstream.calls + self.far.upstream.calls
        given = sorted(int(seen.headers[b"deadline-ms"]) for seen in calls)
        self.assertTrue(800 <= given[0] <= 900, given)
        self.assertTrue(1900 <= given[1] <= 2000, given)

    async def test_instance_is_named(self) -> None:
        await self.fleet.call(self.near, headers={"Target-Instance": "forged"})
        seen = (self.near.upstream.calls + self.far.upstream.calls)[0]
        self.assertIn(seen.headers[b"target-instance"], (b"i-n-1", b"i-n-2"))

    async def test_unknown_route_is_not_found(self) -> None:
        self.assertEqual((await self.fleet.call(self.near, "/other/")).status, 404)

    async def test_answer_without_length_is_whole(self) -> None:
        self.script_all(answer_until_close)
        answer = await self.fleet.call(self.near)
        self.assertEqual((answer.status, answer.body), (200, b"open end"))


class TestMisbehaviour(MeshCase):
    """Answers that are lost, broken, doubled or someone else's."""

    async def check_lost(self, behaviour: object) -> None:
        """A repeatable call is answered by the other upstream, another isn't run."""
        self.near.upstream.script.append(behaviour)  # type: ignore[arg-type]
        self.far.upstream.script.append(behaviour)  # type: ignore[arg-type]
        answer = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.runs(), 1)
        self.near.upstream.script.clear()
        self.far.upstream.script.clear()
        self.script_all(behaviour)
        loser = self.near if self.far.upstream.calls else self.far
        loser.upstream.script.clear()
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.status, 200)

    async def test_answer_is_lost(self) -> None:
        await self.check_lost(reset_connection)

    async def test_answer_is_cut(self) -> None:
        await self.check_lost(truncate_answer)

    async def test_answer_is_no_http(self) -> None:
        await self.check_lost(answer_with_garbage)

    async def test_open_answer_is_reset(self) -> None:
        await self.check_lost(reset_until_close)

    async def test_second_answer_reaches_nobody(self) -> None:
        self.script_all(answer_twice, answer_twice)
        answers = [await self.fleet.call(self.near) for _ in range(6)]
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        self.assertNotIn(b"second", [answer.body for answer in answers])

    async def test_answer_of_another_call_is_passed_over(self) -> None:
        self.script_all(answer_late_extra)
        answer = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual((answer.status, answer.body), (200, b"yours"))

    async def test_failed_run_is_repeated_only_where_it_may_be(self) -> None:
        self.script_all(answer_error)
        answer = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual((answer.status, self.runs()), (500, 1))

    async def test_rejected_call_goes_on_to_another_upstream(self) -> None:
        self.near.upstream.script.append(reject_unexecuted)
        answer = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual(answer.status, 200)

    async def test_call_rejected_everywhere_is_refused_as_not_run(self) -> None:
        self.script_all(reject_unexecuted, reject_unexecuted)
        answer = await self.fleet.call(self.near, "/book/x", "POST", b"b")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers[b"retry-after"]), 0.0)


class TestForgottenConnections(MeshCase):
    """Upstreams that forget idle connections sooner than they announce."""

    async def test_booking_is_not_lost_to_a_forgotten_connection(self) -> None:
        for place in (self.near, self.far):
            place.upstream.forget_after_s = 0.3
        for _ in range(4):
            answer = await self.fleet.call(self.near, "/book/x", "POST", b"x")
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.45)

    async def test_one_forgotten_connection_is_a_lesson(self) -> None:
        self.far.send_heartbeat(leaving=True)
        await self.fleet.wait_until_ready(upstreams=1)
        upstream = self.near.upstream
        upstream.forget_after_s = 0.5
        answers = []
        for _ in range(4):
            answers.append(await self.fleet.call(self.near))
            await asyncio.sleep(0.6)
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [200, 502, 200, 200])


class TestTimes(MeshCase):
    """Deadlines, timeouts, and clients that leave."""

    async def test_timeout_of_the_route_is_kept(self) -> None:
        self.fleet.configure(make_config(2, timeout_s=0.3))
        await self.wait_version(2)
        self.near.upstream.delay_s = self.far.upstream.delay_s = 5.0
        answer = await self.fleet.call(self.near, deadline_ms=60_000)
        self.assertEqual(answer.status, 504)
        self.assertLess(answer.took_s, 0.8)

    async def test_client_that_leaves_ends_a_repeatable_run(self) -> None:
        seen = await self.leave("/search/x", "GET", b"")
        self.assertTrue(seen.abandoned)

    async def test_client_that_leaves_does_not_break_a_booking_off(self) -> None:
        seen = await self.leave("/book/x", "POST", b"b")
        self.assertFalse(seen.abandoned)

    async def leave(self, path: str, method: str, body: bytes):  # type: ignore[no-untyped-def]
        """Send a call, leave while it runs, and return it as it was seen."""
        self.near.upstream.delay_s = self.far.upstream.delay_s = 0.4
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.15):
                await self.fleet.call(self.near, path, method, body)
        await asyncio.sleep(0.15)
        return (self.near.upstream.calls + self.far.upstream.calls)[0]

    async def wait_version(self, version: int) -> None:
        """Wait until every node runs a version."""
        for _ in range(600):
            tables = [place.node.state.table for place in self.fleet.hosts]
            if all(table and table.version == version for table in tables):
                return
            await asyncio.sleep(0.01)
        self.fail(f"version {version} is not in force")


class TestOverload(MeshCase):
    """More calls than the slots take."""

    async def flood(self, count: int, path: str, method: str) -> list[ClientResponse]:
        """Send calls at the same time; return their answers."""
        return await asyncio.gather(
            *(self.fleet.call(self.near, path, method) for _ in range(count))
        )

    async def test_upstream_never_runs_more_than_its_slots(self) -> None:
        self.near.upstream.delay_s = self.far.upstream.delay_s = 0.1
        answers = await self.flood(60, "/search/x", "GET")
        self.assertLessEqual(self.near.upstream.most_running, 4)
        self.assertLessEqual(self.far.upstream.most_running, 4)
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served), 30)

    async def test_refused_calls_have_not_run(self) -> None:
        self.near.upstream.delay_s = self.far.upstream.delay_s = 0.3
        answers = await self.flood(60, "/book/x", "POST")
        seen = self.near.upstream.calls + self.far.upstream.calls
        ran = [call.headers[b"request-id"] for call in seen]
        refused = {x.request_id for x in answers if x.status == 503}
        self.assertGreater(len(refused), 0)
        self.assertEqual(refused & set(ran), set())
        self.assertEqual(len(ran), len(set(ran)))


class TestRepeats(MeshCase):
    """Repeats stay within the fleet's bound, however often owners refuse."""

    async def test_refusals_of_owners_earn_no_repeats(self) -> None:
        bounds = self.near.node.state.bounds
        bounds.retry_allowance = 0.0
        for place in self.fleet.hosts:
            place.upstream.script.extend([reject_unexecuted] * 200)
        count = 100
        for _ in range(count):
            await self.fleet.call(self.near)
        repeats = self.runs() - count
        self.assertLessEqual(repeats, bounds.retry_ratio * count)


class TestConfiguration(MeshCase):
    """Versions from the operator's row."""

    async def test_route_without_upstream_is_refused_for_now(self) -> None:
        self.fleet.configure(make_config(2, shares=(ServiceShare("nobody", 1.0),)))
        await TestTimes.wait_version(self, 2)  # type: ignore[arg-type]
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.headers)

    async def test_older_version_is_never_taken(self) -> None:
        self.fleet.configure(make_config(5))
        await TestTimes.wait_version(self, 5)  # type: ignore[arg-type]
        self.fleet.configure(make_config(4))
        await asyncio.sleep(1.0)
        versions = [place.node.state.table for place in self.fleet.hosts]
        self.assertEqual([table and table.version for table in versions], [5, 5])

    async def test_lost_history_is_read_anew(self) -> None:
        self.fleet.store.set_down(True)
        self.fleet.configure(make_config(8))
        self.fleet.store.forget_history()
        self.fleet.store.set_down(False)
        await TestTimes.wait_version(self, 8)  # type: ignore[arg-type]

    async def test_node_without_configuration_refuses(self) -> None:
        self.fleet.store.set_down(True)
        await self.fleet.restart(self.near)
        await asyncio.sleep(0.1)
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.status, 503)
        self.assertFalse(self.near.node.state.ready())


class TestLeaving(MeshCase):
    """Upstreams and nodes that leave."""

    async def fill(self, count: int = 20) -> list[int]:
        """Send calls one after the other; return their statuses."""
        return [(await self.fleet.call(self.near)).status for _ in range(count)]

    async def test_leaving_upstream_gets_nothing_more(self) -> None:
        self.near.send_heartbeat(leaving=True)
        before = len(self.near.upstream.calls)
        self.assertEqual(await self.fill(), [200] * 20)
        self.assertEqual(len(self.near.upstream.calls), before)

    async def test_departed_upstream_gets_nothing_after_a_restart(self) -> None:
        self.near.deregister()
        await self.fleet.wait_until_ready(upstreams=1)
        await self.fleet.restart(self.near)
        await self.fleet.wait_until_ready(upstreams=1)
        before = len(self.near.upstream.calls)
        self.near.send_heartbeat()
        # Longer than readers collect changes: a record would have spread by then.
        await asyncio.sleep(1.0)
        self.assertEqual(await self.fill(), [200] * 20)
        self.assertEqual(len(self.near.upstream.calls), before)

    async def test_crashed_upstream_is_passed_over(self) -> None:
        self.near.upstream.stop()
        self.assertEqual(await self.fill(), [200] * 20)

    async def test_killed_node_is_passed_over(self) -> None:
        await self.stop_hard(self.far)
        self.assertEqual(await self.fill(), [200] * 20)

    async def stop_hard(self, place: MeshHost) -> None:
        """End a node without a word."""
        assert place.task is not None
        place.task.cancel()
        place.node.close()
        await asyncio.sleep(0)

    async def test_stop_cuts_no_call(self) -> None:
        self.near.upstream.delay_s = self.far.upstream.delay_s = 0.2
        calls = [
            asyncio.create_task(self.fleet.call(self.near, "/book/x", "POST"))
            for _ in range(8)
        ]
        await asyncio.sleep(0.05)
        self.near.stop_requested.set()
        answers = [await call for call in calls]
        self.assertEqual([answer.status for answer in answers], [200] * 8)
        self.assertFalse(self.near.node.state.ready())
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.headers[b"connection"], b"close")
        assert self.near.task is not None
        async with asyncio.timeout(6.0):
            await self.near.task

    async def test_stopping_node_asks_for_answers_before_its_end(self) -> None:
        self.near.node.state.bounds.grace_s = 2.0
        self.near.stop_requested.set()
        await asyncio.sleep(0.2)
        await self.fleet.call(self.near, deadline_ms=9000)
        call = (self.near.upstream.calls + self.far.upstream.calls)[-1]
        self.assertLess(int(call.headers[b"deadline-ms"]), 1400)

    async def test_stop_refuses_calls_that_never_got_a_slot(self) -> None:
        self.fleet.configure(make_config(2, timeout_s=20.0, target_latency_s=15.0))
        await TestTimes.wait_version(self, 2)  # type: ignore[arg-type]
        self.near.upstream.delay_s = self.far.upstream.delay_s = 4.0
        calls = [
            asyncio.create_task(
                self.fleet.call(self.near, "/book/x", "POST", deadline_ms=20_000)
            )
            for _ in range(24)
        ]
        await asyncio.sleep(0.2)
        self.near.stop_requested.set()
        answers = await asyncio.gather(*calls)
        seen = self.near.upstream.calls + self.far.upstream.calls
        ran = {call.headers[b"request-id"] for call in seen}
        refused = [answer for answer in answers if answer.status == 503]
        self.assertGreater(len(refused), 0)
        self.assertEqual({answer.request_id for answer in refused} & ran, set())
        longest_s = max(answer.took_s for answer in refused)
        self.assertLess(longest_s, self.near.node.state.bounds.grace_s)


class TestSilence(MeshCase):
    """A node that can be reached no more, without a reset."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near.send_heartbeat(leaving=True)
        self.third = await self.fleet.add("n-3", zone="b")
        await self.fleet.wait_until_ready(upstreams=2)
        await self.fleet.call(self.near)

    def silence(self, place: MeshHost, silent: bool = True) -> None:
        """Let a node read nothing, as behind a partition, or read again."""
        for link in place.node.peer_server.links:
            assert link.transport is not None
            if silent:
                link.transport.pause_reading()
            else:
                link.transport.resume_reading()

    async def test_repeatable_call_is_sent_elsewhere_in_time(self) -> None:
        # The slower one is chosen only once the other is known to be silent.
        self.far.upstream.delay_s = 0.01
        self.third.upstream.delay_s = 0.3
        for _ in range(12):
            await self.fleet.call(self.near)
        self.silence(self.far)
        before = len(self.third.upstream.calls)
        answers = [await self.fleet.call(self.near) for _ in range(3)]
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertGreater(len(self.third.upstream.calls), before)
        self.assertGreater(max(answer.took_s for answer in answers), 0.4)
        # The route's target is a second.
        self.assertLess(max(answer.took_s for answer in answers), 1.0)

    async def test_call_without_another_upstream_waits_for_its_answer(self) -> None:
        self.third.send_heartbeat(leaving=True)
        await self.fleet.wait_until_ready(upstreams=1)
        # The connection is there before it goes silent.
        await self.fleet.call(self.near)
        self.silence(self.far)
        loop = asyncio.get_running_loop()
        loop.call_later(0.7, self.silence, self.far, False)
        answer = await self.fleet.call(self.near)
        self.assertEqual(answer.status, 200)
        self.assertGreater(answer.took_s, 0.6)

    async def test_stopping_node_waits_for_a_silent_one(self) -> None:
        for _ in range(3):
            await self.fleet.call(self.near)
        # Pings are not answered meanwhile.
        self.far.upstream.delay_s = self.third.upstream.delay_s = 1.5
        calls = [
            asyncio.create_task(self.fleet.call(self.near, "/book/x", "POST", b"x"))
            for _ in range(4)
        ]
        while self.far.upstream.running + self.third.upstream.running < len(calls):
            await asyncio.sleep(0.005)
        self.near.stop_requested.set()
        for place in (self.far, self.third):
            self.silence(place)
        statuses = [(await call).status for call in calls]
        self.assertEqual(statuses, [200] * 4)


class TestStore(MeshCase):
    """The node's own row while the store fails."""

    async def test_lost_answer_of_a_write_does_no_harm(self) -> None:
        self.fleet.store.responses_to_lose = 1
        self.near.send_heartbeat(leaving=True)
        await self.fleet.wait_until_ready(upstreams=1)
        self.near.send_heartbeat(born_ms=2000)
        await self.fleet.wait_until_ready(upstreams=2)

    async def test_record_is_back_within_two_seconds_of_the_store(self) -> None:
        self.fleet.store.set_down(True)
        await asyncio.sleep(2.0)
        self.near.send_heartbeat(leaving=True)
        await asyncio.sleep(1.0)
        self.fleet.store.set_down(False)
        async with asyncio.timeout(2.0):
            await self.fleet.wait_until_ready(upstreams=1)

    async def test_calls_go_on_without_the_store(self) -> None:
        self.fleet.store.set_down(True)
        statuses = [(await self.fleet.call(self.near)).status for _ in range(10)]
        self.assertEqual(statuses, [200] * 10)

    async def test_address_of_a_lost_node_belongs_to_the_newest(self) -> None:
        old = UpstreamRecord(
            "n-0", self.far.addresses.peers, "a", "finder", "i-0", 1, 4, serving=True
        )
        self.far.send_heartbeat(leaving=True)
        await self.fleet.wait_until_ready(upstreams=1)
        self.fleet.store.put("gypsumlock-nodes", "n-0", msgspec.json.encode(old))
        await asyncio.sleep(0.8)
        self.far.send_heartbeat(born_ms=2000)
        await asyncio.sleep(1.2)
        views = self.near.node.directory.views("finder")
        self.assertEqual({view.node for view in views}, {"n-1", "n-2"})

    async def test_foreign_rows_name_no_upstream(self) -> None:
        self.fleet.store.put("gypsumlock-nodes", "n-9", b"\xff\x00 not a record")
        self.fleet.store.put("gypsumlock-nodes", "n-8", b'["n-7","1.2.3.4:5"]')
        await asyncio.sleep(0.8)
        await self.fleet.wait_until_ready(upstreams=2)


class TestSilentStore(MeshCase):
    """A store that swallows calls, and comes back without a word."""

    async def test_version_is_in_force_soon_after_the_store_is_back(self) -> None:
        self.fleet.store.hang_waits = True
        await asyncio.sleep(0.5)
        self.fleet.configure(make_config(2))
        await asyncio.sleep(1.0)
        self.fleet.store.hang_waits = False
        # Stable 3 s after its return, and 2 s for the version.
        async with asyncio.timeout(5.0):
            await TestTimes.wait_version(self, 2)  # type: ignore[arg-type]


class TestLongCalls(unittest.TestCase):
    """Calls that take far longer than silence may last, on the loop of real nodes.

    Its clock stands still within a millisecond, in which a near node answers.
    """

    def test_long_call_is_answered(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            answer = runner.run(self.call_for(2.5))
        self.assertEqual(answer.status, 200)

    async def call_for(self, delay_s: float) -> ClientResponse:
        """Return the answer of an upstream that takes some time."""
        async with MeshFleet() as fleet:
            fleet.configure(make_config(1, timeout_s=4.0, target_latency_s=4.0))
            near = await fleet.add("n-1", slots=0)
            far = await fleet.add("n-2")
            await fleet.wait_until_ready(upstreams=1)
            far.upstream.delay_s = delay_s
            return await fleet.call(near, deadline_ms=4000)
