"""Measurements of the configuration's way: convergence, source load, cost."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from itertools import cycle

import psutil

from misc.measures.figure import Figure, cpu_s, percentile
from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example_defaults
from tests.standins.platform_server import PlatformControl

__all__ = [
    "measure_control_cost",
    "measure_convergence",
    "measure_convergence_64",
    "measure_convergence_faults",
    "measure_source_load",
]

CONVERGENCE_TARGET_S = 6.0
CPU_TARGET_PERCENT = 2.5
MEMORY_TARGET_MB = 32.0
BYTES_TARGET_KB_S = 7.0
CHANGES = 10
START_TIMEOUT_S = 45.0
OBSERVED_S = 4.0
SETTLE_S = 4.0
MIB = 2**20
ZONES = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
)


def plans(count: int) -> list[InstancePlan]:
    """Return nodes without upstreams in five zones and two regions."""
    return [
        InstancePlan(f"n{index}", zone, "", region)
        for index, (zone, region) in zip(range(count), cycle(ZONES), strict=False)
    ]


def start(count: int, proxied: bool = False) -> Fleet:
    """Start a fleet and load Bowline's defaults."""
    fleet = Fleet(plans(count), proxied).__enter__()
    try:
        fleet.wait_ready(START_TIMEOUT_S)
        version = fleet.load_defaults(
            load_example_defaults("bowline"), fleet.instances[0]
        )
        fleet.wait_version(version, START_TIMEOUT_S)
    except BaseException:
        fleet.__exit__(None, None, None)
        raise
    return fleet


def measure_convergence() -> Iterator[Figure]:
    """Time from acceptance to in force on the last node, at 4 to 32 nodes."""
    for count in (4, 8, 16, 32):
        yield from _converge(count, f"convergence_{count}")


def measure_convergence_64() -> Iterator[Figure]:
    """The same at 64 nodes."""
    yield from _converge(64, "convergence_64")


def _converge(count: int, name: str) -> Iterator[Figure]:
    fleet = start(count)
    try:
        delays = change_repeatedly(fleet, fleet.instances)
    finally:
        fleet.__exit__(None, None, None)
    yield from _summary(name, delays)


def measure_convergence_faults() -> Iterator[Figure]:
    """The same at 16 nodes with a killed node, a lost link, a slow platform."""
    fleet = start(16, proxied=True)
    try:
        fleet.control_platform(PlatformControl("ok", 0.5))
        yield from _summary(
            "convergence_16_slow_platform", change_repeatedly(fleet, fleet.instances, 5)
        )
        fleet.control_platform(PlatformControl())
        one, two = fleet.instances[2], fleet.instances[3]
        assert one.proxy is not None
        assert two.proxy is not None
        one.proxy.block({two.node.pid})
        two.proxy.block({one.node.pid})
        yield from _summary(
            "convergence_16_lost_link", change_repeatedly(fleet, fleet.instances, 5)
        )
        one.proxy.clear_faults()
        two.proxy.clear_faults()
        fleet.instances[5].node.kill()
        rest = [i for i in fleet.instances if i.node.running()]
        yield from _summary(
            "convergence_16_killed_node", change_repeatedly(fleet, rest, 5)
        )
    finally:
        fleet.__exit__(None, None, None)


def change_repeatedly(
    fleet: Fleet, instances: list[Instance], changes: int = CHANGES
) -> list[float]:
    """Make changes; return for each the time until the last node runs it."""
    first = instances[0]
    versions = []
    for index in range(changes):
        version = fleet.set_default(
            "limits.ejection_s", 10.0 + index + time.time() % 1, first
        )
        fleet.wait_version(version, 5 * CONVERGENCE_TARGET_S, instances)
        versions.append(version)
    accepted = _times(first, "version accepted")
    in_force = [_times(instance, "version in force") for instance in instances]
    return [
        max(times[version] for times in in_force) - accepted[version]
        for version in versions
    ]


def _times(instance: Instance, message: str) -> dict[int, float]:
    """Return the time of a log line for each version, in Unix seconds."""
    return {
        entry["fields"]["version"]: datetime.fromisoformat(entry["time"]).timestamp()
        for entry in instance.log_entries()
        if entry["message"] == message
    }


def _summary(name: str, delays: list[float]) -> Iterator[Figure]:
    for share, label in ((0.5, "p50"), (0.99, "p99"), (1.0, "max")):
        value = round(percentile(delays, share), 3)
        yield Figure(f"{name}_{label}", value, "s", CONVERGENCE_TARGET_S)


def measure_source_load() -> Iterator[Figure]:
    """Reads and writes of the platform each second against fleet size."""
    for count in (4, 8, 16, 32):
        fleet = start(count)
        try:
            before = fleet.platform_request_counts()
            time.sleep(OBSERVED_S)
            after = fleet.platform_request_counts()
        finally:
            fleet.__exit__(None, None, None)
        for kind in ("reads", "writes"):
            rate = (after.get(kind, 0) - before.get(kind, 0)) / OBSERVED_S
            yield Figure(f"source_{kind}_{count}_nodes", round(rate, 2), "1/s")


def measure_control_cost() -> Iterator[Figure]:
    """Bytes, processor time and memory that control costs one node."""
    for count in (8, 16):
        # Bytes are counted by proxies, which cost the nodes time of their own.
        for proxied in (False, True):
            fleet = start(count, proxied)
            try:
                # Neighbours that were dropped while the fleet formed are probed
                # once more, which is no part of the steady cost.
                time.sleep(SETTLE_S)
                yield from _cost(fleet, f"control_{count}_idle", 0.0)
                yield from _cost(fleet, f"control_{count}_one_change_each_2s", 2.0)
                if not proxied:
                    yield from _memory(fleet, f"control_{count}")
            finally:
                fleet.__exit__(None, None, None)


def _cost(fleet: Fleet, name: str, change_every_s: float) -> Iterator[Figure]:
    """Yield the processor time, or the bytes where proxies count them."""
    processes = [psutil.Process(i.node.pid) for i in fleet.instances]
    cpu_before = [cpu_s(process) for process in processes]
    bytes_before = _peer_bytes(fleet)
    started_s = time.monotonic()
    while (left_s := started_s + OBSERVED_S - time.monotonic()) > 0:
        if change_every_s:
            fleet.set_default(
                "limits.ejection_s", 10 + time.time() % 100, fleet.instances[0]
            )
        time.sleep(min(left_s, change_every_s or left_s))
    elapsed_s = time.monotonic() - started_s
    used = [cpu_s(p) - b for p, b in zip(processes, cpu_before, strict=True)]
    # The accepting node serves the operator as well, so it is left out.
    share = 100 * sum(used[1:]) / len(used[1:]) / elapsed_s
    count = len(fleet.instances)
    # Each byte is sent by one node and received by another.
    rate = 2 * (_peer_bytes(fleet) - bytes_before) / elapsed_s / count / 1000
    if not bytes_before:
        yield Figure(f"{name}_cpu", round(share, 2), "% of a core", CPU_TARGET_PERCENT)
        return
    yield Figure(
        f"{name}_bytes_sent_and_received", round(rate, 2), "KB/s", BYTES_TARGET_KB_S
    )


def _memory(fleet: Fleet, name: str) -> Iterator[Figure]:
    sizes = [
        psutil.Process(i.node.pid).memory_full_info().uss / MIB for i in fleet.instances
    ]
    whole = percentile(sizes, 0.5)
    carrier = _carrier_memory_mb()
    yield Figure(f"{name}_memory_whole_process", round(whole, 1), "MB")
    yield Figure(
        f"{name}_memory_added_by_control",
        round(whole - carrier, 1),
        "MB",
        MEMORY_TARGET_MB,
    )


def _carrier_memory_mb() -> float:
    """Return the memory of a process that has only the data path loaded."""
    program = (
        "import json, psutil, uvicorn, uvloop, httptools, uvicorn.protocols.http."
        "httptools_impl, gypsumlock.proxy, gypsumlock.http_app, gypsumlock.settings;"
        "print(json.dumps(psutil.Process().memory_full_info().uss))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True
    )
    return float(json.loads(done.stdout)) / MIB


def _peer_bytes(fleet: Fleet) -> int:
    return sum(i.proxy.forwarded_bytes for i in fleet.instances if i.proxy)
