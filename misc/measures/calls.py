"""Measurements of the data path: added latency, throughput, retry amplification."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator

import psutil

from misc.measures.figure import Figure, cpu_time_s, quantile
from misc.measures.load import CallStream, LoadClient
from tests.standins.fleet import Fleet, InstancePlan, load_example_defaults
from tests.standins.upstream_server import UpstreamControl

__all__ = [
    "measure_call_overhead",
    "measure_node_throughput",
    "measure_retry_amplification",
]

OVERHEAD_TARGET_MS = 1.8
AMPLIFICATION_TARGET = 1.2
DURATION_PER_RATE_S = 8.0
THROUGHPUT_DURATION_S = 8.0
CONCURRENCY = 16


def start_fleet(plans: list[InstancePlan]) -> Fleet:
    """Start a fleet with the defaults of the example deployment Bowline."""
    fleet = Fleet(plans).__enter__()
    try:
        fleet.wait_ready()
        fleet.wait_upstreams()
        version = fleet.load_defaults(
            load_example_defaults("bowline"), fleet.instances[0]
        )
        fleet.wait_version(version)
    except BaseException:
        fleet.__exit__(None, None, None)
        raise
    return fleet


def measure_call_overhead() -> Iterator[Figure]:
    """Latency added by nodes, locally and over one hop, to that of direct calls."""
    fleet = start_fleet(
        [InstancePlan("edge", "a", ""), InstancePlan("search-1", "a", "search")]
    )
    try:
        owner, edge = fleet["search-1"], fleet["edge"]
        addresses = {
            "direct": owner.upstream_address,
            "local": owner.call_address,
            "hop": edge.call_address,
        }
        for rate in (10, 50, 100):
            latencies_ms = asyncio.run(_measure_variants(addresses, rate))
            yield from _overhead_figures(latencies_ms, rate)
    finally:
        fleet.__exit__(None, None, None)


async def _measure_variants(
    addresses: dict[str, str], rate: int
) -> dict[str, list[float]]:
    """Send calls to all addresses during the same time, so that all see the same noise.

    Returns the latencies of the successful calls in milliseconds, by variant.
    """
    client = LoadClient()
    # The variants are offset within one period, so that their calls do not queue
    # behind each other in the client.
    offsets = {name: index / 3 / rate for index, name in enumerate(addresses)}
    await asyncio.gather(
        *(
            _run_delayed(
                client, CallStream(name, address, "/search/x", rate), offsets[name]
            )
            for name, address in addresses.items()
        )
    )
    client.close()
    return {
        name: [
            call.latency_s * 1000
            for call in client.calls
            if call.stream == name and call.status == 200
        ]
        for name in addresses
    }


async def _run_delayed(client: LoadClient, stream: CallStream, offset_s: float) -> None:
    await asyncio.sleep(offset_s)
    await client.run([stream], DURATION_PER_RATE_S / 2)
    await client.run([stream], DURATION_PER_RATE_S / 2)


def _overhead_figures(
    latencies_ms: dict[str, list[float]], rate: int
) -> Iterator[Figure]:
    direct = latencies_ms["direct"]
    for variant in ("direct", "local", "hop"):
        for fraction, label in ((0.5, "p50"), (0.99, "p99")):
            latency_ms = quantile(latencies_ms[variant], fraction)
            if variant == "direct":
                yield Figure(
                    f"call_direct_{label}_{rate}_per_s", round(latency_ms, 2), "ms"
                )
                continue
            added_ms = round(latency_ms - quantile(direct, fraction), 2)
            target = OVERHEAD_TARGET_MS if label == "p99" else None
            yield Figure(
                f"call_added_{variant}_{label}_{rate}_per_s", added_ms, "ms", target
            )


def measure_node_throughput() -> Iterator[Figure]:
    """Calls that a node handles per second of CPU time and of wall-clock time."""
    fleet = start_fleet(
        [InstancePlan("edge", "a", ""), InstancePlan("search-1", "a", "search")]
    )
    try:
        owner, edge = fleet["search-1"], fleet["edge"]
        for name, address, pid in (
            ("local", owner.call_address, owner.node.pid),
            ("caller_side", edge.call_address, edge.node.pid),
        ):
            process = psutil.Process(pid)
            cpu_before_s = cpu_time_s(process)
            count = asyncio.run(_run_closed_loop(address))
            calls_per_cpu_s = count / (cpu_time_s(process) - cpu_before_s)
            yield Figure(
                f"node_throughput_{name}", round(calls_per_cpu_s),
                "calls per core-second", better="higher",
            )  # fmt: skip
            yield Figure(
                f"node_throughput_{name}_wall", round(count / THROUGHPUT_DURATION_S),
                "calls/s", better="higher",
            )  # fmt: skip
    finally:
        fleet.__exit__(None, None, None)


async def _run_closed_loop(address: str) -> int:
    client = LoadClient()
    stream = CallStream("closed", address, "/search/x", 1)
    end_s = time.monotonic() + THROUGHPUT_DURATION_S
    succeeded = 0

    async def send_until_end() -> None:
        nonlocal succeeded
        while time.monotonic() < end_s:
            call = await client.send(stream, time.monotonic())
            succeeded += call.status == 200

    await asyncio.gather(*(send_until_end() for _ in range(CONCURRENCY)))
    client.close()
    return succeeded


def measure_retry_amplification() -> Iterator[Figure]:
    """Upstream runs per client call and nesting layer while half the upstreams fail."""
    zones = ("a", "b", "c", "d")
    plans = [InstancePlan("edge", "a", "")]
    plans += [InstancePlan(f"search-{zone}", zone, "search") for zone in zones]
    for depth in (1, 4):
        fleet = start_fleet(plans)
        try:
            for zone in zones[:2]:
                fleet[f"search-{zone}"].control_upstream(UpstreamControl("drop"))
            runs, calls, succeeded = _run_nested_load(fleet, depth)
        finally:
            fleet.__exit__(None, None, None)
        yield Figure(
            f"retry_amplification_{depth}_deep",
            round(runs / calls / depth, 3),
            "runs per call and layer",
            AMPLIFICATION_TARGET,
        )
        yield Figure(
            f"retry_answered_{depth}_deep", round(succeeded / calls, 3), "share",
            better="higher",
        )  # fmt: skip


def _run_nested_load(fleet: Fleet, depth: int) -> tuple[int, int, int]:
    nested = b",".join([b"/search/x"] * (depth - 1))
    nested_headers = ((b"x-test-nested", nested),) if nested else ()
    headers = (*nested_headers, (b"x-test-call", b"load"))
    stream = CallStream("load", fleet["edge"].call_address, "/search/x", 40, headers)
    client = LoadClient()
    asyncio.run(client.run([stream], 8.0))
    runs = sum(sum(instance.call_run_counts().values()) for instance in fleet.instances)
    succeeded = sum(call.status == 200 for call in client.calls)
    return runs, len(client.calls), succeeded
