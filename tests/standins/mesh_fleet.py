"""A few mesh nodes in one process, each beside an upstream, and a client."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import httpcore
import msgspec
from result import Ok, Result

from gypsumlock.mesh.http_server import HttpHandler, HttpRequest, ServerConnection
from gypsumlock.mesh.model import (
    ClientLimits,
    HeaderNames,
    MeshConfig,
    NodeAddresses,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
)
from gypsumlock.mesh.node import MeshNode
from gypsumlock.mesh.state import MeshBounds, MeshState
from gypsumlock.mesh.upstream_registry import Departure, Heartbeat
from gypsumlock.mesh.watchers import ConfigWatcher, RecordPublisher, RecordWatcher
from gypsumlock.result_codes import Fault
from tests.standins.feed_store import MemoryFeedStore, StoreAccess
from tests.standins.mesh_upstream import MeshUpstream
from tests.standins.ports import free_ports

__all__ = ["ClientAnswer", "MeshFleet", "Place", "free_address", "make_config"]

NAMES = HeaderNames(
    b"request-id",
    b"deadline-ms",
    b"target-instance",
    b"caller-service",
    b"not-executed",
    b"instance-id",
)
LIMITS = ClientLimits(16_384, 1_000_000, 3.0, 15.0)
WAIT_S = 5.0


@dataclass(slots=True)
class ClientAnswer:
    """What a client got."""

    request_id: bytes
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    took_s: float


@dataclass(slots=True)
class Place:
    """One instance: a node and the upstream beside it."""

    name: str
    service: str
    zone: str
    upstream: MeshUpstream
    addresses: NodeAddresses
    node: MeshNode
    store: StoreAccess
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    sequence: int = 0

    def beat(self, slots: int = 4, leaving: bool = False, born_ms: int = 1000) -> None:
        """Report the upstream to its node."""
        self.sequence += 1
        self.node.state.registry.observe(
            Heartbeat(
                self.upstream.instance,
                self.upstream.address,
                self.service,
                self.zone,
                slots,
                leaving,
                self.sequence,
                0.0,
                born_ms,
            )
        )
        self.node.upstream_changed()

    def depart(self) -> None:
        """Report that the upstream ends."""
        self.node.state.registry.record_departure(Departure(self.upstream.instance, 0))
        self.node.upstream_changed()


def make_config(
    version: int = 1,
    timeout_s: float = 2.0,
    target_latency_s: float = 1.0,
    shares: tuple[ServiceShare, ...] = (ServiceShare("finder", 1.0),),
    max_attempts: int = 2,
) -> MeshConfig:
    """Return a version with a repeatable and an unrepeatable route."""
    routes = tuple(
        RouteSpec(
            name=name,
            host="a.example",
            prefix=f"/{name}/",
            repeatable=repeatable,
            timeout_s=timeout_s,
            target_latency_s=target_latency_s,
            rank=rank,
            max_attempts=max_attempts,
            shares=shares,
        )
        for name, repeatable, rank in (("search", True, 1), ("book", False, 0))
    )
    services = (ServiceSpec("finder", "/healthz", 100),)
    return MeshConfig(version, routes, services, LIMITS)


class _Ready(HttpHandler):
    def __init__(self, state: MeshState) -> None:
        self._state = state

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        connection.answer(200 if self._state.ready() else 503, [], b"")


def free_address() -> str:
    """Return an address on which nobody listens."""
    return f"127.0.0.1:{free_ports(1)[0]}"


def _decode(value: bytes) -> Result[MeshConfig, Fault]:
    return Ok(msgspec.json.decode(value, type=MeshConfig))


class MeshFleet:
    """Starts places, and sends calls to them; an asynchronous context manager."""

    def __init__(self) -> None:
        self.store = MemoryFeedStore()
        self.places: list[Place] = []
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._numbers = 0

    async def __aenter__(self) -> MeshFleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._pool.aclose()
        for place in self.places:
            if place.task is not None:
                place.task.cancel()
            place.node.close()
            place.upstream.stop()
        tasks = [place.task for place in self.places if place.task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)

    def configure(self, config: MeshConfig) -> None:
        """Write a version as the operator."""
        self.store.put("op", "config", msgspec.json.encode(config))

    async def add(
        self,
        name: str,
        service: str = "finder",
        zone: str = "a",
        slots: int = 4,
        instance: str = "",
        link_mbps: float = 0.0,
    ) -> Place:
        """Start a place whose upstream reports itself at once."""
        upstream = MeshUpstream(instance or f"i-{name}")
        await upstream.start()
        calls, peers, readiness, heartbeats = (free_address() for _ in range(4))
        addresses = NodeAddresses(calls, peers, readiness, heartbeats, upstream.address)
        place = self._build(name, service, zone, upstream, addresses, link_mbps)
        self.places.append(place)
        await self.start(place)
        if slots:
            place.beat(slots)
        return place

    async def restart(self, place: Place) -> None:
        """Kill a node and start it again; its upstream goes on."""
        assert place.task is not None
        place.task.cancel()
        await asyncio.gather(place.task, return_exceptions=True)
        place.node.close()
        fresh = self._build(
            place.name, place.service, place.zone, place.upstream, place.addresses
        )
        place.node = fresh.node
        place.store = fresh.store
        await self.start(place)

    async def start(self, place: Place) -> None:
        """Run the node of a place."""
        state = place.node.state
        await place.node.listen(_Ready(state), _Ready(state))
        controllers = [
            ConfigWatcher(place.store, place.node.feed, "op", "config", _decode),
            RecordWatcher(place.store, state, place.node.feed),
            RecordPublisher(place.store, state, place.node.feed),
        ]
        place.task = asyncio.create_task(place.node.run(controllers, place.stop))

    async def settle(self, upstreams: int | None = None) -> None:
        """Wait until every node is ready and knows the upstreams."""
        wanted = len(self.places) if upstreams is None else upstreams
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            nodes = [place.node for place in self.places]
            if all(
                node.state.ready() and node.directory.upstream_count == wanted
                for node in nodes
            ):
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the fleet did not settle")

    async def call(
        self,
        place: Place,
        path: str = "/search/x",
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> ClientAnswer:
        """Send one call to the node of a place."""
        self._numbers += 1
        sent = {
            "Host": "a.example",
            "Request-Id": f"{self._numbers:08x}",
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        began_s = time.monotonic()
        answer = await self._pool.request(
            method,
            f"http://{place.addresses.calls}{path}",
            headers=list(sent.items()),
            content=body or None,
        )
        took_s = time.monotonic() - began_s
        found = {name.lower(): value for name, value in answer.headers}
        request_id = sent["Request-Id"].encode()
        return ClientAnswer(request_id, answer.status, found, answer.content, took_s)

    def _build(
        self,
        name: str,
        service: str,
        zone: str,
        upstream: MeshUpstream,
        addresses: NodeAddresses,
        link_mbps: float = 0.0,
    ) -> Place:
        bounds = MeshBounds(6.0, 0.2, 56.0, 10.0)
        state = MeshState(name, zone, service, addresses, NAMES, bounds, link_mbps)
        node = MeshNode(state)
        store = StoreAccess(self.store)
        return Place(name, service, zone, upstream, addresses, node, store)
