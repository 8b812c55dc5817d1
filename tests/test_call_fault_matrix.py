"""Every fault of the data path at every step of a call; see `CELLS`.

Each cell makes one POST (not idempotent) and one GET (idempotent) through a
node without an upstream, with the fault at one step. Whatever happens:

- an answer with status 200 is whole and the caller's own;
- a POST runs at most once, and a refusal as *not run* means that nothing ran;
- a planned stop cuts nothing.
"""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example
from tests.standins.paced_call import STEPS, CallResult, PacedCall, ResponseState
from tests.standins.platform_server import PlatformControl
from tests.standins.upstream_server import UpstreamControl

SETTLE_TIMEOUT_S = 20.0
LATE_S = 0.3
CALLS = (("POST", "/book/x"), ("GET", "/search/x"))

# The caller's node has no upstream, so each call takes a hop. Each service has a
# second upstream, which a call that is sent again would reach.
PLANS = [
    InstancePlan("edge", "glasgow", ""),
    InstancePlan("spare", "glasgow", ""),
    InstancePlan("bookings-1", "glasgow", "bookings"),
    InstancePlan("bookings-2", "glasgow", "bookings"),
    InstancePlan("search-1", "glasgow", "search"),
    InstancePlan("search-2", "glasgow", "search"),
]

OWNERS = ("bookings-1", "bookings-2", "search-1", "search-2")


@dataclass(frozen=True)
class Fault:
    """Brings about a fault and ends it."""

    strike: Callable[[Fleet], None]
    heal: Callable[[Fleet], None]
    # Step from which on the call must be answered whole all the same.
    whole_from: str = ""
    # True when the client leaves at the step.
    abandon: bool = False


def each_upstream(action: Callable[[Instance], None]) -> Callable[[Fleet], None]:
    """Apply an action to every instance with an upstream."""

    def apply(fleet: Fleet) -> None:
        for name in OWNERS:
            action(fleet[name])

    return apply


def upstream_process(name: str) -> Callable[[Instance], None]:
    """Return an action on the process of an upstream."""

    def act(instance: Instance) -> None:
        assert instance.upstream is not None
        getattr(instance.upstream, name)()

    return act


def mode(control: UpstreamControl) -> Callable[[Instance], None]:
    """Return an action that changes how an upstream behaves."""
    return lambda instance: instance.control_upstream(control)


def nothing(fleet: Fleet) -> None:
    """Do nothing."""


def restart_leaving(fleet: Fleet) -> None:
    """Start every node that was asked to stop, once it has ended."""
    for instance in fleet.instances:
        if instance.node.running():
            continue
        instance.node.start()


def stop_owner_nodes(fleet: Fleet) -> None:
    """Ask the nodes beside the upstreams to stop."""
    each_upstream(lambda instance: instance.node.terminate())(fleet)


def change_and_cut_platform(fleet: Fleet) -> None:
    """Change a default, then take the platform down."""
    value = 1 + time.time() % 500
    fleet.set_default("limits.ejection_s", value, fleet["spare"])
    fleet.control_platform(PlatformControl("down"))


def await_stop(fleet: Fleet) -> None:
    """Wait until the stopped nodes have ended, then start them."""
    for name in OWNERS:
        fleet[name].node.wait(SETTLE_TIMEOUT_S)
    restart_leaving(fleet)


NORMAL = mode(UpstreamControl())

FAULTS: dict[str, Fault] = {
    "upstream killed": Fault(
        each_upstream(upstream_process("kill")),
        each_upstream(upstream_process("start")),
    ),
    "upstream paused": Fault(
        each_upstream(upstream_process("pause")),
        each_upstream(upstream_process("resume")),
    ),
    "upstream slow": Fault(
        each_upstream(mode(UpstreamControl(work_ms=300))),
        each_upstream(NORMAL),
        whole_from="connect",
    ),
    "upstream answers half": Fault(
        each_upstream(mode(UpstreamControl("half"))), each_upstream(NORMAL)
    ),
    "upstream drops connection": Fault(
        each_upstream(mode(UpstreamControl("drop"))), each_upstream(NORMAL)
    ),
    "upstream never answers": Fault(
        each_upstream(mode(UpstreamControl("silent"))), each_upstream(NORMAL)
    ),
    "upstream refuses": Fault(
        each_upstream(mode(UpstreamControl("refuse"))), each_upstream(NORMAL)
    ),
    "owner node killed": Fault(
        each_upstream(lambda instance: instance.node.kill()),
        each_upstream(lambda instance: instance.node.start()),
    ),
    "owner node paused": Fault(
        each_upstream(lambda instance: instance.node.pause()),
        each_upstream(lambda instance: instance.node.resume()),
    ),
    "owner node stopped": Fault(stop_owner_nodes, await_stop, whole_from="send body"),
    "upstream leaving": Fault(
        each_upstream(mode(UpstreamControl(leaving=True))),
        each_upstream(NORMAL),
        whole_from="send body",
    ),
    "caller node killed": Fault(
        lambda fleet: fleet["edge"].node.kill(),
        lambda fleet: fleet["edge"].node.start(),
    ),
    "caller node stopped": Fault(
        lambda fleet: fleet["edge"].node.terminate(),
        lambda fleet: wait_and_start(fleet["edge"]),
        whole_from="connect",
    ),
    "client gone": Fault(nothing, nothing, abandon=True),
    "platform down and configuration changed": Fault(
        change_and_cut_platform,
        lambda fleet: fleet.control_platform(PlatformControl()),
        whole_from="connect",
    ),
}


def wait_and_start(instance: Instance) -> None:
    """Wait until a stopped node has ended, then start it."""
    instance.node.wait(SETTLE_TIMEOUT_S)
    instance.node.start()


class TestCallFaultMatrix(unittest.TestCase):
    """One test method for each fault and step; see `_add_cells`."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(PLANS, overrides={"stop": {"linger_s": 0.3}}).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        cls.fleet.wait_upstreams()
        version = cls.fleet.load_defaults(load_example("bowline"), cls.fleet["spare"])
        cls.fleet.wait_version(version)

    def run_cell(self, fault: Fault, step: str) -> None:
        self.fleet.wait_ready(SETTLE_TIMEOUT_S)
        self.fleet.wait_upstreams(SETTLE_TIMEOUT_S)
        # Both calls reach the step before the fault strikes, once.
        barrier = threading.Barrier(len(CALLS), lambda: fault.strike(self.fleet))
        with ThreadPoolExecutor() as threads:
            running = [
                threads.submit(self.call, fault, step, method, path, barrier)
                for method, path in CALLS
            ]
        fault.heal(self.fleet)
        # What is still on its way must not run later.
        time.sleep(LATE_S)
        for (method, _), result in zip(CALLS, running, strict=True):
            with self.subTest(method=method):
                self.judge(fault, step, method, result.result())

    def call(
        self,
        fault: Fault,
        step: str,
        method: str,
        path: str,
        barrier: threading.Barrier,
    ) -> CallResult:
        call = PacedCall(
            self.fleet["edge"].calls, method, path, step,
            lambda: barrier.wait(SETTLE_TIMEOUT_S),
        )  # fmt: skip
        return call.run(fault.abandon)

    def judge(self, fault: Fault, step: str, method: str, result: CallResult) -> None:
        runs = sum(self.fleet[name].runs()[result.call_id] for name in OWNERS)
        self.assertIsNot(result.response_state, ResponseState.WRONG)
        if method == "POST":
            self.assertLessEqual(runs, 1)
        if result.outcome == "not-run":
            self.assertEqual(runs, 0)
        if result.complete:
            self.assertGreaterEqual(runs, 1)
        if fault.whole_from and STEPS.index(step) >= STEPS.index(fault.whole_from):
            self.assertEqual(
                (result.status, result.response_state), (200, ResponseState.WHOLE)
            )


def _add_cells() -> None:
    for name, fault in FAULTS.items():
        for step in STEPS:
            title = f"test_{name}_at_{step}".replace(" ", "_")
            method = _method(fault, step)
            # A test that is asked for by name is looked up by this one.
            method.__name__ = title
            setattr(TestCallFaultMatrix, title, method)


def _method(fault: Fault, step: str) -> Callable[[TestCallFaultMatrix], None]:
    def run(self: TestCallFaultMatrix) -> None:
        self.run_cell(fault, step)

    return run


_add_cells()
