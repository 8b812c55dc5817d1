"""Several mesh nodes in one process, each with its own upstream, and a client."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import httpcore
import msgspec
from result import Ok, Result

from gypsumlock.controller import Controller
from gypsumlock.leases import LeaseKeeper
from gypsumlock.mesh.config_watcher import ConfigWatcher
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import HttpHandler, ServerConnection
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
from gypsumlock.mesh.record_publisher import RecordPublisher
from gypsumlock.mesh.record_watcher import RecordWatcher
from gypsumlock.mesh.state import (
    MeshBounds,
    MeshState,
    QuotaBounds,
    RevocationBounds,
    RolloutBounds,
)
from gypsumlock.mesh.upstream_registry import Departure, Heartbeat
from gypsumlock.platform.rollout import PlatformRolloutRows
from gypsumlock.result_codes import Fault
from gypsumlock.rollout.wiring import rollout_controllers
from tests.standins.feed_store import MemoryFeedStore, StoreAccess
from tests.standins.mesh_upstream import MeshUpstream
from tests.standins.ports import free_ports

__all__ = ["ClientResponse", "MeshFleet", "MeshHost", "free_address", "make_config"]

HEADER_NAMES = HeaderNames(
    b"request-id",
    b"deadline-ms",
    b"target-instance",
    b"caller-service",
    b"not-executed",
    b"instance-id",
    b"server-seal",
    b"authorization",
    b"tenant",
)
LIMITS = ClientLimits(16_384, 1_000_000, 3.0, 15.0)
READY_TIMEOUT_S = 5.0


@dataclass(slots=True)
class ClientResponse:
    """The response that a client received."""

    request_id: bytes
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    took_s: float


@dataclass(slots=True)
class MeshHost:
    """A machine that runs a node and its upstream."""

    name: str
    service: str
    zone: str
    upstream: MeshUpstream
    addresses: NodeAddresses
    node: MeshNode
    store: StoreAccess
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    sequence: int = 0
    # Version of the upstream's software.
    version: str = ""

    def send_heartbeat(
        self, slots: int = 4, leaving: bool = False, born_ms: int = 1000
    ) -> None:
        """Send a heartbeat of the upstream to its node."""
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
                self.version,
            )
        )
        self.node.notify_upstream_changed()

    def deregister(self) -> None:
        """Deregister the upstream at its node."""
        self.node.state.registry.record_departure(Departure(self.upstream.instance, 0))
        self.node.notify_upstream_changed()


def make_config(
    version: int = 1,
    timeout_s: float = 2.0,
    target_latency_s: float = 1.0,
    shares: tuple[ServiceShare, ...] = (ServiceShare("finder", 1.0),),
    max_attempts: int = 2,
) -> MeshConfig:
    """Return a configuration version with a repeatable and an unrepeatable route."""
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


class _ReadinessHandler(HttpHandler):
    def __init__(self, state: MeshState) -> None:
        self._state = state

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        connection.send_response(200 if self._state.ready() else 503, [], b"")


def free_address() -> str:
    """Return a local address that is not in use."""
    return f"127.0.0.1:{free_ports(1)[0]}"


def _decode(value: bytes) -> Result[MeshConfig, Fault]:
    return Ok(msgspec.json.decode(value, type=MeshConfig))


class MeshFleet:
    """Starts hosts and sends calls to their nodes; an asynchronous context manager.

    Parameters
    ----------
    first_start : bool
        Whether the nodes are told that the whole fleet starts for the first time.
    revocation : RevocationBounds | None
        Bounds on the removal of API keys.
    rollout : RolloutBounds | None
        Bounds on roll-outs; None where there are none.
    quota : QuotaBounds | None
        Bounds of the quotas in the nodes' settings.
    """

    def __init__(
        self,
        first_start: bool = False,
        revocation: RevocationBounds | None = None,
        rollout: RolloutBounds | None = None,
        quota: QuotaBounds | None = None,
    ) -> None:
        self._first_start = first_start
        self._revocation = revocation
        self._rollout = rollout
        self._quota = quota
        self.store = MemoryFeedStore()
        self.hosts: list[MeshHost] = []
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._call_count = 0

    async def __aenter__(self) -> MeshFleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._pool.aclose()
        for host in self.hosts:
            if host.task is not None:
                host.task.cancel()
            host.node.close()
            host.upstream.stop()
        tasks = [host.task for host in self.hosts if host.task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)

    def configure(self, config: MeshConfig) -> None:
        """Write a configuration version as the operator does."""
        self.store.put("op", "config", msgspec.json.encode(config))

    async def add(
        self,
        name: str,
        service: str = "finder",
        zone: str = "a",
        slots: int = 4,
        instance: str = "",
        link_mbps: float = 0.0,
        memory_mb: float = 0.0,
        version: str = "",
    ) -> MeshHost:
        """Start a host; its upstream sends a heartbeat at once unless `slots` is 0."""
        upstream = MeshUpstream(instance or f"i-{name}")
        await upstream.start()
        calls, peers, readiness, heartbeats = (free_address() for _ in range(4))
        addresses = NodeAddresses(calls, peers, readiness, heartbeats, upstream.address)
        host = self._build(
            name, service, zone, upstream, addresses, link_mbps, memory_mb
        )
        host.version = version
        self.hosts.append(host)
        await self.start(host)
        if slots:
            host.send_heartbeat(slots)
        return host

    async def restart(self, host: MeshHost) -> None:
        """Kill a node and start it again, while its upstream keeps running."""
        assert host.task is not None
        host.task.cancel()
        await asyncio.gather(host.task, return_exceptions=True)
        host.node.close()
        restarted = self._build(
            host.name, host.service, host.zone, host.upstream, host.addresses
        )
        host.node = restarted.node
        host.store = restarted.store
        await self.start(host)

    async def start(self, host: MeshHost) -> None:
        """Start the node of a host."""
        state = host.node.state
        await host.node.listen(_ReadinessHandler(state), _ReadinessHandler(state))
        granter = host.node.quota_granter
        granter.leases = LeaseKeeper(
            host.store, state.node, granter.refresh, store_era=state.store_era
        )
        controllers: list[Controller] = [
            granter.leases,
            ConfigWatcher(host.store, host.node.feed, "op", "config", _decode),
            RecordWatcher(host.store, state, host.node.feed),
            RecordPublisher(host.store, state, host.node.feed),
        ]
        if self._rollout is not None:
            rows = PlatformRolloutRows()
            controllers += rollout_controllers(host.store, host.node, rows)
        host.task = asyncio.create_task(host.node.run(controllers, host.stop_requested))

    async def wait_until_ready(self, upstreams: int | None = None) -> None:
        """Wait until every node is ready and lists the number of upstreams.

        By default that is one upstream for each host.
        """
        expected = len(self.hosts) if upstreams is None else upstreams
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            nodes = [host.node for host in self.hosts]
            if all(
                node.state.ready() and node.directory.upstream_count == expected
                for node in nodes
            ):
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the fleet was not ready in time")

    async def call(
        self,
        host: MeshHost,
        path: str = "/search/x",
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> ClientResponse:
        """Send one call to the node of a host."""
        self._call_count += 1
        request_headers = {
            "Host": "a.example",
            "Request-Id": f"{self._call_count:08x}",
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        began_s = time.monotonic()
        response = await self._pool.request(
            method,
            f"http://{host.addresses.calls}{path}",
            headers=list(request_headers.items()),
            content=body or None,
        )
        took_s = time.monotonic() - began_s
        response_headers = {name.lower(): value for name, value in response.headers}
        request_id = request_headers["Request-Id"].encode()
        return ClientResponse(
            request_id, response.status, response_headers, response.content, took_s
        )

    def _build(
        self,
        name: str,
        service: str,
        zone: str,
        upstream: MeshUpstream,
        addresses: NodeAddresses,
        link_mbps: float = 0.0,
        memory_mb: float = 0.0,
    ) -> MeshHost:
        bounds = MeshBounds(
            6.0,
            0.2,
            56.0,
            10.0,
            quota=self._quota,
            revocation=self._revocation,
            rollout=self._rollout,
        )
        state = MeshState(
            name,
            zone,
            service,
            addresses,
            HEADER_NAMES,
            bounds,
            link_mbps,
            self._first_start,
            memory_mb,
        )
        node = MeshNode(state)
        store = StoreAccess(self.store)
        store.store_era = state.store_era
        return MeshHost(name, service, zone, upstream, addresses, node, store)
