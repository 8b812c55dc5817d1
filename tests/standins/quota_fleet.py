"""Many nodes that share quotas, on a simulated clock and without a network.

Leases, granters and clients are the real ones; messages between them take a time, and
nodes can be paused, cut off, killed and restarted.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from result import Result

from gypsumlock.leases import LeaseKeeper
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.feed_store import FeedRow, WriteOutcome
from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    NodeAddresses,
    Organisation,
    UpstreamRecord,
)
from gypsumlock.mesh.owner import UpstreamOwner
from gypsumlock.mesh.peer_connection import PeerConnection
from gypsumlock.mesh.quota_messages import Grant, GrantRequest
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.state import MeshBounds, MeshState, QuotaBounds
from gypsumlock.metrics import Metrics
from gypsumlock.quota import Lot
from gypsumlock.quota.account import QuotaRefusal
from gypsumlock.quota.client import QuotaClient
from gypsumlock.quota.granter import QuotaGranter
from gypsumlock.result_codes import Fault
from tests.standins.feed_store import MemoryFeedStore, StoreAccess
from tests.standins.mesh_fleet import HEADER_NAMES

__all__ = ["QUOTA_BOUNDS", "QuotaFleet", "QuotaNode"]

QUOTA_BOUNDS = QuotaBounds(window_s=5.0, excess=0.1, allowance=20.0)
LIMITS = ClientLimits(16_384, 1_000_000, 3.0, 15.0)
ADDRESS = "127.0.0.1:1"
CHECK_INTERVAL_S = 0.25


class _SlowStore(StoreAccess):
    """Calls take a time, and their responses wait while the node is paused."""

    def __init__(self, store: MemoryFeedStore, node: QuotaNode) -> None:
        super().__init__(store)
        self._node = node

    async def read_row(self, table: str, key: str) -> Result[FeedRow, Fault]:
        await asyncio.sleep(0.002)
        result = await super().read_row(table, key)
        await self._node.running.wait()
        return result

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        await asyncio.sleep(0.002)
        result = await super().write_row(table, key, value, expected)
        await self._node.running.wait()
        return result


class _Connection(PeerConnection):
    """Delivers requests to another node of the fleet, and its grants back."""

    def __init__(self, fleet: QuotaFleet, source: QuotaNode, target: str) -> None:
        super().__init__(ADDRESS, source.state.link_meter)
        self._fleet = fleet
        self._source = source
        self._target = target

    def post(self, message: GrantRequest) -> None:
        fleet, source = self._fleet, self._source
        fleet.message_count += 2

        def deliver() -> None:
            target = fleet.nodes[self._target]
            grant = target.granter.grant(message)
            fleet.send(target, source, lambda: source.receive(grant))

        fleet.send(source, fleet.nodes[self._target], deliver)

    async def probe(self) -> bool:
        return False


class _Directory(UpstreamDirectory):
    def __init__(self, fleet: QuotaFleet, node: QuotaNode) -> None:
        super().__init__(node.state, UpstreamOwner(node.state))
        self._fleet = fleet
        self._node = node
        self._fakes: dict[str, _Connection] = {}

    def connection_to(self, node: str) -> PeerConnection:
        if node not in self._fakes:
            self._fakes[node] = _Connection(self._fleet, self._node, node)
        return self._fakes[node]


class QuotaNode:
    """One node; its clock has an offset and runs at a slightly different rate."""

    def __init__(self, fleet: QuotaFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.alive = True
        self.running = asyncio.Event()
        self.running.set()
        # Messages that arrived during a pause.
        self.inbox: deque[Callable[[], None]] = deque()
        offset_s = fleet.rng.uniform(0, 1e6)
        rate = 1 + fleet.rng.uniform(-1e-4, 1e-4)
        loop = asyncio.get_running_loop()

        def clock() -> float:
            return offset_s + rate * loop.time()

        bounds = MeshBounds(6.0, 0.2, 56.0, 10.0, quota=fleet.bounds)
        addresses = NodeAddresses(*[ADDRESS] * 5)
        self.state = MeshState(name, "a", "s", addresses, HEADER_NAMES, bounds)
        self.metrics = Metrics()
        directory = _Directory(fleet, self)
        self.directory = directory
        self.granter = QuotaGranter(self.state, directory, self.metrics, clock)
        self.client = QuotaClient(
            self.state, directory, self.granter, self.metrics, fleet.rng, clock
        )
        self.store = _SlowStore(fleet.store, self)
        self.keeper = LeaseKeeper(self.store, name, self.granter.refresh, clock)
        self.granter.leases = self.keeper
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.alive:
            await self.running.wait()
            self.keeper.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def receive(self, grant: Grant) -> None:
        self.client.receive(grant)

    def configure(self, config: MeshConfig) -> None:
        self.state.activate_route_table(RouteTable(config))

    async def call(self, organisation: Organisation) -> Lot | QuotaRefusal | None:
        """Charge a call; None if the node does not run."""
        if not self.alive or not self.running.is_set():
            return None
        result = await self.client.charge(organisation, self.fleet.bounds)
        if isinstance(result, Lot):
            now_s = asyncio.get_running_loop().time()
            self.fleet.uses_s.setdefault(organisation.name, []).append(now_s)
        return result


class QuotaFleet:
    """Nodes with one store; all see the same records.

    Parameters
    ----------
    size : int
        Number of nodes.
    organisations : tuple[Organisation, ...]
        Organisations of the configuration.
    seed : int
        Seed of all randomness.
    bounds : QuotaBounds
        Bounds of the quotas.
    """

    def __init__(
        self,
        size: int,
        organisations: tuple[Organisation, ...],
        seed: int = 1,
        bounds: QuotaBounds = QUOTA_BOUNDS,
    ) -> None:
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.store = MemoryFeedStore()
        self.message_count = 0
        # Pairs of nodes that can't reach each other, in both orders.
        self.cut: set[tuple[str, str]] = set()
        # Times of the charged calls, by organisation.
        self.uses_s: dict[str, list[float]] = {}
        self.config = MeshConfig(1, (), (), LIMITS, organisations)
        self.nodes: dict[str, QuotaNode] = {}
        self.latency_s = (0.0005, 0.002)
        # Messages that were sent over a cut link, and arrive when it is healed.
        self._held_back: list[Callable[[], None]] = []
        for number in range(size):
            self.start(f"n{number}")
        records = {
            name: UpstreamRecord(name, ADDRESS, "a", "s", f"i-{name}", serving=True)
            for name in self.nodes
        }
        self.records = records
        for node in self.nodes.values():
            node.directory.update(records)

    def start(self, name: str) -> QuotaNode:
        """Start or restart a node."""
        old = self.nodes.get(name)
        if old is not None:
            old.alive = False
            old.running.set()
            old.task.cancel()
        node = QuotaNode(self, name)
        self.nodes[name] = node
        node.configure(self.config)
        if old is not None:
            node.directory.update(self.records)
        return node

    def kill(self, name: str) -> None:
        """End a node without a trace in the records."""
        self.nodes[name].alive = False
        self.nodes[name].task.cancel()

    def pause(self, name: str) -> None:
        self.nodes[name].running.clear()

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        if node.alive:
            node.running.set()
            while node.inbox:
                node.inbox.popleft()()

    def cut_off(self, name: str) -> None:
        """Cut a node off from all others, and from the store."""
        self.nodes[name].store.disconnected = True
        for other in self.nodes:
            self.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        """End all partitions."""
        self.cut.clear()
        for arrive in self._held_back:
            arrive()
        self._held_back.clear()
        for node in self.nodes.values():
            node.store.disconnected = False

    def send(
        self, source: QuotaNode, target: QuotaNode, action: Callable[[], None]
    ) -> None:
        """Run an action at another node after the latency, unless it is cut off."""

        def arrive() -> None:
            if (source.name, target.name) in self.cut:
                self._held_back.append(arrive)
            elif not target.alive:
                return
            elif target.running.is_set():
                action()
            else:
                target.inbox.append(action)

        delay_s = self.rng.uniform(*self.latency_s)
        asyncio.get_running_loop().call_later(delay_s, arrive)

    def configure(self, organisations: tuple[Organisation, ...]) -> None:
        """Put a new version in force; nodes apply it within a second."""
        version = self.config.version + 1
        self.config = MeshConfig(version, (), (), LIMITS, organisations)
        loop = asyncio.get_running_loop()
        for node in self.nodes.values():
            loop.call_later(self.rng.uniform(0, 1), node.configure, self.config)

    def holders(self) -> dict[str, list[str]]:
        """Return the nodes that hold each slot, by their own clocks."""
        held: dict[str, list[str]] = {}
        for name, node in self.nodes.items():
            for slot in range(12):
                if node.alive and node.keeper.held(f"quota-{slot}") is not None:
                    held.setdefault(f"quota-{slot}", []).append(name)
        return held

    def stop(self) -> None:
        for node in self.nodes.values():
            node.alive = False
            node.task.cancel()
