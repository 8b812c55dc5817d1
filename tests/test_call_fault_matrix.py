"""Every fault of the data path at every step of a call; see `FAULTS` and `STEPS`.

Each cell of the matrix makes one POST (not idempotent) and one GET (idempotent)
through a node without an upstream, and injects one fault at one step. In every
cell:

- a response with status 200 is complete and belongs to its call;
- a POST runs at most once, and a call that a node reports as *not run* did not
  run;
- a planned stop aborts no call.
"""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example_defaults
from tests.standins.paced_call import STEPS, CallResult, PacedCall, ResponseState
from tests.standins.platform_server import PlatformControl
from tests.standins.upstream_server import UpstreamControl

SETTLE_TIMEOUT_S = 20.0
LATE_RUN_WAIT_S = 0.3
CALLS = (("POST", "/book/x"), ("GET", "/search/x"))

# The caller node (edge) has no upstream, so it forwards each call to an owner node,
# which is the node of an upstream. Each service has a second upstream, which a
# retried call would reach.
PLANS = [
    InstancePlan("edge", "glasgow", ""),
    InstancePlan("spare", "glasgow", ""),
    InstancePlan("bookings-1", "glasgow", "bookings"),
    InstancePlan("bookings-2", "glasgow", "bookings"),
    InstancePlan("search-1", "glasgow", "search"),
    InstancePlan("search-2", "glasgow", "search"),
]

OWNER_NAMES = ("bookings-1", "bookings-2", "search-1", "search-2")


@dataclass(frozen=True)
class InjectedFault:
    """Actions that inject a fault and end it."""

    inject: Callable[[Fleet], None]
    recover: Callable[[Fleet], None]
    # First step from which on the call must get a complete response despite the
    # fault; empty if there is none.
    complete_from: str = ""
    # True if the client disconnects at the step.
    abandon: bool = False


def for_each_upstream(action: Callable[[Instance], None]) -> Callable[[Fleet], None]:
    """Return an action that is applied to every instance with an upstream."""

    def apply(fleet: Fleet) -> None:
        for name in OWNER_NAMES:
            action(fleet[name])

    return apply


def upstream_process(method_name: str) -> Callable[[Instance], None]:
    """Return an action that calls a method of an upstream's process."""

    def act(instance: Instance) -> None:
        assert instance.upstream is not None
        getattr(instance.upstream, method_name)()

    return act


def set_control(control: UpstreamControl) -> Callable[[Instance], None]:
    """Return an action that changes how an upstream behaves."""
    return lambda instance: instance.control_upstream(control)


def do_nothing(fleet: Fleet) -> None:
    """Do nothing."""


def start_stopped_nodes(fleet: Fleet) -> None:
    """Start every node that has stopped."""
    for instance in fleet.instances:
        if instance.node.running():
            continue
        instance.node.start()


def stop_owner_nodes(fleet: Fleet) -> None:
    """Ask all owner nodes to stop."""
    for_each_upstream(lambda instance: instance.node.terminate())(fleet)


def change_default_and_stop_platform(fleet: Fleet) -> None:
    """Change a default, then make the platform unavailable."""
    value = 1 + time.time() % 500
    fleet.set_default("limits.ejection_s", value, fleet["spare"])
    fleet.control_platform(PlatformControl("down"))


def restart_owner_nodes(fleet: Fleet) -> None:
    """Wait until the owner nodes have stopped, then start them."""
    for name in OWNER_NAMES:
        fleet[name].node.wait(SETTLE_TIMEOUT_S)
    start_stopped_nodes(fleet)


RESET_CONTROL = set_control(UpstreamControl())

FAULTS: dict[str, InjectedFault] = {
    "upstream killed": InjectedFault(
        for_each_upstream(upstream_process("kill")),
        for_each_upstream(upstream_process("start")),
    ),
    "upstream paused": InjectedFault(
        for_each_upstream(upstream_process("pause")),
        for_each_upstream(upstream_process("resume")),
    ),
    "upstream slow": InjectedFault(
        for_each_upstream(set_control(UpstreamControl(work_ms=300))),
        for_each_upstream(RESET_CONTROL),
        complete_from="connect",
    ),
    "upstream truncates response": InjectedFault(
        for_each_upstream(set_control(UpstreamControl("half"))),
        for_each_upstream(RESET_CONTROL),
    ),
    "upstream drops connection": InjectedFault(
        for_each_upstream(set_control(UpstreamControl("drop"))),
        for_each_upstream(RESET_CONTROL),
    ),
    "upstream never answers": InjectedFault(
        for_each_upstream(set_control(UpstreamControl("silent"))),
        for_each_upstream(RESET_CONTROL),
    ),
    "upstream refuses": InjectedFault(
        for_each_upstream(set_control(UpstreamControl("refuse"))),
        for_each_upstream(RESET_CONTROL),
    ),
    "owner node killed": InjectedFault(
        for_each_upstream(lambda instance: instance.node.kill()),
        for_each_upstream(lambda instance: instance.node.start()),
    ),
    "owner node paused": InjectedFault(
        for_each_upstream(lambda instance: instance.node.pause()),
        for_each_upstream(lambda instance: instance.node.resume()),
    ),
    "owner node stopped": InjectedFault(
        stop_owner_nodes, restart_owner_nodes, complete_from="send body"
    ),
    "upstream leaving": InjectedFault(
        for_each_upstream(set_control(UpstreamControl(leaving=True))),
        for_each_upstream(RESET_CONTROL),
        complete_from="send body",
    ),
    "caller node killed": InjectedFault(
        lambda fleet: fleet["edge"].node.kill(),
        lambda fleet: fleet["edge"].node.start(),
    ),
    "caller node stopped": InjectedFault(
        lambda fleet: fleet["edge"].node.terminate(),
        lambda fleet: wait_and_start_node(fleet["edge"]),
        complete_from="connect",
    ),
    "client disconnects": InjectedFault(do_nothing, do_nothing, abandon=True),
    "platform down and configuration changed": InjectedFault(
        change_default_and_stop_platform,
        lambda fleet: fleet.control_platform(PlatformControl()),
        complete_from="connect",
    ),
}


def wait_and_start_node(instance: Instance) -> None:
    """Wait until a node has stopped, then start it."""
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
        version = cls.fleet.load_defaults(
            load_example_defaults("bowline"), cls.fleet["spare"]
        )
        cls.fleet.wait_version(version)

    def run_cell(self, fault: InjectedFault, step: str) -> None:
        self.fleet.wait_ready(SETTLE_TIMEOUT_S)
        self.fleet.wait_upstreams(SETTLE_TIMEOUT_S)
        # The fault is injected once, when both calls have reached the step.
        barrier = threading.Barrier(len(CALLS), lambda: fault.inject(self.fleet))
        with ThreadPoolExecutor() as threads:
            futures = [
                threads.submit(self.call, fault, step, method, path, barrier)
                for method, path in CALLS
            ]
        fault.recover(self.fleet)
        # A call must not run after its result is known: wait, to count late runs too.
        time.sleep(LATE_RUN_WAIT_S)
        for (method, _), future in zip(CALLS, futures, strict=True):
            with self.subTest(method=method):
                self.check_result(fault, step, method, future.result())

    def call(
        self,
        fault: InjectedFault,
        step: str,
        method: str,
        path: str,
        barrier: threading.Barrier,
    ) -> CallResult:
        call = PacedCall(
            self.fleet["edge"].call_address, method, path, step,
            lambda: barrier.wait(SETTLE_TIMEOUT_S),
        )  # fmt: skip
        return call.run(fault.abandon)

    def check_result(
        self, fault: InjectedFault, step: str, method: str, result: CallResult
    ) -> None:
        runs = sum(
            self.fleet[name].call_run_counts()[result.call_id] for name in OWNER_NAMES
        )
        self.assertIsNot(result.response_state, ResponseState.WRONG_CONTENT)
        if method == "POST":
            self.assertLessEqual(runs, 1)
        if result.outcome == "not-run":
            self.assertEqual(runs, 0)
        if result.complete:
            self.assertGreaterEqual(runs, 1)
        if fault.complete_from and STEPS.index(step) >= STEPS.index(
            fault.complete_from
        ):
            self.assertEqual(
                (result.status, result.response_state), (200, ResponseState.COMPLETE)
            )


def _add_cells() -> None:
    for name, fault in FAULTS.items():
        for step in STEPS:
            test_name = f"test_{name}_at_{step}".replace(" ", "_")
            method = _make_test(fault, step)
            # Test runners find a test that is selected by name through its `__name__`.
            method.__name__ = test_name
            setattr(TestCallFaultMatrix, test_name, method)


def _make_test(
    fault: InjectedFault, step: str
) -> Callable[[TestCallFaultMatrix], None]:
    def run(self: TestCallFaultMatrix) -> None:
        self.run_cell(fault, step)

    return run


_add_cells()
