"""Builds and runs one mesh node.

Phases:
1. Listen on all addresses.
2. Look at the upstream beside the node; read configuration and records.
3. Serve until a stop is requested.
4. Stop: unready and not chosen any more at once, go on serving those who have not
   learnt of it, refuse late comers, end when nothing is in flight.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.call_classifier import STOP_CALLS_S
from gypsumlock.mesh.caller import Caller
from gypsumlock.mesh.directory import Directory
from gypsumlock.mesh.feed_follower import FeedFollower
from gypsumlock.mesh.feed_relay import FeedRelay
from gypsumlock.mesh.fleet_feed import FleetFeed
from gypsumlock.mesh.http_server import CallServer, HttpHandler
from gypsumlock.mesh.link_server import LinkServer
from gypsumlock.mesh.owner import STOP_PEERS_S, Owner
from gypsumlock.mesh.placement import Placement
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_probe import probe_upstream
from gypsumlock.metrics import Metrics

__all__ = ["MeshNode"]

log = get_logger(Component.NODE)

# Time after a stop request in which clients learn that the node is not ready.
LEARN_S = 2.4
# Time before the end of the process at which calls without a slot are refused.
WITHDRAW_S = 0.4
# Time without a call in flight after which a stopping process ends.
QUIET_S = 0.2
STEP_S = 0.05


class MeshNode:
    """All parts of one mesh node.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    """

    __slots__ = (
        "calls",
        "directory",
        "feed",
        "follower",
        "metrics",
        "owner",
        "peers",
        "relay",
        "side_servers",
        "state",
    )

    def __init__(self, state: MeshState) -> None:
        self.state = state
        self.metrics = Metrics()
        self.owner = Owner(state)
        self.directory = Directory(state, self.owner)
        self.feed = FleetFeed(state, self.directory)
        self.relay = FeedRelay(state, self.feed)
        self.feed.listener = self.relay
        chance = random.Random()
        self.follower = FeedFollower(state, self.feed, self.relay, chance)
        placement = Placement(state.node, state.zone, chance)
        caller = Caller(state, self.directory, placement, self.metrics, chance)
        self.calls = CallServer(caller)
        self.peers = LinkServer(self.owner, self.relay, state.link_meter, state.pacer)
        # Readiness and heartbeats.
        self.side_servers: list[CallServer] = []

    async def listen(self, readiness: HttpHandler, heartbeats: HttpHandler) -> None:
        """Open all addresses; raises OSError if one is taken."""
        addresses = self.state.addresses
        await self.calls.start(addresses.calls)
        await self.peers.start(addresses.peers)
        self.side_servers = [CallServer(readiness), CallServer(heartbeats)]
        await self.side_servers[0].start(addresses.readiness)
        await self.side_servers[1].start(addresses.heartbeats)

    def close(self) -> None:
        """Stop listening, and close every connection at once."""
        self.peers.stop()
        for server in (self.calls, *self.side_servers):
            server.stop_listening()
            for connection in list(server.connections):
                connection.abort()

    async def run(
        self, controllers: Sequence[Controller], stop_requested: asyncio.Event
    ) -> None:
        """Run until a stop was requested and everything in flight is answered."""
        async with anyio.create_task_group() as tasks:
            for controller in controllers:
                tasks.start_soon(controller.run)
            tasks.start_soon(self.relay.run)
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.directory.probe_avoided)
            tasks.start_soon(self._recognise_upstream)
            log.info("node started", node=self.state.node, zone=self.state.zone)
            await stop_requested.wait()
            await self._stop()
            tasks.cancel_scope.cancel()
        log.info("node stopped", node=self.state.node)

    async def _recognise_upstream(self) -> None:
        """Carry on with the upstream that an earlier process stood beside."""
        last = await self.state.restored
        await self.state.configured.wait()
        await probe_upstream(self.state, last)
        # Either way the row in the store may now have to be corrected.
        self.upstream_changed()

    def upstream_changed(self) -> None:
        """Pass on that the registry holds something new."""
        self.owner.upstream_changed()
        self.state.upstream_changed.set()
        self.peers.report(self.owner.load())

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.state.stopping_since_s = began_s
        self.calls.closing = True
        self.directory.wait_out_silence()
        self.upstream_changed()
        log.info("stop requested", in_flight=self.calls.busy())
        await asyncio.sleep(STOP_PEERS_S)
        # Whoever still waits here can have a slot elsewhere, but not here in time.
        self.owner.withdraw_all()
        await asyncio.sleep(LEARN_S - STOP_PEERS_S)
        end_s = self.state.ends_at_s
        quiet_since_s = loop.time()
        while loop.time() < end_s:
            self.calls.close_idle()
            now_s = loop.time()
            if self.calls.busy() or self.owner.busy() or self.peers.busy():
                quiet_since_s = now_s
            if now_s > end_s - WITHDRAW_S and not self.state.ending:
                self.state.ending = True
                self.directory.withdraw_waiting()
            late = now_s - began_s > STOP_CALLS_S
            if late and now_s - quiet_since_s > QUIET_S:
                break
            await asyncio.sleep(STEP_S)
        self.calls.stop_listening()
