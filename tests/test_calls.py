"""Calls: leaving and crashed upstreams, nesting, deadlines, streaming."""

from __future__ import annotations

import hashlib
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import httpcore
import psutil

from gypsumlock.proxy.headers import CONTEXT
from gypsumlock.result_codes import ResultCode
from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example
from tests.standins.paced_call import PacedCall
from tests.standins.platform_server import PlatformControl
from tests.standins.processes import wait_until
from tests.standins.upstream_server import UpstreamControl

# Bounds of the brief and of issue 4.
LEAVING_S = 3.0
CRASHED_S = 6.0
LOAD_S = 5.0
# Memory that a node may gain while it streams bodies far larger than this.
STREAM_GROWTH_BYTES = 32 * 2**20
STREAM_BYTES = 64 * 2**20

PLANS = [
    InstancePlan("edge", "glasgow", ""),
    InstancePlan("bookings-1", "glasgow", "bookings"),
    InstancePlan("search-1", "glasgow", "search"),
    InstancePlan("search-2", "edinburgh", "search"),
    InstancePlan("reels-1", "perth", "reels"),
]


class CallCase(unittest.TestCase):
    """Starts one fleet for the class."""

    fleet: Fleet
    proxied = False
    plans = PLANS

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(cls.plans, cls.proxied).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        cls.fleet.wait_upstreams()
        version = cls.fleet.load_defaults(load_example("bowline"), cls.fleet["edge"])
        cls.fleet.wait_version(version)

    def setUp(self) -> None:
        self.fleet.wait_upstreams()

    def code_of(self, answer: httpcore.Response) -> int:
        return int(dict(answer.headers).get(b"gypsumlock-code", b"0"))


class TestLeavingAndCrashedUpstreams(CallCase):
    """Upstreams that go get no new work after a bounded time."""

    def load(self, path: str, seconds: float) -> list[httpcore.Response]:
        """Call through the edge, one call after the other, for a time."""
        answers = []
        give_up_at_s = time.monotonic() + seconds
        while time.monotonic() < give_up_at_s:
            answers.append(self.fleet["edge"].get(f"{path}?ms=5"))
        return answers

    def test_leaving_upstream_gets_no_new_work(self) -> None:
        leaver = self.fleet["search-1"]
        with ThreadPoolExecutor() as threads:
            load = threads.submit(self.load, "/search/x", LOAD_S)
            time.sleep(0.5)
            leaver.control_upstream(UpstreamControl(leaving=True))
            left_at_s = time.monotonic()
            answers = load.result()
        self.assertLess(leaver.record().last_begun_s - left_at_s, LEAVING_S)
        self.assertGreater(leaver.record().last_begun_s, 0)
        self.assertEqual({answer.status for answer in answers}, {200})
        leaver.control_upstream(UpstreamControl())

    def test_silent_upstream_is_removed(self) -> None:
        silent = self.fleet["search-1"]
        silent.control_upstream(UpstreamControl(mute=True))
        muted_at_s = time.monotonic()
        self.wait_gone(silent, muted_at_s)
        silent.control_upstream(UpstreamControl())

    def test_killed_instance_is_removed(self) -> None:
        killed = self.fleet["search-2"]
        assert killed.upstream is not None
        killed.node.kill()
        killed.upstream.kill()
        self.wait_gone(killed, time.monotonic())
        self.assertEqual(self.fleet["edge"].get("/search/x").status, 200)
        killed.start()

    def wait_gone(self, gone: Instance, since_s: float) -> None:
        """Every other node must stop routing to an instance in time."""
        for instance in self.fleet.instances:
            if instance is gone:
                continue
            wait_until(
                lambda i=instance: self.unused(i, gone),  # type: ignore[misc]
                CRASHED_S - (time.monotonic() - since_s),
                f"{instance.plan.name} does without {gone.plan.name}",
            )

    def unused(self, instance: Instance, gone: Instance) -> bool:
        known = self.fleet.upstreams(instance)
        return all(e["call_address"] != gone.calls for e in known)


class TestStaleMembership(CallCase):
    """A node that is cut off from its peers still believes in a leaver."""

    proxied = True

    def test_owner_node_refuses_calls_to_a_leaving_upstream(self) -> None:
        edge, leaver = self.fleet["edge"], self.fleet["search-1"]
        for instance in self.fleet.instances:
            assert instance.proxy is not None
            instance.proxy.cut(None if instance is edge else {edge.node.pid})
        leaver.control_upstream(UpstreamControl(leaving=True))
        # The announcement is repeated twice a second.
        time.sleep(1.0)
        left_at_s = time.monotonic()
        for _ in range(50):
            self.assertEqual(edge.get("/search/x?ms=1").status, 200)
        self.assertLess(leaver.record().last_begun_s, left_at_s)
        # The edge had not heard of it, or this would prove nothing.
        known = [e["call_address"] for e in self.fleet.upstreams(edge)]
        self.assertIn(leaver.calls, known)


class TestMassFailure(CallCase):
    """Most upstreams of the urgent work die at once, with the platform out."""

    plans = [
        InstancePlan("edge", "glasgow", ""),
        InstancePlan("bookings-1", "glasgow", "bookings"),
        InstancePlan("bookings-2", "glasgow", "bookings"),
        InstancePlan("bookings-3", "perth", "bookings"),
        InstancePlan("bookings-4", "stirling", "bookings"),
    ]

    def test_urgent_calls_succeed(self) -> None:
        with ThreadPoolExecutor(8) as threads:
            pending = []
            for index in range(400):
                if index == 40:
                    self.strike()
                pending.append(threads.submit(self.book))
                time.sleep(0.01)
            answers = [(p.result().status, self.outcome(p.result())) for p in pending]
        # What was in flight at the dead may have run; nothing else is lost.
        lost = {answer for answer in answers if answer[0] != 200}
        self.assertLessEqual(lost, {(502, "unknown"), (504, "unknown")})
        self.assertEqual({status for status, _ in answers[100:]}, {200})

    def strike(self) -> None:
        self.fleet.set_default("limits.ejection_s", 6.0, self.fleet["edge"])
        self.fleet.control_platform(PlatformControl("hang"))
        for name in ("bookings-1", "bookings-2", "bookings-3"):
            instance = self.fleet[name]
            assert instance.upstream is not None
            instance.node.kill()
            instance.upstream.kill()

    def book(self) -> httpcore.Response:
        return self.fleet["edge"].get("/book/x?ms=20", method="POST")

    def outcome(self, answer: httpcore.Response) -> str:
        return dict(answer.headers).get(b"gypsumlock-outcome", b"").decode()


class TestNestedCalls(CallCase):
    """Rank, deadline and depth go with a call through its upstreams."""

    def nested(self, path: str, chain: str) -> httpcore.Response:
        headers = {"x-test-nested": chain, "x-test-call": f"nest-{time.monotonic_ns()}"}
        return self.fleet["edge"].get(path, headers)

    def ranks_of_last_call(self) -> list[str]:
        entries: list[tuple[str, dict[str, str]]] = []
        for instance in self.fleet.instances:
            routed = (
                e for e in instance.log_entries() if e["message"] == "call routed"
            )
            entries.extend((e["time"], e["fields"]) for e in routed)
        entries.sort(key=lambda pair: pair[0])
        last = entries[-1][1]["call"]
        return [f["rank"] for _, f in entries if f["call"] == last]

    def test_rank_of_the_first_call_is_kept(self) -> None:
        answer = self.nested("/book/x", "/search/x,/reels/x")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.ranks_of_last_call(), ["booking"] * 3)

    def test_call_depth_is_limited_to_ten(self) -> None:
        chain = ",".join(["/search/x"] * 9)
        self.assertEqual(self.nested("/search/x?ms=1", chain).status, 200)
        deeper = self.nested("/search/x?ms=1", chain + ",/search/x")
        self.assertNotEqual(deeper.status, 200)
        # Refused for its depth, and not for another reason.
        refused = [
            entry["fields"]["code"]
            for instance in self.fleet.instances
            for entry in instance.log_entries()
            if entry["message"] == "call refused"
        ]
        self.assertEqual(refused, [ResultCode.CALL_TOO_DEEP.value])

    def test_client_can_not_raise_its_rank(self) -> None:
        forged = {CONTEXT.decode(): "eyJraW5kIjoiaG9wIn0=.AAAA"}
        answer = self.fleet["edge"].get("/profiles/x", forged)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.ranks_of_last_call(), ["browse"])

    def test_deadline_reaches_the_upstream(self) -> None:
        cancelled = sum(self.fleet[n].record().cancelled for n in SEARCHERS)
        started_s = time.monotonic()
        answer = self.fleet["edge"].get("/search/x?ms=8000")
        self.assertEqual((answer.status, self.code_of(answer)), (504, 85))
        self.assertLess(time.monotonic() - started_s, 3.0)
        wait_until(
            lambda: (
                sum(self.fleet[n].record().cancelled for n in SEARCHERS) > cancelled
            ),
            5,
            "the upstream is cancelled",
        )

    def test_client_that_leaves_cancels_the_upstream(self) -> None:
        before = self.fleet["bookings-1"].record().cancelled
        edge = self.fleet["edge"].calls
        PacedCall(edge, "POST", "/book/x", "wait", lambda: None).run(abandon=True)
        wait_until(
            lambda: self.fleet["bookings-1"].record().cancelled > before,
            5,
            "the upstream is cancelled",
        )


SEARCHERS = ("search-1", "search-2")


class TestResponses(CallCase):
    """Whole answers, each to its own caller."""

    def test_late_response_reaches_no_other_client(self) -> None:
        edge = self.fleet["edge"].calls
        for _ in range(5):
            PacedCall(edge, "GET", "/search/x", "wait", lambda: None).run(abandon=True)
            after = PacedCall(edge, "GET", "/search/x", "", lambda: None).run()
            self.assertTrue(after.complete, after)

    def test_many_callers_at_once_get_their_own(self) -> None:
        def call(number: int) -> bool:
            headers = {"x-test-call": f"own-{number}"}
            path = f"/search/x?ms={number % 7}&size={1000 * (number % 50)}"
            answer = self.fleet["edge"].get(path, headers)
            found = dict(answer.headers)
            digest = hashlib.sha256(answer.content).hexdigest()
            return (
                found[b"x-test-call"].decode() == f"own-{number}"
                and found[b"x-test-digest"].decode() == digest
            )

        with ThreadPoolExecutor(16) as threads:
            self.assertTrue(all(threads.map(call, range(300))))

    def test_large_bodies_stream_in_bounded_memory(self) -> None:
        nodes = [psutil.Process(i.node.pid) for i in self.fleet.instances]
        before = [node.memory_info().rss for node in nodes]
        content = b"r" * STREAM_BYTES
        answer = self.fleet["edge"].get(
            f"/reels/x?size={STREAM_BYTES}", method="POST", content=content,
            timeout_s=60,
        )  # fmt: skip
        found = dict(answer.headers)
        self.assertEqual(answer.status, 200)
        self.assertEqual(
            found[b"x-test-request-digest"].decode(),
            hashlib.sha256(content).hexdigest(),
        )
        self.assertEqual(
            found[b"x-test-digest"].decode(),
            hashlib.sha256(answer.content).hexdigest(),
        )
        for node, rss in zip(nodes, before, strict=True):
            self.assertLess(node.memory_info().rss - rss, STREAM_GROWTH_BYTES)

    def test_slow_client_causes_backpressure(self) -> None:
        nodes = [psutil.Process(i.node.pid) for i in self.fleet.instances]
        before = [node.memory_info().rss for node in nodes]
        host, _, port = self.fleet["edge"].calls.rpartition(":")
        with socket.create_connection((host, int(port))) as client:
            request = f"GET /reels/x?size={STREAM_BYTES} HTTP/1.1\r\nhost: mesh\r\n\r\n"
            client.sendall(request.encode())
            # Reads nothing, for longer than the whole answer would take.
            time.sleep(3)
            for node, rss in zip(nodes, before, strict=True):
                self.assertLess(node.memory_info().rss - rss, STREAM_GROWTH_BYTES)

    def test_urgent_calls_are_served_while_the_platform_is_down(self) -> None:
        self.fleet.control_platform(PlatformControl("hang"))
        try:
            for _ in range(30):
                answer = self.fleet["edge"].get("/book/x", method="POST")
                self.assertEqual(answer.status, 200)
                time.sleep(0.1)
        finally:
            self.fleet.control_platform(PlatformControl())
