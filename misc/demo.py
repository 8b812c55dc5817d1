"""Demonstrates a small fleet and checks its behaviour.

Phases:
1. Start a simulated platform, six nodes in four zones, and their upstreams.
2. Load the defaults of the example deployment Bowline and send calls of every rank
   through every node.
3. Change a default and add a configuration exception with the command-line tool, and
   wait until each has converged.
4. Kill a node, change a default while it is down, and restart the node.

Prints `demo: ok` and exits with 0 only if every check passed.
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
# Method and path of each call; together they cover every rank.
CALLS = (
    ("GET", "/search/pipers"),
    ("POST", "/book/session"),
    ("GET", "/reels/42"),
    ("GET", "/profiles/7"),
)


class CheckFailed(Exception):
    """A check of the demo failed."""


def main() -> int:
    """Run the demo; return the exit code."""
    try:
        with Fleet(BOWLINE_INSTANCES) as fleet:
            _run_phases(fleet)
    except (CheckFailed, TimeoutError) as error:
        print(f"demo: failed: {error}")
        return 1
    print("demo: ok")
    return 0


def _run_phases(fleet: Fleet) -> None:
    fleet.wait_ready()
    fleet.wait_upstreams()
    zones = {instance.plan.zone for instance in fleet.instances}
    print(f"Started {len(fleet.instances)} nodes in {len(zones)} zones.")
    first = fleet.instances[0]
    _run_command(fleet, first, "default", "load", "examples/bowline/defaults.yaml")
    version = fetch_head_version(fleet, first)
    _wait_converged(fleet, first, version)
    _call_through_every_node(fleet)
    _change_configuration(fleet)
    _kill_and_restart(fleet)


def fetch_head_version(fleet: Fleet, instance: Instance) -> int:
    """Return the newest version that the node of an instance knows."""
    status = instance.status()
    if status is None:
        raise CheckFailed(f"{instance.plan.name} does not answer")
    return status.head_version


def _call_through_every_node(fleet: Fleet) -> None:
    for instance in fleet.instances:
        for method, path in CALLS:
            response = instance.request(path, method=method)
            digest = dict(response.headers).get(b"x-test-digest", b"").decode()
            digest_matches = digest == hashlib.sha256(response.content).hexdigest()
            if response.status != 200 or not digest_matches:
                raise CheckFailed(f"{method} {path}: status {response.status}")
    count = len(fleet.instances) * len(CALLS)
    print(f"Sent {count} calls of every rank through every node; all succeeded.")


def _change_configuration(fleet: Fleet) -> None:
    first, *_, last = fleet.instances
    _run_command(
        fleet, first, "default", "set", "routes.book.timeout_s", "2.5",
        "--reason", "bandleaders give up after that",
    )  # fmt: skip
    _wait_converged(fleet, last, fetch_head_version(fleet, first))
    _run_command(
        fleet, last, "exception", "add", "no-reels-in-perth",
        "--route", "reels", "--zone", "perth", "--set-accept-calls", "false",
        "--reason", "the link to Perth is repaired tonight",
    )  # fmt: skip
    _wait_converged(fleet, first, fetch_head_version(fleet, last))
    perth_response = fleet["reels-2"].request("/reels/42")
    other_response = fleet["reels-1"].request("/reels/42")
    if (perth_response.status, other_response.status) != (503, 200):
        raise CheckFailed(
            f"reels: status {perth_response.status} in zone perth and "
            f"{other_response.status} elsewhere; expected 503 and 200"
        )
    print("Calls to reels are refused as not run in zone perth, and served elsewhere.")
    _run_command(fleet, first, "history")


def _kill_and_restart(fleet: Fleet) -> None:
    killed_instance = fleet["search-2"]
    first = fleet.instances[0]
    version_before = killed_instance.in_force_version()
    killed_instance.node.kill()
    print(f"Killed the node of {killed_instance.plan.name}.")
    _run_command(fleet, first, "default", "set", "routes.search.timeout_s", "1.5")
    version = fetch_head_version(fleet, first)
    others = [
        instance for instance in fleet.instances if instance is not killed_instance
    ]
    fleet.wait_version(version, CONVERGENCE_TARGET_S, others)
    response = first.request("/search/pipers")
    if response.status != 200:
        raise CheckFailed(f"search with a node down: status {response.status}")
    print(f"Version {version} is in force on the other nodes, and searches succeed.")
    killed_instance.node.start()
    wait_until(killed_instance.ready, RESTART_TIMEOUT_S, "the killed node is ready")
    _wait_converged(fleet, killed_instance, version)
    versions = killed_instance.in_force_versions()
    if versions != sorted(versions):
        raise CheckFailed("the node ran an older version after the restart")
    print(
        f"It restarted with version {killed_instance.in_force_version()}; "
        f"it had run {version_before} before."
    )


def _wait_converged(fleet: Fleet, instance: Instance, version: int) -> None:
    started_s = time.monotonic()
    _run_command(fleet, instance, "--timeout", "10", "wait", str(version))
    elapsed_s = time.monotonic() - started_s
    if elapsed_s > CONVERGENCE_TARGET_S:
        raise CheckFailed(
            f"version {version} took {elapsed_s:.1f} s to converge; "
            f"the target is {CONVERGENCE_TARGET_S:g} s"
        )


def _run_command(fleet: Fleet, instance: Instance, *arguments: str) -> None:
    """Run the command-line tool as an operator would, and print its output."""
    command = [sys.executable, "-m", "gypsumlock"]
    options = [
        "--node", f"http://{instance.operator_address}",
        "--token-file", str(fleet.directory / "operator.token"),
    ]  # fmt: skip
    command_line = " ".join(
        f"'{argument}'" if " " in argument else argument for argument in arguments
    )
    print(f"$ gypsumlock {command_line}")
    completed = subprocess.run(
        [*command, *options, *arguments], capture_output=True, text=True, check=False
    )
    for line in (completed.stdout + completed.stderr).splitlines():
        print(f"  {line}")
    if completed.returncode != 0:
        raise CheckFailed(f"{command_line}: exit code {completed.returncode}")


if __name__ == "__main__":
    sys.exit(main())
