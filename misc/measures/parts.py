"""Sizes and times of single parts at the size of the plan, in one process."""

from __future__ import annotations

import time
import tracemalloc
import zlib
from collections.abc import Callable, Iterator

from gypsumlock.membership import (
    Member,
    MemberStatus,
    MemberView,
    UpstreamState,
    choose_neighbours,
)
from gypsumlock.model import (
    Defaults,
    NodeIdentity,
    Rank,
    Route,
    Service,
    Snapshot,
    compile_policy,
    compile_table,
    encode_snapshot,
)
from gypsumlock.peering.codec import members_to_wire
from misc.measures.figure import Figure

__all__ = ["measure_parts"]

SERVERS = 1300
SERVICES = 170
ROUTES_PER_SERVICE = 3
ROUNDS = 5
KB = 1000


def measure_parts() -> Iterator[Figure]:
    """Member view, neighbours, snapshot and table for 1,300 servers."""
    members = [_member(index) for index in range(SERVERS)]
    yield from _member_view(members)
    duration_s = _time(lambda: choose_neighbours(members[0].address, members[1:]))
    yield Figure("parts_choose_neighbours", round(duration_s * 1000, 2), "ms")
    wire = sum(len(m.SerializeToString()) for m in members_to_wire(members))
    yield Figure("parts_member_record_on_wire", round(wire / SERVERS, 1), "bytes")
    snapshot = _snapshot()
    payload = encode_snapshot(snapshot)
    compressed = zlib.compress(payload, 6)
    yield Figure("parts_snapshot", round(len(payload) / KB, 1), "KB")
    yield Figure("parts_snapshot_compressed", round(len(compressed) / KB, 1), "KB")
    node = NodeIdentity("a:1", "a:2", "zone-1", "north", "n")
    policy = compile_policy(snapshot, node).unwrap()
    duration_s = _time(lambda: compile_policy(snapshot, node))
    yield Figure("parts_compile_policy", round(duration_s * 1000, 2), "ms")
    view = MemberView(members[0])
    view.merge(members)
    duration_s = _time(lambda: compile_table(policy, view.endpoints()))
    yield Figure("parts_compile_table", round(duration_s * 1000, 2), "ms")


def _member_view(members: list[Member]) -> Iterator[Figure]:
    tracemalloc.start()
    view = MemberView(members[0])
    view.merge([_member(index) for index in range(SERVERS)])
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure("parts_member_view", round(size / KB), "KB")
    duration_s = _time(lambda: MemberView(members[0]).merge(members))
    yield Figure("parts_merge_whole_view", round(duration_s * 1000, 2), "ms")


def _member(index: int) -> Member:
    address = f"10.{index // 250}.{index % 250}.1"
    return Member(
        address=f"{address}:7002",
        incarnation=1_796_000_000_000 + index,
        sequence=3,
        status=MemberStatus.ALIVE,
        zone=f"zone-{index % 5}",
        region="north" if index % 5 < 3 else "south",
        call_address=f"{address}:7001",
        service=f"service-{index % SERVICES}",
        slots=20,
        upstream=UpstreamState.SERVING,
        serving_since_s=1_796_000_000.0,
    )


def _snapshot() -> Snapshot:
    ranks = (Rank("urgent", 1.0, 0.3), Rank("normal", 3.0, 0.2), Rank("low", 9.0, 0.1))
    services = tuple(Service(f"service-{index}") for index in range(SERVICES))
    routes = tuple(
        Route(
            f"route-{index}-{part}",
            f"service-{index}",
            ranks[part % 3].name,
            f"/service-{index}/part-{part}",
        )
        for index in range(SERVICES)
        for part in range(ROUTES_PER_SERVICE)
    )
    return Snapshot(1, 0, Defaults(ranks, services, routes))


def _time(work: Callable[[], object]) -> float:
    """Return the shortest of several durations, in seconds."""
    durations = []
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        work()
        durations.append(time.perf_counter() - started_s)
    return min(durations)
