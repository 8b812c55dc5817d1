"""Measurements of service by rank before, during and after a flood."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from gypsumlock.model import Defaults, Rank, Route
from misc.measures.figure import Figure, percentile
from misc.measures.load import Call, LoadClient, Stream
from tests.standins.fleet import Fleet, InstancePlan, load_example_defaults

__all__ = [
    "measure_flood_low",
    "measure_flood_urgent",
    "measure_policies_low",
    "measure_policies_urgent",
]

URGENT_TARGET = 0.99
SLOTS = 4
WORK_MS = 40.0
INSTANCES = 2
# Calls each second that all instances together can run.
CAPACITY_PER_S = INSTANCES * SLOTS * 1000 / WORK_MS
# Offered all the time, as a share of the capacity, the most urgent rank first.
STEADY_SHARES = (0.25, 0.2, 0.15)
FLOOD_FACTOR = 3.0
WARM_S = 2.0
BEFORE_S = 2.0
FLOOD_S = 6.0
# Time after a flood within which things must be back to normal.
RECOVERY_S = 5.0
AFTER_S = 2.0

# Service of each deployment at which all ranks meet.
CONTESTED = {"bowline": "search", "fleurs": "rounds"}


@dataclass(frozen=True, slots=True)
class RankResult:
    """What one rank got in one phase."""

    # Answered within the rank's target, as a share of what was offered.
    in_time: float
    # The same in calls each second.
    rate_per_s: float
    p99_s: float


def measure_flood_low() -> Iterator[Figure]:
    """Flood of the least urgent rank, both deployments, the ranked policy."""
    for deployment in CONTESTED:
        yield from _figures(deployment, "ranked", flooding=-1)


def measure_flood_urgent() -> Iterator[Figure]:
    """Flood of the most urgent rank, both deployments, the ranked policy."""
    for deployment in CONTESTED:
        yield from _figures(deployment, "ranked", flooding=0)


def measure_policies_low() -> Iterator[Figure]:
    """Flood of the least urgent rank under the other policies."""
    for policy in ("none", "fifo", "strict"):
        yield from _figures("bowline", policy, flooding=-1)


def measure_policies_urgent() -> Iterator[Figure]:
    """Flood of the most urgent rank under the other policies."""
    for policy in ("none", "fifo", "strict"):
        yield from _figures("bowline", policy, flooding=0)


def _figures(deployment: str, policy: str, flooding: int) -> Iterator[Figure]:
    defaults = _contested(deployment)
    ranks = defaults.ranks
    flooded = ranks[flooding]
    phases = _run(defaults, CONTESTED[deployment], policy, flooded)
    kind = "low" if flooding else "urgent"
    name = f"flood_{kind}_{deployment}_{policy}"
    for phase, results in phases.items():
        for rank, share in zip(ranks, STEADY_SHARES, strict=True):
            result = results[rank.name]
            urgent = rank is ranks[0]
            target: float | None = None
            if phase == "after" or (phase == "during" and urgent and flooding):
                target = URGENT_TARGET
            elif phase == "during" and rank is not flooded:
                target = _floor(rank, share)
            yield Figure(
                f"{name}_{phase}_{rank.name}_in_time", round(result.in_time, 3),
                "share of offered", target, "higher",
            )  # fmt: skip
            yield Figure(
                f"{name}_{phase}_{rank.name}_p99", round(result.p99_s * 1000), "ms"
            )


def _floor(rank: Rank, steady_share: float) -> float:
    """Return the share of its steady load that a rank's floor covers."""
    return round(min(1.0, rank.floor_share / steady_share), 3)


def _contested(deployment: str) -> Defaults:
    """Return a deployment's defaults with a route of each rank to one service."""
    defaults = load_example_defaults(deployment)
    service = CONTESTED[deployment]
    routes = tuple(
        Route(
            f"load-{rank.name}", service, rank.name, f"/load-{rank.name}",
            timeout_s=rank.target_s,
        )
        for rank in defaults.ranks
    )  # fmt: skip
    return replace(defaults, routes=routes)


def _run(
    defaults: Defaults, service: str, policy: str, flooded: Rank
) -> dict[str, dict[str, RankResult]]:
    plans = [InstancePlan("edge-1", "a", ""), InstancePlan("edge-2", "a", "")]
    plans += [
        InstancePlan(f"up-{i}", "a", service, slots=SLOTS, work_ms=WORK_MS)
        for i in range(INSTANCES)
    ]
    overrides = {"admission": {"policy": policy}, "log": {"level": "WARNING"}}
    with Fleet(plans, overrides=overrides) as fleet:
        fleet.wait_ready()
        fleet.wait_upstreams()
        version = fleet.load_defaults(defaults, fleet.instances[0])
        fleet.wait_version(version)
        edges = (fleet["edge-1"].call_address, fleet["edge-2"].call_address)
        return asyncio.run(_offer(defaults, edges, flooded))


async def _offer(
    defaults: Defaults, edges: tuple[str, str], flooded: Rank
) -> dict[str, dict[str, RankResult]]:
    client = LoadClient()
    total_s = WARM_S + BEFORE_S + FLOOD_S + RECOVERY_S + AFTER_S
    start_s = time.monotonic()
    steady = [
        Stream(rank.name, edges[0], f"/load-{rank.name}", share * CAPACITY_PER_S)
        for rank, share in zip(defaults.ranks, STEADY_SHARES, strict=True)
    ]
    flood = Stream(
        "flood", edges[1], f"/load-{flooded.name}", FLOOD_FACTOR * CAPACITY_PER_S
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(client.run(steady, total_s))
        await asyncio.sleep(WARM_S + BEFORE_S)
        tasks.create_task(client.run([flood], FLOOD_S))
    client.close()
    flood_s = start_s + WARM_S + BEFORE_S
    bounds = {
        "before": (start_s + WARM_S, flood_s),
        # The first second is counted: the flood strikes unannounced.
        "during": (flood_s, flood_s + FLOOD_S),
        "after": (flood_s + FLOOD_S + RECOVERY_S, start_s + total_s),
    }
    return {
        phase: {
            rank.name: _result(client.calls, rank, begin_s, end_s)
            for rank in defaults.ranks
        }
        for phase, (begin_s, end_s) in bounds.items()
    }


def _result(calls: list[Call], rank: Rank, begin_s: float, end_s: float) -> RankResult:
    offered = [
        c for c in calls if c.stream == rank.name and begin_s <= c.due_at_s < end_s
    ]
    good = [c for c in offered if c.status == 200 and c.latency_s <= rank.target_s]
    return RankResult(
        in_time=len(good) / max(1, len(offered)),
        rate_per_s=len(good) / (end_s - begin_s),
        p99_s=percentile([c.latency_s for c in good], 0.99),
    )
