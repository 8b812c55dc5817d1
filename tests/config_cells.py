"""The cells of the configuration fault matrix: every fault at every step.

A cell is a scenario, or the reason why the fault can't occur at the step.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gypsumlock.model import Overrides, Selector
from gypsumlock.operator.messages import DefaultsReport, SetDefaultBody, VersionReport
from tests.standins.fleet import Fleet, Instance, InstancePlan
from tests.standins.platform_server import PlatformControl

__all__ = ["CELLS", "CHANGED_DEFAULT", "PLANS", "STEPS", "Scenario", "accepting_node"]

# Path of the default that every cell changes.
CHANGED_DEFAULT = "limits.ejection_s"

PLANS = [
    InstancePlan("one", "glasgow", ""),
    InstancePlan("two", "edinburgh", ""),
    InstancePlan("three", "stirling", ""),
    InstancePlan("four", "perth", ""),
    InstancePlan("five", "glasgow", ""),
]

# Steps at which a fault is injected. At "announce", heartbeats report the version to
# peers.
STEPS = (
    "accept", "store", "commit", "announce", "fetch", "verify", "compile", "hold",
    "put in force", "restart",
)  # fmt: skip

ONE_COMPUTATION = (
    "the step is one synchronous computation between fetch and hold; a fault "
    "during it leaves the same state as the same fault at fetch"
)
ONE_WRITE = (
    "the step is one write of one reference after the confirmations; a fault during "
    "it leaves the same state as the same fault at hold"
)
NO_PLATFORM = "the step sends no request to the platform"
NO_OBJECT = "no object is read at this step"
NO_PEER = "no peer takes part in this step"
NO_OPERATOR = (
    "an operator's change is decided at commit; later steps handle versions only"
)


@dataclass(frozen=True)
class Scenario:
    """Actions before the change, while it is in progress, and after it."""

    inject_fault: Callable[[Fleet], None]
    # Returns the operation ids of other changes that it made and that were accepted.
    during: Callable[[Fleet], list[str] | None] = lambda fleet: None
    remove_fault: Callable[[Fleet], None] = lambda fleet: None
    # True if the change may fail, and must then be repeated until it is committed.
    may_need_repeat: bool = False


def accepting_node(fleet: Fleet) -> Instance:
    """Return the node that the change is sent to."""
    return fleet["one"]


def follower(fleet: Fleet) -> Instance:
    """Return the node that is affected by faults after acceptance."""
    return fleet["three"]


def platform_fault(mode: str, operation: str, delay_s: float = 0.0) -> Scenario:
    """Inject a fault of the platform for one kind of request."""
    control = PlatformControl(mode, delay_s, operation)  # type: ignore[arg-type]
    return Scenario(
        inject_fault=lambda fleet: fleet.control_platform(control),
        remove_fault=lambda fleet: fleet.control_platform(PlatformControl()),
        may_need_repeat=mode != "ok",
    )


def accepting_node_stopped_at(operation: str, fault: str) -> Scenario:
    """Kill or pause the accepting node while its request to the platform hangs."""

    def inject(fleet: Fleet) -> None:
        fleet.control_platform(PlatformControl("hang", 0.0, operation))  # type: ignore[arg-type]

    def during(fleet: Fleet) -> None:
        stop_node(accepting_node(fleet), fault)
        fleet.control_platform(PlatformControl())

    return Scenario(
        inject, during, lambda f: resume_node(accepting_node(f), fault), True
    )


def accepting_node_stopped_after_commit(fault: str) -> Scenario:
    """Kill or pause the accepting node after a commit whose response is lost."""

    def inject(fleet: Fleet) -> None:
        fleet.control_platform(PlatformControl("lose-answer", 0.0, "commit"))

    def during(fleet: Fleet) -> None:
        stop_node(accepting_node(fleet), fault)
        fleet.control_platform(PlatformControl())

    return Scenario(
        inject, during, lambda f: resume_node(accepting_node(f), fault), True
    )


def follower_fault_while_fetching(fault: str) -> Scenario:
    """Kill, pause or isolate a follower while all links are slow."""

    def inject(fleet: Fleet) -> None:
        set_delay(fleet, 0.2)

    def during(fleet: Fleet) -> None:
        inject_node_fault(fleet, follower(fleet), fault)

    def remove(fleet: Fleet) -> None:
        set_delay(fleet, 0.0)
        remove_node_fault(fleet, follower(fleet), fault)

    return Scenario(inject, during, remove)


def follower_fault_while_holding(fault: str) -> Scenario:
    """Kill, pause or isolate a follower that holds an unconfirmed version.

    Two of its four neighbours are paused, so that the version can't be confirmed.
    """
    paused_names = ("four", "five")

    def inject(fleet: Fleet) -> None:
        for name in paused_names:
            fleet[name].node.pause()

    def during(fleet: Fleet) -> None:
        inject_node_fault(fleet, follower(fleet), fault)

    def remove(fleet: Fleet) -> None:
        for name in paused_names:
            fleet[name].node.resume()
        remove_node_fault(fleet, follower(fleet), fault)

    return Scenario(inject, during, remove)


def follower_restart_during(other_fault: Scenario) -> Scenario:
    """Kill a follower, and start it again while another fault is present."""

    def inject(fleet: Fleet) -> None:
        follower(fleet).node.kill()
        other_fault.inject_fault(fleet)
        follower(fleet).node.start()

    return Scenario(
        inject,
        other_fault.during,
        other_fault.remove_fault,
        other_fault.may_need_repeat,
    )


def follower_isolated() -> Scenario:
    """Cut the links between a follower and every peer in both directions."""
    return Scenario(
        inject_fault=lambda fleet: inject_node_fault(fleet, follower(fleet), "cut"),
        remove_fault=lambda fleet: remove_node_fault(fleet, follower(fleet), "cut"),
    )


def slow_links(delay_s: float) -> Scenario:
    """Delay all traffic between nodes."""
    return Scenario(
        inject_fault=lambda fleet: set_delay(fleet, delay_s),
        remove_fault=lambda fleet: set_delay(fleet, 0.0),
    )


def overlapping_changes() -> Scenario:
    """Make two changes whose announcements arrive reordered and duplicated.

    Several peers announce both changes to each node over links with different
    delays, so that messages sent first arrive last, and every message arrives
    twice.
    """

    def inject(fleet: Fleet) -> None:
        for index, instance in enumerate(fleet.instances):
            assert instance.proxy is not None
            instance.proxy.delay_s = 0.05 + 0.15 * (index % 3)
        fleet.add_exception(
            f"crossing-{time.monotonic_ns()}",
            fleet["two"],
            Selector(route="reels", instance="nowhere"),
            Overrides(timeout_s=1.0),
        )

    return Scenario(inject, remove_fault=lambda fleet: set_delay(fleet, 0.0))


def racing_operators() -> Scenario:
    """Let another operator change the same defaults at the same time."""
    return Scenario(
        inject_fault=lambda fleet: fleet.control_platform(PlatformControl("ok", 0.3)),
        during=lambda fleet: change_from_other_node(fleet),
        remove_fault=lambda fleet: fleet.control_platform(PlatformControl()),
        may_need_repeat=True,
    )


CELLS: dict[str, dict[str, Scenario | str]] = {
    "platform down": {
        "accept": platform_fault("down", "read"),
        "store": platform_fault("down", "put"),
        "commit": platform_fault("down", "commit"),
        "announce": platform_fault("down", ""),
        "fetch": platform_fault("down", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restart_during(platform_fault("down", "")),
    },
    "platform slow": {
        "accept": platform_fault("ok", "read", 0.3),
        "store": platform_fault("ok", "put", 0.8),
        "commit": platform_fault("ok", "commit", 0.8),
        "announce": NO_PLATFORM,
        "fetch": platform_fault("ok", "fetch", 0.8),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restart_during(platform_fault("ok", "", 0.3)),
    },
    "platform answer lost": {
        "accept": platform_fault("hang", "read"),
        "store": platform_fault("lose-answer", "put"),
        "commit": platform_fault("lose-answer", "commit"),
        "announce": NO_PLATFORM,
        "fetch": platform_fault("hang", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_PLATFORM,
        "put in force": NO_PLATFORM,
        "restart": follower_restart_during(platform_fault("hang", "read")),
    },
    "object missing": {
        "accept": NO_OBJECT,
        "store": NO_OBJECT,
        "commit": NO_OBJECT,
        "announce": NO_OBJECT,
        "fetch": platform_fault("missing", "fetch"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": NO_OBJECT,
        "put in force": NO_OBJECT,
        "restart": follower_restart_during(platform_fault("missing", "fetch")),
    },
    "object corrupt": {
        "accept": NO_OBJECT,
        "store": NO_OBJECT,
        "commit": NO_OBJECT,
        "announce": NO_OBJECT,
        "fetch": "a corrupt object is fetched like any other; see verify",
        "verify": platform_fault("corrupt", "fetch"),
        "compile": "a corrupt object fails at verify and never reaches this step",
        "hold": NO_OBJECT,
        "put in force": NO_OBJECT,
        "restart": follower_restart_during(platform_fault("corrupt", "fetch")),
    },
    "node killed": {
        "accept": accepting_node_stopped_at("read", "kill"),
        "store": accepting_node_stopped_at("put", "kill"),
        "commit": accepting_node_stopped_at("commit", "kill"),
        "announce": accepting_node_stopped_after_commit("kill"),
        "fetch": follower_fault_while_fetching("kill"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_fault_while_holding("kill"),
        "put in force": ONE_WRITE,
        "restart": follower_restart_during(follower_fault_while_fetching("kill")),
    },
    "node paused": {
        "accept": accepting_node_stopped_at("read", "pause"),
        "store": accepting_node_stopped_at("put", "pause"),
        "commit": accepting_node_stopped_at("commit", "pause"),
        "announce": accepting_node_stopped_after_commit("pause"),
        "fetch": follower_fault_while_fetching("pause"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_fault_while_holding("pause"),
        "put in force": ONE_WRITE,
        "restart": follower_restart_during(follower_fault_while_fetching("pause")),
    },
    "node cut off": {
        "accept": NO_PEER,
        "store": NO_PEER,
        "commit": NO_PEER,
        "announce": follower_isolated(),
        "fetch": follower_fault_while_fetching("cut"),
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": follower_fault_while_holding("cut"),
        "put in force": ONE_WRITE,
        "restart": follower_restart_during(follower_isolated()),
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
        "restart": follower_restart_during(slow_links(0.15)),
    },
    "messages reordered and duplicated": {
        "accept": NO_PEER,
        "store": NO_PEER,
        "commit": NO_PEER,
        "announce": overlapping_changes(),
        "fetch": "a fetch is one request and one response on one stream",
        "verify": ONE_COMPUTATION,
        "compile": ONE_COMPUTATION,
        "hold": "confirmations are the same heartbeats as announcements",
        "put in force": ONE_WRITE,
        "restart": follower_restart_during(overlapping_changes()),
    },
    "operators race": {
        "accept": racing_operators(),
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


def stop_node(instance: Instance, fault: str) -> None:
    """Kill or pause a node."""
    if fault == "kill":
        instance.node.kill()
    else:
        instance.node.pause()


def resume_node(instance: Instance, fault: str) -> None:
    """Undo `stop_node`."""
    if fault == "kill":
        if not instance.node.running():
            instance.node.start()
    else:
        instance.node.resume()


def inject_node_fault(fleet: Fleet, instance: Instance, fault: str) -> None:
    """Kill or pause a node, or cut all its links."""
    if fault != "cut":
        stop_node(instance, fault)
        return
    assert instance.proxy is not None
    instance.proxy.block(None)
    for other in fleet.instances:
        if other is not instance and other.proxy is not None:
            other.proxy.block({instance.node.pid})


def remove_node_fault(fleet: Fleet, instance: Instance, fault: str) -> None:
    """Undo `inject_node_fault`."""
    if fault != "cut":
        resume_node(instance, fault)
        return
    for other in fleet.instances:
        if other.proxy is not None:
            other.proxy.clear_faults()


def set_delay(fleet: Fleet, delay_s: float) -> None:
    """Delay all traffic between nodes."""
    for instance in fleet.instances:
        assert instance.proxy is not None
        instance.proxy.delay_s = delay_s


def change_from_other_node(fleet: Fleet) -> list[str]:
    """Change the same defaults through another node; either change may be first.

    Returns the operation id if this change was accepted.
    """
    other = fleet["two"]
    base = other.client.get("/v1/defaults", DefaultsReport).unwrap()
    operation_id = f"rival-{time.monotonic_ns()}"
    value = 1 + time.monotonic() % 500
    body = SetDefaultBody(CHANGED_DEFAULT, value, base.revision, "rival", operation_id)
    accepted = other.client.send("POST", "/v1/defaults", body, VersionReport)
    return [operation_id] if accepted.is_ok() else []
