"""The cells of the configuration's fault matrix: every fault at every step.

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

__all__ = ["CELLS", "PATH", "PLANS", "STEPS", "Scenario", "acceptor"]

# Default that all cells change.
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
    instance.proxy.block(None)
    for other in fleet.instances:
        if other is not instance and other.proxy is not None:
            other.proxy.block({instance.node.pid})


def revive_in(fleet: Fleet, instance: Instance, how: str) -> None:
    """Undo `strike_in`."""
    if how != "cut":
        revive(instance, how)
        return
    for other in fleet.instances:
        if other.proxy is not None:
            other.proxy.clear_faults()


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
