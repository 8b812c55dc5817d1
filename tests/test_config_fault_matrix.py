"""Every configuration fault at every step; see `CELLS`.

Each cell makes one change while one fault is present at one step, ends the
fault, and then judges the whole fleet: the change is committed exactly once,
in force everywhere within the target, and no node's record shows a move back.
"""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass

from gypsumlock.distribution import HistoryEntry
from gypsumlock.model import Defaults, Overrides, Selector
from gypsumlock.operator.messages import DefaultsReport, SetDefaultBody, VersionReport
from gypsumlock.result_codes import ResultCode
from tests.standins.checker import faults_in_records
from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example
from tests.standins.platform_server import PlatformControl
from tests.standins.processes import wait_until

CONVERGENCE_TARGET_S = 6.0
RESTART_TIMEOUT_S = 15.0
# Time for which a fault lasts once the change is under way.
FAULT_S = 1.0
PATH = "limits.ejection_s"

PLANS = [
    InstancePlan("one", "glasgow", ""),
    InstancePlan("two", "edinburgh", ""),
    InstancePlan("three", "stirling", ""),
    InstancePlan("four", "perth", ""),
    InstancePlan("five", "glasgow", ""),
]

STEPS = (
    "accept", "store", "commit", "announce", "fetch", "verify", "compile", "hold",
    "put in force", "restart",
)  # fmt: skip

ONE_COMPUTATION = (
    "the step is one computation without waiting, between fetch and hold; a fault "
    "inside it leaves what the same fault leaves at fetch"
)
ONE_WRITE = (
    "the step is one write of one reference, after the confirmations; a fault at it "
    "leaves what the same fault leaves at hold"
)
NO_PLATFORM = "the step asks nothing of the platform"
NO_OBJECT = "no object is read at this step"
NO_PEER = "no peer takes part in this step"
NO_OPERATOR = (
    "an operator's change is decided at commit; later steps know versions only"
)


@dataclass(frozen=True)
class Scenario:
    """What to do before the change, while it is under way, and after it."""

    arm: Callable[[Fleet], None]
    # Returns the operation ids of further changes that it had accepted.
    during: Callable[[Fleet], list[str] | None] = lambda fleet: None
    heal: Callable[[Fleet], None] = lambda fleet: None
    # True when the change may fail and has to be repeated to settle it.
    may_need_repeat: bool = False


def acceptor(fleet: Fleet) -> Instance:
    """Return the node that the change is sent to."""
    return fleet["one"]


def follower(fleet: Fleet) -> Instance:
    """Return the node that the fault befalls after acceptance."""
    return fleet["three"]


def platform(mode: str, operation: str, delay_s: float = 0.0) -> Scenario:
    """Let the platform misbehave for one kind of request."""
    control = PlatformControl(mode, delay_s, operation)  # type: ignore[arg-type]
    return Scenario(
        arm=lambda fleet: fleet.control_platform(control),
        heal=lambda fleet: fleet.control_platform(PlatformControl()),
        may_need_repeat=mode != "ok",
    )


def stopped_at(operation: str, how: str) -> Scenario:
    """Kill or pause the accepting node while the platform holds its request."""

    def arm(fleet: Fleet) -> None:
        fleet.control_platform(PlatformControl("hang", 0.0, operation))  # type: ignore[arg-type]

    def during(fleet: Fleet) -> None:
        strike(acceptor(fleet), how)
        fleet.control_platform(PlatformControl())

    return Scenario(arm, during, lambda f: revive(acceptor(f), how), True)


def acceptor_after_commit(how: str) -> Scenario:
    """Kill or pause the accepting node after the commit, before it knows."""

    def arm(fleet: Fleet) -> None:
        fleet.control_platform(PlatformControl("lose-answer", 0.0, "commit"))

    def during(fleet: Fleet) -> None:
        strike(acceptor(fleet), how)
        fleet.control_platform(PlatformControl())

    return Scenario(arm, during, lambda f: revive(acceptor(f), how), True)


def follower_while_fetching(how: str) -> Scenario:
    """Kill, pause or cut a follower while all links are slow."""

    def arm(fleet: Fleet) -> None:
        set_delay(fleet, 0.2)

    def during(fleet: Fleet) -> None:
        strike_in(fleet, follower(fleet), how)

    def heal(fleet: Fleet) -> None:
        set_delay(fleet, 0.0)
        revive_in(fleet, follower(fleet), how)

    return Scenario(arm, during, heal)


def follower_while_holding(how: str) -> Scenario:
    """Kill, pause or cut a follower that holds the version unconfirmed.

    Two of its four neighbours are paused, so that it can't be confirmed.
    """
    silent = ("four", "five")

    def arm(fleet: Fleet) -> None:
        for name in silent:
            fleet[name].node.pause()

    def during(fleet: Fleet) -> None:
        strike_in(fleet, follower(fleet), how)

    def heal(fleet: Fleet) -> None:
        for name in silent:
            fleet[name].node.resume()
        revive_in(fleet, follower(fleet), how)

    return Scenario(arm, during, heal)


def follower_restarting(also: Scenario) -> Scenario:
    """Kill a follower and start it again while another fault is present."""

    def arm(fleet: Fleet) -> None:
        follower(fleet).node.kill()
        also.arm(fleet)
        follower(fleet).node.start()

    return Scenario(arm, also.during, also.heal, also.may_need_repeat)


def cut_off() -> Scenario:
    """Cut a follower off from every peer, both ways."""
    return Scenario(
        arm=lambda fleet: strike_in(fleet, follower(fleet), "cut"),
        heal=lambda fleet: revive_in(fleet, follower(fleet), "cut"),
    )


def slow_links(delay_s: float) -> Scenario:
    """Hold back everything between nodes."""
    return Scenario(
        arm=lambda fleet: set_delay(fleet, delay_s),
        heal=lambda fleet: set_delay(fleet, 0.0),
    )


def crossing() -> Scenario:
    """Make two changes whose announcements overtake each other.

    Each node is told of both by several peers, over links of unlike delay, so
    that what was sent first arrives last, and everything arrives twice.
    """

    def arm(fleet: Fleet) -> None:
        for index, instance in enumerate(fleet.instances):
            assert instance.proxy is not None
            instance.proxy.delay_s = 0.05 + 0.15 * (index % 3)
        fleet.add_exception(
            f"crossing-{time.monotonic_ns()}",
            fleet["two"],
            Selector(route="reels", instance="nowhere"),
            Overrides(timeout_s=1.0),
        )

    return Scenario(arm, heal=lambda fleet: set_delay(fleet, 0.0))


def racing() -> Scenario:
    """Let another operator change the same defaults at the same time."""
    return Scenario(
        arm=lambda fleet: fleet.control_platform(PlatformControl("ok", 0.3)),
        during=lambda fleet: race(fleet),
        heal=lambda fleet: fleet.control_platform(PlatformControl()),
        may_need_repeat=True,
    )


CELLS: dict[str, dict[str, Scenario | str]] = {
    "platform down": {
        "accept": platform("down", "read"),
        "store": platform("down", "put"),
        "commit": platform("down", "commit"),
        "announce": platform("down", ""),
        "fetch": platform("down", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restarting(platform("down", "")),
    },
    "platform slow": {
        "accept": platform("ok", "read", 0.3),
        "store": platform("ok", "put", 0.8),
        "commit": platform("ok", "commit", 0.8),
        "announce": NO_PLATFORM,
        "fetch": platform("ok", "fetch", 0.8),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restarting(platform("ok", "", 0.3)),
    },
    "platform answer lost": {
        "accept": platform("hang", "read"),
        "store": platform("lose-answer", "put"),
        "commit": platform("lose-answer", "commit"),
        "announce": NO_PLATFORM,
        "fetch": platform("hang", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restarting(platform("hang", "read")),
    },
    "object missing": {
        "accept": NO_OBJECT,
        "store": NO_OBJECT,
        "commit": NO_OBJECT,
        "announce": NO_OBJECT,
        "fetch": platform("missing", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_OBJECT,
        "put in force": NO_OBJECT,
        "restart": follower_restarting(platform("missing", "fetch")),
    },
    "object corrupt": {
        "accept": NO_OBJECT,
        "store": NO_OBJECT,
        "commit": NO_OBJECT,
        "announce": NO_OBJECT,
        "fetch": "a corrupt object is fetched like any other; see verify",
        "verify": platform("corrupt", "fetch"),
        "compile": "a corrupt object fails at verify and never gets here",
        "hold": NO_OBJECT,
        "put in force": NO_OBJECT,
        "restart": follower_restarting(platform("corrupt", "fetch")),
    },
    "node killed": {
        "accept": stopped_at("read", "kill"),
        "store": stopped_at("put", "kill"),
        "commit": stopped_at("commit", "kill"),
        "announce": acceptor_after_commit("kill"),
        "fetch": follower_while_fetching("kill"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_while_holding("kill"),
        "put in force": ONE_WRITE,
        "restart": follower_restarting(follower_while_fetching("kill")),
    },
    "node paused": {
        "accept": stopped_at("read", "pause"),
        "store": stopped_at("put", "pause"),
        "commit": stopped_at("commit", "pause"),
        "announce": acceptor_after_commit("pause"),
        "fetch": follower_while_fetching("pause"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_while_holding("pause"),
        "put in force": ONE_WRITE,
        "restart": follower_restarting(follower_while_fetching("pause")),
    },
    "node cut off": {
        "accept": NO_PEER,
        "store": NO_PEER,
        "commit": NO_PEER,
        "announce": cut_off(),
        "fetch": follower_while_fetching("cut"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_while_holding("cut"),
        "put in force": ONE_WRITE,
        "restart": follower_restarting(cut_off()),
    },
    "slow link": {
        "accept": NO_PEER,
        "store": NO_PEER,
        "commit": NO_PEER,
        "announce": slow_links(0.15),
        "fetch": "the same links carry announcements and fetches; see announce",
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": "the same links carry confirmations; see announce",
        "put in force": ONE_WRITE,
        "restart": follower_restarting(slow_links(0.15)),
    },
    "messages reordered and duplicated": {
        "accept": NO_PEER,
        "store": NO_PEER,
        "commit": NO_PEER,
        "announce": crossing(),
        "fetch": "a fetch is one request and one answer on one stream",
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": "confirmations are the same heartbeats as announcements",
        "put in force": ONE_WRITE,
        "restart": follower_restarting(crossing()),
    },
    "operators race": {
        "accept": racing(),
        "store": "racing operators store different objects; see accept",
        "commit": "the race is decided here; see accept",
        "announce": NO_OPERATOR,
        "fetch": NO_OPERATOR,
        "verify": NO_OPERATOR,
        "compile": NO_OPERATOR,
        "hold": NO_OPERATOR,
        "put in force": NO_OPERATOR,
        "restart": NO_OPERATOR,
    },
}


def strike(instance: Instance, how: str) -> None:
    """Kill or pause a node."""
    if how == "kill":
        instance.node.kill()
    else:
        instance.node.pause()


def revive(instance: Instance, how: str) -> None:
    """Undo `strike`."""
    if how == "kill":
        if not instance.node.running():
            instance.node.start()
    else:
        instance.node.resume()


def strike_in(fleet: Fleet, instance: Instance, how: str) -> None:
    """Kill, pause or cut a node."""
    if how != "cut":
        strike(instance, how)
        return
    assert instance.proxy is not None
    instance.proxy.cut(None)
    for other in fleet.instances:
        if other is not instance and other.proxy is not None:
            other.proxy.cut({instance.node.pid})


def revive_in(fleet: Fleet, instance: Instance, how: str) -> None:
    """Undo `strike_in`."""
    if how != "cut":
        revive(instance, how)
        return
    for other in fleet.instances:
        if other.proxy is not None:
            other.proxy.heal()


def set_delay(fleet: Fleet, delay_s: float) -> None:
    """Hold back everything between nodes."""
    for instance in fleet.instances:
        assert instance.proxy is not None
        instance.proxy.delay_s = delay_s


def race(fleet: Fleet) -> list[str]:
    """Change the same defaults through another node, whoever wins."""
    other = fleet["two"]
    base = other.client.get("/v1/defaults", DefaultsReport).unwrap()
    operation = f"rival-{time.monotonic_ns()}"
    value = 1 + time.monotonic() % 500
    body = SetDefaultBody(PATH, value, base.revision, "rival", operation)
    accepted = other.client.send("POST", "/v1/defaults", body, VersionReport)
    return [operation] if accepted.is_ok() else []


class Change:
    """One change that runs in the background and can be repeated."""

    def __init__(self, fleet: Fleet, cell: str) -> None:
        self._client = acceptor(fleet).client
        self.operation = f"matrix-{time.monotonic_ns()}"
        self._value = 1 + time.time() % 500
        self._cell = cell
        self._base = 0
        self.version: int | None = None
        self._thread = threading.Thread(target=self.send, daemon=True)

    def begin(self) -> None:
        """Read the base and send the change without waiting."""
        base = self._client.get("/v1/defaults", DefaultsReport).unwrap()
        self._base = base.revision
        self._thread.start()

    def finish(self) -> None:
        """Wait for the answer of the change that was begun."""
        self._thread.join(20)

    def send(self) -> None:
        """Send the change; the same operation id every time."""
        body = SetDefaultBody(
            PATH, self._value, self._base, "founder", self.operation, self._cell
        )
        answer = self._client.send("POST", "/v1/defaults", body, VersionReport)
        if answer.is_ok():
            self.version = answer.unwrap().version
        elif answer.unwrap_err()[0].code is ResultCode.CONFIG_CONFLICT:
            # Another operator came first; start again from what is there now.
            current = self._client.get("/v1/defaults", DefaultsReport)
            self._base = current.map(lambda r: r.revision).unwrap_or(self._base)


class TestConfigFaultMatrix(unittest.TestCase):
    """One test method for each cell that can occur; see `_add_cells`."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(PLANS, proxied=True).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        document: Defaults = load_example("bowline")
        version = cls.fleet.load_defaults(document, cls.fleet.instances[0])
        cls.fleet.wait_version(version)

    def run_cell(self, fault: str, step: str, scenario: Scenario) -> None:
        fleet = self.fleet
        fleet.wait_ready()
        committed_before = self.history()
        pending = Change(fleet, f"{fault} at {step}")
        try:
            scenario.arm(fleet)
            pending.begin()
            time.sleep(FAULT_S / 2)
            also_accepted = scenario.during(fleet) or []
            time.sleep(FAULT_S / 2)
        finally:
            scenario.heal(fleet)
        pending.finish()
        if scenario.may_need_repeat:
            wait_until(lambda: settled(pending), 15, "the change is settled")
        self.assertIsNotNone(pending.version)
        assert pending.version is not None
        self.judge(pending, committed_before, also_accepted)

    def judge(
        self,
        pending: Change,
        committed_before: list[str],
        also_accepted: list[str],
    ) -> None:
        fleet = self.fleet
        assert pending.version is not None
        for instance in fleet.instances:
            wait_until(instance.ready, RESTART_TIMEOUT_S, f"{instance.plan.name} ready")
        fleet.wait_version(pending.version, CONVERGENCE_TARGET_S)
        operations = self.history()
        for operation in (pending.operation, *also_accepted):
            self.assertEqual(operations.count(operation), 1, operation)
        self.assertEqual(operations[-len(committed_before) :], committed_before)
        self.assertEqual(faults_in_records(fleet), [])

    def history(self) -> list[str]:
        """Return the operation ids of all versions, the newest first."""
        answer = self.fleet["two"].client.get(
            "/v1/history?limit=500", list[HistoryEntry]
        )
        return [entry.origin.operation_id for entry in answer.unwrap()]


def settled(pending: Change) -> bool:
    """Repeat the change until its outcome is known."""
    if pending.version is None:
        pending.send()
    return pending.version is not None


def _add_cells() -> None:
    for fault, row in CELLS.items():
        for step, cell in row.items():
            if isinstance(cell, str):
                continue
            name = f"test_{fault}_at_{step}".replace(" ", "_")
            method = _method(fault, step, cell)
            # A test that is asked for by name is looked up by this one.
            method.__name__ = name
            setattr(TestConfigFaultMatrix, name, method)


def _method(
    fault: str, step: str, scenario: Scenario
) -> Callable[[TestConfigFaultMatrix], None]:
    def run(self: TestConfigFaultMatrix) -> None:
        self.run_cell(fault, step, scenario)

    return run


_add_cells()


class TestMatrixIsComplete(unittest.TestCase):
    """Every cell has a scenario or a reason."""

    def test_every_fault_has_every_step(self) -> None:
        for fault, row in CELLS.items():
            self.assertEqual(tuple(row), STEPS, fault)
