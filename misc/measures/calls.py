"""Measurements of the data path: added time, throughput, amplification."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator

import psutil

from misc.measures.figure import Figure, cpu_s, percentile
from misc.measures.load import LoadClient, Stream
from tests.standins.fleet import Fleet, InstancePlan, load_example_defaults
from tests.standins.upstream_server import UpstreamControl

__all__ = [
    "measure_call_overhead",
    "measure_node_throughput",
    "measure_retry_amplification",
]

OVERHEAD_TARGET_MS = 1.8
AMPLIFICATION_TARGET = 1.2
SECONDS_PER_RATE = 8.0
THROUGHPUT_S = 8.0
CONCURRENCY = 16


def start(plans: list[InstancePlan]) -> Fleet:
    """Start a fleet with Bowline's defaults."""
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
    """Time that nodes add to a call, local and over one hop, against none."""
    fleet = start(
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
            latencies = asyncio.run(_paired(addresses, rate))
            yield from _overhead(latencies, rate)
    finally:
        fleet.__exit__(None, None, None)


async def _paired(addresses: dict[str, str], rate: int) -> dict[str, list[float]]:
    """Send calls by each way in turn, so that all meet the same noise."""
    client = LoadClient()
    # Ways are offset within one period, so that they do not queue behind
    # each other in the client.
    offsets = {name: i / 3 / rate for i, name in enumerate(addresses)}
    await asyncio.gather(
        *(
            _delayed(client, Stream(name, address, "/search/x", rate), offsets[name])
            for name, address in addresses.items()
        )
    )
    client.close()
    return {
        name: [
            c.latency_s * 1000
            for c in client.calls
            if c.stream == name and c.status == 200
        ]
        for name in addresses
    }


async def _delayed(client: LoadClient, stream: Stream, offset_s: float) -> None:
    await asyncio.sleep(offset_s)
    await client.run([stream], SECONDS_PER_RATE / 2)
    await client.run([stream], SECONDS_PER_RATE / 2)


def _overhead(latencies: dict[str, list[float]], rate: int) -> Iterator[Figure]:
    base = latencies["direct"]
    for way in ("direct", "local", "hop"):
        for share, label in ((0.5, "p50"), (0.99, "p99")):
            value = percentile(latencies[way], share)
            if way == "direct":
                yield Figure(f"call_direct_{label}_{rate}_per_s", round(value, 2), "ms")
                continue
            added = round(value - percentile(base, share), 2)
            target = OVERHEAD_TARGET_MS if label == "p99" else None
            yield Figure(f"call_added_{way}_{label}_{rate}_per_s", added, "ms", target)


def measure_node_throughput() -> Iterator[Figure]:
    """Calls that one core of a node carries in a second, by its processor time."""
    fleet = start(
        [InstancePlan("edge", "a", ""), InstancePlan("search-1", "a", "search")]
    )
    try:
        owner, edge = fleet["search-1"], fleet["edge"]
        for name, address, pid in (
            ("local", owner.call_address, owner.node.pid),
            ("caller_side", edge.call_address, edge.node.pid),
        ):
            process = psutil.Process(pid)
            before = cpu_s(process)
            count = asyncio.run(_closed_loop(address))
            per_core = count / (cpu_s(process) - before)
            yield Figure(
                f"node_throughput_{name}", round(per_core), "calls per core-second",
                better="higher",
            )  # fmt: skip
            yield Figure(
                f"node_throughput_{name}_wall", round(count / THROUGHPUT_S), "calls/s",
                better="higher",
            )  # fmt: skip
    finally:
        fleet.__exit__(None, None, None)


async def _closed_loop(address: str) -> int:
    client = LoadClient()
    stream = Stream("closed", address, "/search/x", 1)
    give_up_at_s = time.monotonic() + THROUGHPUT_S
    done = 0

    async def caller() -> None:
        nonlocal done
        while time.monotonic() < give_up_at_s:
            call = await client.send(stream, time.monotonic())
            done += call.status == 200

    await asyncio.gather(*(caller() for _ in range(CONCURRENCY)))
    client.close()
    return done


def measure_retry_amplification() -> Iterator[Figure]:
    """Upstream runs for each client call and layer while half of them fail."""
    zones = ("a", "b", "c", "d")
    plans = [InstancePlan("edge", "a", "")]
    plans += [InstancePlan(f"search-{z}", z, "search") for z in zones]
    for depth in (1, 4):
        fleet = start(plans)
        try:
            for zone in zones[:2]:
                fleet[f"search-{zone}"].control_upstream(UpstreamControl("drop"))
            runs, calls, good = _load_nested(fleet, depth)
        finally:
            fleet.__exit__(None, None, None)
        yield Figure(
            f"retry_amplification_{depth}_deep",
            round(runs / calls / depth, 3),
            "runs per call and layer",
            AMPLIFICATION_TARGET,
        )
        yield Figure(
            f"retry_answered_{depth}_deep", round(good / calls, 3), "share",
            better="higher",
        )  # fmt: skip


def _load_nested(fleet: Fleet, depth: int) -> tuple[int, int, int]:
    nested = b",".join([b"/search/x"] * (depth - 1))
    headers = ((b"x-test-nested", nested),) if nested else ()
    marked = (*headers, (b"x-test-call", b"load"))
    stream = Stream("load", fleet["edge"].call_address, "/search/x", 40, marked)
    client = LoadClient()
    asyncio.run(client.run([stream], 8.0))
    runs = sum(sum(i.call_run_counts().values()) for i in fleet.instances)
    good = sum(call.status == 200 for call in client.calls)
    return runs, len(client.calls), good
