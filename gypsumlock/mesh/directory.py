"""Directory of the known upstreams, and the connections to their nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.model import CallOutcome, UpstreamRecord
from gypsumlock.mesh.owner import UpstreamOwner
from gypsumlock.mesh.peer_connection import PeerConnection
from gypsumlock.mesh.placement import UpstreamView
from gypsumlock.mesh.quota_messages import Grant
from gypsumlock.mesh.state import MeshState

__all__ = ["UpstreamDirectory"]

log = get_logger(Component.MEMBERS)

# Time between two checks for ejected upstreams that are due to be probed, in seconds.
PROBE_INTERVAL_S = 0.25


class UpstreamDirectory:
    """Upstreams by service, built from the records that nodes publish.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    owner : UpstreamOwner
        Sends calls to the local upstream.
    """

    __slots__ = (
        "_by_service",
        "_connections",
        "_owner",
        "_records",
        "_state",
        "on_grant",
        "serving_nodes",
    )

    def __init__(self, state: MeshState, owner: UpstreamOwner) -> None:
        self._state = state
        self._owner = owner
        self._records: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, list[UpstreamView]] = {}
        self._connections: dict[str, PeerConnection] = {}
        # Nodes whose upstreams serve; replaced when the records change.
        self.serving_nodes: tuple[str, ...] = ()
        # Receives the grants of other nodes, if this node asks for any.
        self.on_grant: Callable[[Grant], None] | None = None

    @property
    def upstream_count(self) -> int:
        """Number of upstreams whose records say that they serve."""
        return sum(len(views) for views in self._by_service.values())

    def views(self, service: str) -> Sequence[UpstreamView]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, ())

    def knows(self, node: str) -> bool:
        """Return whether there is a record of a node."""
        return node in self._records

    def update(self, records: dict[str, UpstreamRecord]) -> None:
        """Replace the records of all nodes.

        Views of upstreams that are still listed are kept.

        Parameters
        ----------
        records : dict[str, UpstreamRecord]
            Records by node name.
        """
        old_views = {
            (view.node, view.instance): view
            for views in self._by_service.values()
            for view in views
        }
        by_service: dict[str, list[UpstreamView]] = {}
        for record in records.values():
            if not record.serving or not record.instance:
                continue
            view = old_views.get((record.node, record.instance))
            if view is None:
                view = UpstreamView(
                    record.node, record.instance, record.zone, record.link_mbps
                )
                log.info(
                    "upstream discovered",
                    node=record.node,
                    instance=record.instance,
                    service=record.service,
                    zone=record.zone,
                )
            view.version = record.version
            by_service.setdefault(record.service, []).append(view)
        self._records = records
        self._by_service = by_service
        serving_nodes = tuple(name for name, x in records.items() if x.serving)
        if serving_nodes != self.serving_nodes:
            self.serving_nodes = serving_nodes
        self._close_stale_connections()

    async def send(
        self,
        view: UpstreamView,
        attempt: Attempt,
        may_fail_over: Callable[[], bool],
    ) -> CallOutcome:
        """Send a call to the node of an upstream, and return the outcome.

        Parameters
        ----------
        view : UpstreamView
            The upstream.
        attempt : Attempt
            The attempt of the call.
        may_fail_over : Callable[[], bool]
            Polled while that node is silent; if it returns True, the call fails at
            once.
        """
        if view.node == self._state.node:
            attempt.is_with_owner = True
            return await self._owner.run_call(attempt.request)
        connection = self.connection_to(view.node)
        return await connection.call(
            attempt.request,
            may_fail_over,
            attempt,
            self._records[view.node].requests_bodies,
        )

    def withdraw(self, attempt: Attempt) -> None:
        """Ask the owner to refuse a call if it has not reached the upstream yet."""
        if attempt.node == self._state.node:
            self._owner.withdraw(attempt.request)
        elif attempt.node in self._connections:
            self._connections[attempt.node].withdraw(attempt.request)

    def withdraw_queued_calls(self) -> None:
        """Ask every owner to refuse the calls of this node that are still queued."""
        self._owner.withdraw_all()
        for connection in self._connections.values():
            connection.withdraw_queued_calls()

    def disable_silence_timeouts(self) -> None:
        """Stop failing calls because the other node is silent.

        A stopping node waits for its last responses: another node could only start
        the call anew, and a call that is aborted at that point is lost to its client.
        """
        for connection in self._connections.values():
            connection.ignore_silence = True

    async def probe_ejected_upstreams(self) -> None:
        """Probe ejected upstreams until cancelled; their nodes could not be reached.

        Also applies what the connections have reported meanwhile.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            now_s = loop.time()
            views = [view for listed in self._by_service.values() for view in listed]
            for view in views:
                self._apply_reports(view, now_s)
            due = [x for x in views if x.ejected and x.next_probe_at_s <= now_s]
            await asyncio.gather(*(self._probe(view) for view in due))

    def _apply_reports(self, view: UpstreamView, now_s: float) -> None:
        """Apply the last unsolicited load report of an owner, and its silence."""
        connection = self._connections.get(view.node)
        if connection is None:
            return
        if connection.load is not None:
            view.record_load("", connection.load, now_s)
            connection.load = None
        if connection.unresponsive:
            connection.unresponsive = False
            if not view.ejected:
                log.warning("upstream unresponsive", node=view.node)
                view.eject(now_s)

    async def _probe(self, view: UpstreamView) -> None:
        if view.node == self._state.node or await self.connection_to(view.node).probe():
            view.restore()
            log.info("upstream reachable again", node=view.node)
        else:
            view.eject(asyncio.get_running_loop().time())

    def has_node(self, node: str) -> bool:
        """Return whether there is a record of a node."""
        return node in self._records

    def connection_to(self, node: str) -> PeerConnection:
        """Return the connection to a node of which there is a record."""
        connection = self._connections.get(node)
        if connection is None:
            address = self._records[node].peer_address
            state = self._state
            connection = PeerConnection(
                address, state.link_meter, state.memory, state.pacer
            )
            connection.ignore_silence = self._state.stopping
            connection.on_grant = self.on_grant
            self._connections[node] = connection
        return connection

    def _close_stale_connections(self) -> None:
        """Close connections to nodes that are gone or whose address has changed."""
        for node, connection in list(self._connections.items()):
            record = self._records.get(node)
            if record is None or record.peer_address != connection.address:
                connection.close()
                del self._connections[node]
