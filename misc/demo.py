"""Shows a small fleet at work, and checks what it shows.

Phases:
1. Start a platform stand-in, six nodes in four zones, and their upstreams.
2. Load Bowline's defaults and send calls of every rank through every node.
3. Change a default and add an exception by the command line, and wait for both.
4. Kill a node, change a default meanwhile, bring the node back.

Exits with 0, and the line `demo: ok`, only if every check held.
"""

from __future__ import annotations

import hashlib
import subprocess
import sys
import time

from tests.standins.fleet import BOWLINE_INSTANCES, Fleet, Instance
from tests.standins.processes import wait_until

__all__ = ["main"]

CONVERGENCE_TARGET_S = 6.0
RESTART_TIMEOUT_S = 15.0
CALLS = (
    ("GET", "/search/pipers"),
    ("POST", "/book/session"),
    ("GET", "/reels/42"),
    ("GET", "/profiles/7"),
)


class CheckFailed(Exception):
    """A check of the demo did not hold."""


def main() -> int:
    """Run the demo; return the exit code."""
    try:
        with Fleet(BOWLINE_INSTANCES) as fleet:
            _run(fleet)
    except (CheckFailed, TimeoutError) as error:
        print(f"demo: failed: {error}")
        return 1
    print("demo: ok")
    return 0


def _run(fleet: Fleet) -> None:
    fleet.wait_ready()
    fleet.wait_upstreams()
    zones = {instance.plan.zone for instance in fleet.instances}
    print(f"Started {len(fleet.instances)} nodes in {len(zones)} zones.")
    first = fleet.instances[0]
    _cli(fleet, first, "default", "load", "examples/bowline/defaults.yaml")
    version = load_version(fleet, first)
    _wait(fleet, first, version)
    _call_everywhere(fleet)
    _change(fleet)
    _kill_and_bring_back(fleet)


def load_version(fleet: Fleet, instance: Instance) -> int:
    """Return the newest version that an instance knows."""
    status = instance.status()
    if status is None:
        raise CheckFailed(f"{instance.plan.name} does not answer")
    return status.head_version


def _call_everywhere(fleet: Fleet) -> None:
    for instance in fleet.instances:
        for method, path in CALLS:
            answer = instance.request(path, method=method)
            digest = dict(answer.headers).get(b"x-test-digest", b"").decode()
            whole = digest == hashlib.sha256(answer.content).hexdigest()
            if answer.status != 200 or not whole:
                raise CheckFailed(f"{method} {path}: status {answer.status}")
    count = len(fleet.instances) * len(CALLS)
    print(f"Sent {count} calls, of every rank and through every node: all answered.")


def _change(fleet: Fleet) -> None:
    first, *_, last = fleet.instances
    _cli(
        fleet, first, "default", "set", "routes.book.timeout_s", "2.5",
        "--reason", "bandleaders give up after that",
    )  # fmt: skip
    _wait(fleet, last, load_version(fleet, first))
    _cli(
        fleet, last, "exception", "add", "no-reels-in-perth",
        "--route", "reels", "--zone", "perth", "--set-accept-calls", "false",
        "--reason", "the link to Perth is repaired tonight",
    )  # fmt: skip
    _wait(fleet, first, load_version(fleet, last))
    refused = fleet["reels-2"].request("/reels/42")
    elsewhere = fleet["reels-1"].request("/reels/42")
    if (refused.status, elsewhere.status) != (503, 200):
        raise CheckFailed("the exception is not in effect in its zone alone")
    print("The exception refuses reels in perth, as not run, and nowhere else.")
    _cli(fleet, first, "history")


def _kill_and_bring_back(fleet: Fleet) -> None:
    victim = fleet["search-2"]
    first = fleet.instances[0]
    ran_before = victim.in_force_version()
    victim.node.kill()
    print(f"Killed the node of {victim.plan.name}.")
    _cli(fleet, first, "default", "set", "routes.search.timeout_s", "1.5")
    version = load_version(fleet, first)
    rest = [instance for instance in fleet.instances if instance is not victim]
    fleet.wait_version(version, CONVERGENCE_TARGET_S, rest)
    answer = first.request("/search/pipers")
    if answer.status != 200:
        raise CheckFailed(f"a search is answered with {answer.status} meanwhile")
    print(f"Version {version} is in force on the others, searches are answered.")
    victim.node.start()
    wait_until(victim.ready, RESTART_TIMEOUT_S, "the killed node is back")
    _wait(fleet, victim, version)
    versions = victim.in_force_versions()
    if versions != sorted(versions):
        raise CheckFailed("the node came back with an older version")
    print(
        f"It came back with version {victim.in_force_version()}; "
        f"it had run {ran_before}."
    )


def _wait(fleet: Fleet, through: Instance, version: int) -> None:
    started_s = time.monotonic()
    _cli(fleet, through, "--timeout", "10", "wait", str(version))
    elapsed_s = time.monotonic() - started_s
    if elapsed_s > CONVERGENCE_TARGET_S:
        raise CheckFailed(f"version {version} took {elapsed_s:.1f} s")


def _cli(fleet: Fleet, through: Instance, *arguments: str) -> None:
    """Run the command line as an operator would, and show it."""
    command = [sys.executable, "-m", "gypsumlock"]
    options = [
        "--node", f"http://{through.operator_address}",
        "--token-file", str(fleet.directory / "operator.token"),
    ]  # fmt: skip
    shown = " ".join(f"'{x}'" if " " in x else x for x in arguments)
    print(f"$ gypsumlock {shown}")
    done = subprocess.run(
        [*command, *options, *arguments], capture_output=True, text=True, check=False
    )
    for line in (done.stdout + done.stderr).splitlines():
        print(f"  {line}")
    if done.returncode != 0:
        raise CheckFailed(f"{shown}: exit code {done.returncode}")


if __name__ == "__main__":
    sys.exit(main())
