"""Builds and runs one mesh node.

Phases:
1. Listen on all addresses.
2. Probe the local upstream; read configuration and records.
3. Serve until a stop is requested.
4. Stop: at once report not ready and stop being selected by other nodes; go on serving
   callers that have not noticed it yet; refuse late calls; exit when no call is in
   flight.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.call_charger import CallCharger
from gypsumlock.mesh.caller import CallDispatcher
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.feed_follower import FeedFollower
from gypsumlock.mesh.feed_relay import FeedRelay
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.http_server import CallServer, HttpHandler
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.owner import UpstreamOwner
from gypsumlock.mesh.peer_server import PeerServer
from gypsumlock.mesh.placement import UpstreamSelector
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_probe import probe_upstream
from gypsumlock.metrics import Metrics
from gypsumlock.quota.client import QuotaClient
from gypsumlock.quota.granter import QuotaGranter

__all__ = ["MeshNode"]

log = get_logger(Component.NODE)

# Time before the end of the process at which calls without a slot are refused.
WITHDRAW_BEFORE_END_S = 0.4
# Time without a call in flight after which a stopping process exits.
IDLE_BEFORE_EXIT_S = 0.2
STOP_POLL_INTERVAL_S = 0.05
# Memory of a server for readiness probes or heartbeats, of which a share is for the
# bodies that it receives, in megabytes.
CONTROL_MEMORY_MB = 16.0


class MeshNode:
    """Components of one mesh node.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    """

    __slots__ = (
        "call_server",
        "control_servers",
        "directory",
        "dispatcher",
        "feed",
        "follower",
        "metrics",
        "owner",
        "peer_server",
        "quota_granter",
        "relay",
        "state",
    )

    def __init__(self, state: MeshState) -> None:
        self.state = state
        self.metrics = Metrics()
        self.owner = UpstreamOwner(state)
        self.directory = UpstreamDirectory(state, self.owner)
        self.feed = FleetFeed(state, self.directory)
        self.relay = FeedRelay(state, self.feed)
        self.feed.listener = self.relay
        rng = random.Random()
        self.follower = FeedFollower(state, self.feed, self.relay, rng)
        selector = UpstreamSelector(state.node, state.zone, rng)
        self.dispatcher = CallDispatcher(
            state, self.directory, selector, self.metrics, rng
        )
        shares = state.descriptors
        self.call_server = CallServer(self.dispatcher, state.memory, shares.clients)
        self.peer_server = PeerServer(
            self.owner,
            self.relay,
            state.link_meter,
            state.pacer,
            state.memory,
            shares.peers,
        )
        self.quota_granter = QuotaGranter(
            state, self.directory, self.metrics, boot_time_s
        )
        quota_client = QuotaClient(
            state, self.directory, self.quota_granter, self.metrics, rng, boot_time_s
        )
        self.dispatcher.charger = CallCharger(state, quota_client)
        self.directory.on_grant = quota_client.receive
        self.peer_server.grant = self.quota_granter.grant
        # Servers for readiness checks and heartbeats.
        self.control_servers: list[CallServer] = []

    async def listen(self, readiness: HttpHandler, heartbeats: HttpHandler) -> None:
        """Listen on all addresses; raises OSError if one is in use."""
        addresses = self.state.addresses
        await self.call_server.start(addresses.calls)
        await self.peer_server.start(addresses.peers)
        max_connections = self.state.descriptors.control
        self.control_servers = [
            CallServer(handler, MemoryAccount(CONTROL_MEMORY_MB), max_connections)
            for handler in (readiness, heartbeats)
        ]
        await self.control_servers[0].start(addresses.readiness)
        await self.control_servers[1].start(addresses.heartbeats)

    def close(self) -> None:
        """Stop listening, and abort every connection."""
        self.peer_server.stop()
        for server in (self.call_server, *self.control_servers):
            server.stop_listening()
            for connection in list(server.connections):
                connection.abort()

    async def run(
        self, controllers: Sequence[Controller], stop_requested: asyncio.Event
    ) -> None:
        """Run until a stop is requested and the calls in flight are answered."""
        async with anyio.create_task_group() as tasks:
            for controller in controllers:
                tasks.start_soon(controller.run)
            tasks.start_soon(self.relay.run)
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.directory.probe_ejected_upstreams)
            tasks.start_soon(self._restore_upstream)
            log.info("node started", node=self.state.node, zone=self.state.zone)
            await stop_requested.wait()
            await self._stop()
            tasks.cancel_scope.cancel()
        log.info("node stopped", node=self.state.node)

    async def _restore_upstream(self) -> None:
        """Resume with the upstream of an earlier process, if a probe confirms it."""
        previous = await self.state.previous_record
        await self.state.configured.wait()
        await probe_upstream(self.state, previous)
        self.state.upstream_probed = True
        # Whatever the probe found, the row in the store may now be out of date.
        self.notify_upstream_changed()

    def notify_upstream_changed(self) -> None:
        """Notify the other components that the upstream registry has changed."""
        self.owner.upstream_changed()
        self.state.publish_needed.set()
        self.peer_server.broadcast_load(self.owner.load())

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.state.stopping_since_s = began_s
        self.call_server.closing = True
        self.directory.disable_silence_timeouts()
        self.notify_upstream_changed()
        log.info("stop requested", in_flight=self.call_server.count_busy_connections())
        bounds = self.state.bounds
        self.dispatcher.limit_deadlines()
        await asyncio.sleep(bounds.peer_drain_s)
        # A call that is still queued here won't get a slot in time, but may get one at
        # another owner.
        self.owner.withdraw_all()
        await asyncio.sleep(bounds.readiness_propagation_s - bounds.peer_drain_s)
        withdraw_at_s = self.state.ends_at_s - WITHDRAW_BEFORE_END_S
        idle_since_s = loop.time()
        while loop.time() < self.state.exits_at_s:
            self.call_server.close_idle_connections()
            now_s = loop.time()
            if (
                self.call_server.count_busy_connections()
                or self.owner.busy()
                or self.peer_server.busy()
            ):
                idle_since_s = now_s
            if now_s > withdraw_at_s and not self.state.dispatch_stopped:
                self.state.dispatch_stopped = True
                self.directory.withdraw_queued_calls()
            can_exit = now_s - began_s > bounds.client_drain_s
            if can_exit and now_s - idle_since_s > IDLE_BEFORE_EXIT_S:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.call_server.stop_listening()
