"""Sizes and durations of components at the planned fleet size, in one process."""

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

SERVER_COUNT = 1300
SERVICE_COUNT = 170
ROUTES_PER_SERVICE = 3
REPETITIONS = 5
BYTES_PER_KB = 1000


def measure_parts() -> Iterator[Figure]:
    """Member view, choice of neighbours, snapshot and table for 1,300 servers."""
    members = [_make_member(index) for index in range(SERVER_COUNT)]
    yield from _member_view_figures(members)
    duration_s = _shortest_duration_s(
        lambda: choose_neighbours(members[0].address, members[1:])
    )
    yield Figure("parts_choose_neighbours", round(duration_s * 1000, 2), "ms")
    wire_bytes = sum(
        len(member.SerializeToString()) for member in members_to_wire(members)
    )
    yield Figure(
        "parts_member_record_on_wire", round(wire_bytes / SERVER_COUNT, 1), "bytes"
    )
    snapshot = _make_snapshot()
    payload = encode_snapshot(snapshot)
    compressed = zlib.compress(payload, 6)
    yield Figure("parts_snapshot", round(len(payload) / BYTES_PER_KB, 1), "KB")
    yield Figure(
        "parts_snapshot_compressed", round(len(compressed) / BYTES_PER_KB, 1), "KB"
    )
    node = NodeIdentity("a:1", "a:2", "zone-1", "north", "n")
    policy = compile_policy(snapshot, node).unwrap()
    duration_s = _shortest_duration_s(lambda: compile_policy(snapshot, node))
    yield Figure("parts_compile_policy", round(duration_s * 1000, 2), "ms")
    view = MemberView(members[0])
    view.merge(members)
    duration_s = _shortest_duration_s(lambda: compile_table(policy, view.endpoints()))
    yield Figure("parts_compile_table", round(duration_s * 1000, 2), "ms")


def _member_view_figures(members: list[Member]) -> Iterator[Figure]:
    tracemalloc.start()
    view = MemberView(members[0])
    view.merge([_make_member(index) for index in range(SERVER_COUNT)])
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure("parts_member_view", round(size_bytes / BYTES_PER_KB), "KB")
    duration_s = _shortest_duration_s(lambda: MemberView(members[0]).merge(members))
    yield Figure("parts_merge_whole_view", round(duration_s * 1000, 2), "ms")


def _make_member(index: int) -> Member:
    address = f"10.{index // 250}.{index % 250}.1"
    return Member(
        address=f"{address}:7002",
        incarnation=1_796_000_000_000 + index,
        sequence=3,
        status=MemberStatus.ALIVE,
        zone=f"zone-{index % 5}",
        region="north" if index % 5 < 3 else "south",
        call_address=f"{address}:7001",
        service=f"service-{index % SERVICE_COUNT}",
        slots=20,
        upstream=UpstreamState.SERVING,
        serving_since_s=1_796_000_000.0,
    )


def _make_snapshot() -> Snapshot:
    ranks = (Rank("urgent", 1.0, 0.3), Rank("normal", 3.0, 0.2), Rank("low", 9.0, 0.1))
    services = tuple(Service(f"service-{index}") for index in range(SERVICE_COUNT))
    routes = tuple(
        Route(
            f"route-{index}-{part}",
            f"service-{index}",
            ranks[part % 3].name,
            f"/service-{index}/part-{part}",
        )
        for index in range(SERVICE_COUNT)
        for part in range(ROUTES_PER_SERVICE)
    )
    return Snapshot(1, 0, Defaults(ranks, services, routes))


def _shortest_duration_s(function: Callable[[], object]) -> float:
    """Return the shortest duration of several calls of a function, in seconds."""
    durations = []
    for _ in range(REPETITIONS):
        started_s = time.perf_counter()
        function()
        durations.append(time.perf_counter() - started_s)
    return min(durations)
