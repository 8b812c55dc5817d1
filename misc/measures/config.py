"""Measurements of configuration distribution: convergence, source load, cost."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from itertools import cycle

import psutil

from misc.measures.figure import Figure, cpu_time_s, quantile
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
TRAFFIC_TARGET_KB_PER_S = 7.0
CHANGE_COUNT = 10
START_TIMEOUT_S = 45.0
OBSERVATION_S = 4.0
SETTLE_S = 4.0
BYTES_PER_MIB = 2**20
# Each zone with its region.
ZONES = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
)


def plan_instances(count: int) -> list[InstancePlan]:
    """Return plans of nodes without upstreams, in five zones and two regions."""
    return [
        InstancePlan(f"n{index}", zone, "", region)
        for index, (zone, region) in zip(range(count), cycle(ZONES), strict=False)
    ]


def start_fleet(count: int, proxied: bool = False) -> Fleet:
    """Start a fleet and load the defaults of the example deployment Bowline."""
    fleet = Fleet(plan_instances(count), proxied).__enter__()
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
    """Time from acceptance of a version until all of 4 to 32 nodes have it in force."""
    for count in (4, 8, 16, 32):
        yield from _convergence_figures(count, f"convergence_{count}")


def measure_convergence_64() -> Iterator[Figure]:
    """Time from acceptance of a version until all of 64 nodes have it in force."""
    yield from _convergence_figures(64, "convergence_64")


def _convergence_figures(count: int, name: str) -> Iterator[Figure]:
    fleet = start_fleet(count)
    try:
        delays_s = measure_change_delays(fleet, fleet.instances)
    finally:
        fleet.__exit__(None, None, None)
    yield from _delay_figures(name, delays_s)


def measure_convergence_faults() -> Iterator[Figure]:
    """Convergence of 16 nodes with a slow platform, a lost link or a killed node."""
    fleet = start_fleet(16, proxied=True)
    try:
        fleet.control_platform(PlatformControl("ok", 0.5))
        yield from _delay_figures(
            "convergence_16_slow_platform",
            measure_change_delays(fleet, fleet.instances, 5),
        )
        fleet.control_platform(PlatformControl())
        instance_a, instance_b = fleet.instances[2], fleet.instances[3]
        assert instance_a.proxy is not None
        assert instance_b.proxy is not None
        instance_a.proxy.block({instance_b.node.pid})
        instance_b.proxy.block({instance_a.node.pid})
        yield from _delay_figures(
            "convergence_16_lost_link", measure_change_delays(fleet, fleet.instances, 5)
        )
        instance_a.proxy.clear_faults()
        instance_b.proxy.clear_faults()
        fleet.instances[5].node.kill()
        running_instances = [
            instance for instance in fleet.instances if instance.node.running()
        ]
        yield from _delay_figures(
            "convergence_16_killed_node",
            measure_change_delays(fleet, running_instances, 5),
        )
    finally:
        fleet.__exit__(None, None, None)


def measure_change_delays(
    fleet: Fleet, instances: list[Instance], change_count: int = CHANGE_COUNT
) -> list[float]:
    """Make changes one by one; return the convergence time of each, in seconds.

    The time runs from the acceptance of a version until it is in force on the last
    of the instances, both taken from the logs.
    """
    first = instances[0]
    versions = []
    for index in range(change_count):
        version = fleet.set_default(
            "limits.ejection_s", 10.0 + index + time.time() % 1, first
        )
        fleet.wait_version(version, 5 * CONVERGENCE_TARGET_S, instances)
        versions.append(version)
    accepted = _read_log_times(first, "version accepted")
    in_force = [_read_log_times(instance, "version in force") for instance in instances]
    return [
        max(times[version] for times in in_force) - accepted[version]
        for version in versions
    ]


def _read_log_times(instance: Instance, message: str) -> dict[int, float]:
    """Return the Unix time of the log line with this message for each version."""
    return {
        entry["fields"]["version"]: datetime.fromisoformat(entry["time"]).timestamp()
        for entry in instance.log_entries()
        if entry["message"] == message
    }


def _delay_figures(name: str, delays_s: list[float]) -> Iterator[Figure]:
    for fraction, label in ((0.5, "p50"), (0.99, "p99"), (1.0, "max")):
        delay_s = round(quantile(delays_s, fraction), 3)
        yield Figure(f"{name}_{label}", delay_s, "s", CONVERGENCE_TARGET_S)


def measure_source_load() -> Iterator[Figure]:
    """Platform reads and writes per second at several fleet sizes."""
    for count in (4, 8, 16, 32):
        fleet = start_fleet(count)
        try:
            before = fleet.platform_request_counts()
            time.sleep(OBSERVATION_S)
            after = fleet.platform_request_counts()
        finally:
            fleet.__exit__(None, None, None)
        for kind in ("reads", "writes"):
            rate_per_s = (after.get(kind, 0) - before.get(kind, 0)) / OBSERVATION_S
            yield Figure(f"source_{kind}_{count}_nodes", round(rate_per_s, 2), "1/s")


def measure_control_cost() -> Iterator[Figure]:
    """Network traffic, CPU time and memory that the control plane costs one node."""
    for count in (8, 16):
        # Traffic is counted by proxies, which cost the nodes additional CPU time, so
        # the two are measured in separate fleets.
        for proxied in (False, True):
            fleet = start_fleet(count, proxied)
            try:
                # Neighbours that were dropped while the fleet formed are probed once
                # more. This is not part of the steady-state cost.
                time.sleep(SETTLE_S)
                yield from _cost_figures(fleet, f"control_{count}_idle", 0.0)
                yield from _cost_figures(
                    fleet, f"control_{count}_one_change_each_2s", 2.0
                )
                if not proxied:
                    yield from _memory_figures(fleet, f"control_{count}")
            finally:
                fleet.__exit__(None, None, None)


def _cost_figures(
    fleet: Fleet, name: str, change_interval_s: float
) -> Iterator[Figure]:
    """Yield the CPU time, or the traffic if the fleet has proxies that count it."""
    processes = [psutil.Process(instance.node.pid) for instance in fleet.instances]
    cpu_before_s = [cpu_time_s(process) for process in processes]
    bytes_before = _peer_bytes(fleet)
    started_s = time.monotonic()
    while (remaining_s := started_s + OBSERVATION_S - time.monotonic()) > 0:
        if change_interval_s:
            fleet.set_default(
                "limits.ejection_s", 10 + time.time() % 100, fleet.instances[0]
            )
        time.sleep(min(remaining_s, change_interval_s or remaining_s))
    elapsed_s = time.monotonic() - started_s
    cpu_used_s = [
        cpu_time_s(process) - before_s
        for process, before_s in zip(processes, cpu_before_s, strict=True)
    ]
    # The first node, which accepts the changes, also serves the operator, so it is
    # left out.
    cpu_percent = 100 * sum(cpu_used_s[1:]) / len(cpu_used_s[1:]) / elapsed_s
    count = len(fleet.instances)
    # Every byte counts twice: one node sends it and another receives it.
    kb_per_s = 2 * (_peer_bytes(fleet) - bytes_before) / elapsed_s / count / 1000
    if not bytes_before:
        yield Figure(
            f"{name}_cpu", round(cpu_percent, 2), "% of a core", CPU_TARGET_PERCENT
        )
        return
    yield Figure(
        f"{name}_bytes_sent_and_received",
        round(kb_per_s, 2),
        "KB/s",
        TRAFFIC_TARGET_KB_PER_S,
    )


def _memory_figures(fleet: Fleet, name: str) -> Iterator[Figure]:
    sizes_mb = [
        psutil.Process(instance.node.pid).memory_full_info().uss / BYTES_PER_MIB
        for instance in fleet.instances
    ]
    process_mb = quantile(sizes_mb, 0.5)
    data_path_mb = _data_path_memory_mb()
    yield Figure(f"{name}_memory_whole_process", round(process_mb, 1), "MB")
    yield Figure(
        f"{name}_memory_added_by_control",
        round(process_mb - data_path_mb, 1),
        "MB",
        MEMORY_TARGET_MB,
    )


def _data_path_memory_mb() -> float:
    """Return the memory of a process that has loaded only the data path."""
    program = (
        "import json, psutil, uvicorn, uvloop, httptools, uvicorn.protocols.http."
        "httptools_impl, gypsumlock.proxy, gypsumlock.http_app, gypsumlock.settings;"
        "print(json.dumps(psutil.Process().memory_full_info().uss))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True
    )
    return float(json.loads(completed.stdout)) / BYTES_PER_MIB


def _peer_bytes(fleet: Fleet) -> int:
    return sum(
        instance.proxy.forwarded_bytes for instance in fleet.instances if instance.proxy
    )
