"""Measurements of the service of each rank before, during and after a flood."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from gypsumlock.model import Defaults, Rank, Route
from misc.measures.figure import Figure, quantile
from misc.measures.load import Call, CallStream, LoadClient
from tests.standins.fleet import Fleet, InstancePlan, load_example_defaults

__all__ = [
    "measure_flood_low",
    "measure_flood_urgent",
    "measure_policies_low",
    "measure_policies_urgent",
]

IN_TIME_TARGET_SHARE = 0.99
SLOTS_PER_INSTANCE = 4
WORK_MS = 40.0
INSTANCE_COUNT = 2
# Calls per second that all instances together can run.
CAPACITY_PER_S = INSTANCE_COUNT * SLOTS_PER_INSTANCE * 1000 / WORK_MS
# Load that each rank offers all the time, as a share of the capacity; the most urgent
# rank comes first.
STEADY_SHARES = (0.25, 0.2, 0.15)
# Rate of the flood as a multiple of the capacity.
FLOOD_FACTOR = 3.0
WARM_UP_S = 2.0
BEFORE_S = 2.0
FLOOD_S = 6.0
# Time after a flood within which service must be back to normal.
RECOVERY_S = 5.0
AFTER_S = 2.0

# Service of each example deployment for which the calls of all ranks compete.
CONTESTED_SERVICES = {"bowline": "search", "fleurs": "rounds"}


@dataclass(frozen=True, slots=True)
class RankResult:
    """Service that one rank received during one phase."""

    # Calls answered within the rank's latency target, as a share of those offered.
    in_time: float
    # Calls answered within the target, per second.
    rate_per_s: float
    # Latency; only of the calls that were answered within the target.
    p99_s: float


def measure_flood_low() -> Iterator[Figure]:
    """Flood of the least urgent rank under the ranked policy, both deployments."""
    for deployment in CONTESTED_SERVICES:
        yield from _flood_figures(deployment, "ranked", flooded_index=-1)


def measure_flood_urgent() -> Iterator[Figure]:
    """Flood of the most urgent rank under the ranked policy, both deployments."""
    for deployment in CONTESTED_SERVICES:
        yield from _flood_figures(deployment, "ranked", flooded_index=0)


def measure_policies_low() -> Iterator[Figure]:
    """Flood of the least urgent rank under the policies none, fifo and strict."""
    for policy in ("none", "fifo", "strict"):
        yield from _flood_figures("bowline", policy, flooded_index=-1)


def measure_policies_urgent() -> Iterator[Figure]:
    """Flood of the most urgent rank under the policies none, fifo and strict."""
    for policy in ("none", "fifo", "strict"):
        yield from _flood_figures("bowline", policy, flooded_index=0)


def _flood_figures(
    deployment: str, policy: str, flooded_index: int
) -> Iterator[Figure]:
    defaults = _single_service_defaults(deployment)
    ranks = defaults.ranks
    flooded_rank = ranks[flooded_index]
    phases = _run_phases(defaults, CONTESTED_SERVICES[deployment], policy, flooded_rank)
    kind = "low" if flooded_index else "urgent"
    name = f"flood_{kind}_{deployment}_{policy}"
    for phase, results in phases.items():
        for rank, steady_share in zip(ranks, STEADY_SHARES, strict=True):
            result = results[rank.name]
            most_urgent = rank is ranks[0]
            target: float | None = None
            if phase == "after" or (
                phase == "during" and most_urgent and flooded_index
            ):
                target = IN_TIME_TARGET_SHARE
            elif phase == "during" and rank is not flooded_rank:
                target = _floor_coverage(rank, steady_share)
            yield Figure(
                f"{name}_{phase}_{rank.name}_in_time", round(result.in_time, 3),
                "share of offered", target, "higher",
            )  # fmt: skip
            yield Figure(
                f"{name}_{phase}_{rank.name}_p99", round(result.p99_s * 1000), "ms"
            )


def _floor_coverage(rank: Rank, steady_share: float) -> float:
    """Return the share of a rank's steady load that its floor share covers."""
    return round(min(1.0, rank.floor_share / steady_share), 3)


def _single_service_defaults(deployment: str) -> Defaults:
    """Return a deployment's defaults with one route per rank, all to one service."""
    defaults = load_example_defaults(deployment)
    service = CONTESTED_SERVICES[deployment]
    routes = tuple(
        Route(
            f"load-{rank.name}", service, rank.name, f"/load-{rank.name}",
            timeout_s=rank.target_s,
        )
        for rank in defaults.ranks
    )  # fmt: skip
    return replace(defaults, routes=routes)


def _run_phases(
    defaults: Defaults, service: str, policy: str, flooded_rank: Rank
) -> dict[str, dict[str, RankResult]]:
    plans = [InstancePlan("edge-1", "a", ""), InstancePlan("edge-2", "a", "")]
    plans += [
        InstancePlan(
            f"up-{index}", "a", service, slots=SLOTS_PER_INSTANCE, work_ms=WORK_MS
        )
        for index in range(INSTANCE_COUNT)
    ]
    overrides = {"admission": {"policy": policy}, "log": {"level": "WARNING"}}
    with Fleet(plans, overrides=overrides) as fleet:
        fleet.wait_ready()
        fleet.wait_upstreams()
        version = fleet.load_defaults(defaults, fleet.instances[0])
        fleet.wait_version(version)
        edge_addresses = (fleet["edge-1"].call_address, fleet["edge-2"].call_address)
        return asyncio.run(_offer_load(defaults, edge_addresses, flooded_rank))


async def _offer_load(
    defaults: Defaults, edge_addresses: tuple[str, str], flooded_rank: Rank
) -> dict[str, dict[str, RankResult]]:
    client = LoadClient()
    total_s = WARM_UP_S + BEFORE_S + FLOOD_S + RECOVERY_S + AFTER_S
    start_s = time.monotonic()
    steady = [
        CallStream(
            rank.name,
            edge_addresses[0],
            f"/load-{rank.name}",
            steady_share * CAPACITY_PER_S,
        )
        for rank, steady_share in zip(defaults.ranks, STEADY_SHARES, strict=True)
    ]
    flood = CallStream(
        "flood",
        edge_addresses[1],
        f"/load-{flooded_rank.name}",
        FLOOD_FACTOR * CAPACITY_PER_S,
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(client.run(steady, total_s))
        await asyncio.sleep(WARM_UP_S + BEFORE_S)
        tasks.create_task(client.run([flood], FLOOD_S))
    client.close()
    flood_start_s = start_s + WARM_UP_S + BEFORE_S
    bounds = {
        "before": (start_s + WARM_UP_S, flood_start_s),
        # The first second of the flood counts, as floods come without warning.
        "during": (flood_start_s, flood_start_s + FLOOD_S),
        "after": (flood_start_s + FLOOD_S + RECOVERY_S, start_s + total_s),
    }
    return {
        phase: {
            rank.name: _rank_result(client.calls, rank, begin_s, end_s)
            for rank in defaults.ranks
        }
        for phase, (begin_s, end_s) in bounds.items()
    }


def _rank_result(
    calls: list[Call], rank: Rank, begin_s: float, end_s: float
) -> RankResult:
    offered = [
        call
        for call in calls
        if call.stream == rank.name and begin_s <= call.due_at_s < end_s
    ]
    answered_in_time = [
        call
        for call in offered
        if call.status == 200 and call.latency_s <= rank.target_s
    ]
    return RankResult(
        in_time=len(answered_in_time) / max(1, len(offered)),
        rate_per_s=len(answered_in_time) / (end_s - begin_s),
        p99_s=quantile([call.latency_s for call in answered_in_time], 0.99),
    )
