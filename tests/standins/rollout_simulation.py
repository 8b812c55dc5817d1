"""Simulates the roll-out of a service by the decisions of all nodes, without a network.

Records, reports and verdicts travel with delays; calls arrive at random. The service
has as many upstreams of the new version as of the old one, each beside a node.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from gypsumlock.mesh.model import (
    Answer,
    Failure,
    OwnerLoad,
    RolloutEntry,
    RolloutPhase,
    UpstreamRecord,
)
from gypsumlock.mesh.state import RolloutBounds
from gypsumlock.mesh.upstream_registry import UpstreamIncarnation, UpstreamRegistry
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.conductor import Conductor, Moment
from gypsumlock.rollout.messages import VersionVerdict
from gypsumlock.rollout.rows import OrderRow
from gypsumlock.rollout.trial_pool import choose_pool
from gypsumlock.rollout.version_gate import VersionGate
from gypsumlock.rollout.version_table import VersionTable

__all__ = ["Answering", "Quality", "RolloutSimulation", "SimulatedNode", "good"]

SERVICE = "finder"
BOUNDS = RolloutBounds(0.1, 50, 5.0)
TICK_S = 0.05
REPORT_INTERVAL_S = 0.5
MAX_RECORD_DELAY_S = 1.0
MIN_RECORD_DELAY_S = 0.4
MEAN_SERVICE_S = 0.05
WALL_START_S = 1_000_000.0


@dataclass(frozen=True, slots=True)
class Answering:
    """What the quality of an upstream depends on."""

    node: SimulatedNode
    route: int
    # Time since the upstream started, in seconds.
    age_s: float
    # Calls of the last second, as a multiple of those of an old upstream before.
    load: float
    rng: random.Random


# Returns whether an answer is an error, and the factor by which it is slower.
Quality = Callable[[Answering], tuple[bool, float]]


def good(answering: Answering) -> tuple[bool, float]:
    """Fail one call in 200, as the old version does."""
    return answering.rng.random() < 0.005, 1.0


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """A node, its upstream, and what it knows of the roll-out."""

    number: int
    record: UpstreamRecord
    table: VersionTable
    gate: VersionGate
    # Relative service time of the machine.
    slowness: float
    record_delay_s: float
    recent_calls: Counter[int] = field(default_factory=Counter)
    next_report_s: float = 0.0

    def load(self, now_s: float) -> int:
        """Return the number of calls in the last whole second."""
        return self.recent_calls[int(now_s) - 1]


class RolloutSimulation:
    """One roll-out.

    Parameters
    ----------
    upstreams : int
        Upstreams of each version.
    rate_per_s : float
        Calls of the service per second.
    quality : Quality
        Quality of the new version; the old one is `good`.
    duration_s : float
        Time that the order allows.
    seed : int
        Of all random numbers.
    routes : int
        Number of routes, all of which have the same number of calls.
    """

    def __init__(
        self,
        upstreams: int,
        rate_per_s: float,
        quality: Quality,
        duration_s: float = 12.0,
        seed: int = 1,
        routes: int = 10,
    ) -> None:
        self.rng = random.Random(seed)
        self.upstreams = upstreams
        self.quality = quality
        self.rate_per_s = rate_per_s
        self.routes = routes
        self.old_load = rate_per_s / upstreams
        self.now_s = 0.0
        self.order = OrderRow(SERVICE, "v2", duration_s, 7)
        self.nodes = [self._make_node(i, "v1") for i in range(upstreams)]
        self.nodes += [
            self._make_node(i, "v2") for i in range(upstreams, 2 * upstreams)
        ]
        self.by_name = {node.record.node: node for node in self.nodes}
        # Records by the time at which they were published.
        self.published: list[tuple[float, tuple[RolloutEntry, ...]]] = []
        self.applied: dict[int, int] = {}
        self.conductor: Conductor | None = None
        # False while no node holds the lease, or the holder can't write to the store.
        self.has_conductor = True
        self.can_publish = True
        self.verdicts: list[tuple[float, SimulatedNode, VersionVerdict]] = []
        # Calls of the service, those that the new version got, and when those were bad.
        self.calls = 0
        self.refused = 0
        self.exposed = 0
        self.bad_at_s: list[float] = []
        self.exposed_at_s: list[float] = []
        self.ended_at_s = float("inf")
        self.phase = RolloutPhase.ESTABLISHED
        self._publish(
            (RolloutEntry(SERVICE, 1, 1, "v1"),), self.now_s - MAX_RECORD_DELAY_S
        )

    def run(self, until_s: float | None = None) -> None:
        """Run to the deadline of the order, or to another time."""
        end_s = self.order.duration_s if until_s is None else until_s
        while self.now_s < end_s:
            self._tick()

    def trial_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose upstreams get the calls of a trial."""
        entry = RolloutEntry(SERVICE, 1, 1, "v1", "v2", share=0.08)
        old, new = self.nodes[: self.upstreams], self.nodes[self.upstreams :]
        records = [[node.record for node in nodes] for nodes in (old, new)]
        return [self.by_name[x] for x in choose_pool(entry, *records).nodes]

    def take_over(self, token: int) -> None:
        """Replace the conductor by another node's, which knows what was published."""
        self.conductor = Conductor(token, self.nodes[0].table, BOUNDS, (), self.now_s)

    def _make_node(self, number: int, version: str) -> SimulatedNode:
        record = UpstreamRecord(
            node=f"n{number}",
            peer_address=f"10.0.0.{number + 1}:1",
            zone="a",
            service=SERVICE,
            instance=f"i{number}",
            born_ms=1000 + number,
            slots=4,
            serving=True,
            version=version,
        )
        table = VersionTable(random.Random(self.rng.random()))
        registry = UpstreamRegistry("127.0.0.1:1")
        registry.current = UpstreamIncarnation(
            record.instance, SERVICE, 4, 1, 1, False, version
        )
        gate = VersionGate(table, registry)
        delay_s = self.rng.uniform(MIN_RECORD_DELAY_S, MAX_RECORD_DELAY_S)
        slowness = self.rng.choice((0.58, 1.0, 1.0, 1.73))
        return SimulatedNode(number, record, table, gate, slowness, delay_s)

    def _publish(self, entries: tuple[RolloutEntry, ...], at_s: float) -> None:
        self.published.append((at_s, entries))

    def _tick(self) -> None:
        self.now_s += TICK_S
        records = [node.record for node in self.nodes]
        for node in self.nodes:
            self._deliver(node, records)
        self._step_conductor()
        for node in self.nodes:
            node.gate.update(False, self.now_s)
            if self.now_s >= node.next_report_s:
                self._report(node)
        due = [x for x in self.verdicts if x[0] <= self.now_s]
        self.verdicts = [x for x in self.verdicts if x[0] > self.now_s]
        for _, node, verdict in due:
            node.gate.apply_verdict(verdict)
        expected = self.rate_per_s * TICK_S
        for _ in range(int(expected) + (self.rng.random() < expected % 1)):
            self._call()

    def _deliver(self, node: SimulatedNode, records: list[UpstreamRecord]) -> None:
        known = self.applied.get(node.number, 0)
        arrived = sum(
            at_s + node.record_delay_s <= self.now_s for at_s, _ in self.published
        )
        if arrived > known:
            self.applied[node.number] = arrived
            entries = self.published[arrived - 1][1]
            holder = replace(records[0], rollouts=entries)
            node.table.update([holder, *records[1:]], [holder, *records[1:]])

    def _step_conductor(self) -> None:
        conductor = self.conductor
        if conductor is None:
            if self.has_conductor and self.now_s > 0.15:
                self.take_over(2)
            return
        moment = Moment(self.now_s, int((WALL_START_S + self.now_s) * 1000))
        conductor.step({SERVICE: self.order}, {}, (), moment)
        entries = tuple(conductor.entries.values())
        if entries != self.published[-1][1] and self.can_publish:
            self._publish(entries, self.now_s)
        self.phase = conductor.entries[SERVICE].phase
        if self.phase_ended():
            self.ended_at_s = min(self.ended_at_s, self.now_s)

    def phase_ended(self) -> bool:
        """Return whether the roll-out has ended."""
        return self.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)

    def _report(self, node: SimulatedNode) -> None:
        report = node.gate.take_report(node.record.node, self.now_s)
        if report is None:
            return
        node.next_report_s = self.now_s + REPORT_INTERVAL_S
        conductor = self.conductor
        if conductor is not None:
            verdict = conductor.handle_report(report, self.now_s)
            self.verdicts.append((self.now_s + 0.02, node, verdict))

    def _call(self) -> None:
        """Send one call to the node of an upstream, as the caller's node decides."""
        self.calls += 1
        caller = self.rng.choice(self.nodes)
        trial_version = caller.table.draw(SERVICE)
        views = [node.record for node in self.nodes]
        wall_s = WALL_START_S + self.now_s
        for tier in caller.table.tiers(SERVICE, trial_version, False, views, wall_s):
            if not tier:
                continue
            for record in self.rng.choices(tier, k=4):
                node = self.by_name[record.node]
                if node.gate.accepts(self.now_s):
                    self._execute(node)
                    return
        self.refused += 1

    def _execute(self, node: SimulatedNode) -> None:
        route = self.rng.randrange(self.routes)
        node.recent_calls[int(self.now_s)] += 1
        error, factor = False, 1.0
        is_new = node.record.version == "v2"
        load = node.load(self.now_s) / self.old_load
        answering = Answering(node, route, self.now_s, load, self.rng)
        error, factor = (self.quality if is_new else good)(answering)
        if is_new:
            self.exposed += 1
            self.exposed_at_s.append(self.now_s)
            if error or factor > 2:
                self.bad_at_s.append(self.now_s)
        name = f"route-{route}"
        service_s = MEAN_SERVICE_S * node.slowness * factor * (1 + route / 3)
        service_s *= self.rng.lognormvariate(0.0, 0.35)
        if error:
            failure = Failure(0, ResultCode.CALL_UNKNOWN_OUTCOME, OwnerLoad())
            node.gate.record_outcome(name, failure, None)
        else:
            answer = Answer(0, 200, [], b"", OwnerLoad())
            node.gate.record_outcome(name, answer, service_s)
