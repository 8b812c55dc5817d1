"""The upstreams that a node knows of, and its connections to their nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.link import PeerLink
from gypsumlock.mesh.model import CallOutcome, CallRequest, UpstreamRecord
from gypsumlock.mesh.owner import Owner
from gypsumlock.mesh.placement import UpstreamView
from gypsumlock.mesh.state import MeshState

__all__ = ["Directory"]

log = get_logger(Component.MEMBERS)

# Time between two looks at upstreams that are avoided.
PROBE_INTERVAL_S = 0.25


class Directory:
    """Upstreams by service, built from the records that nodes publish.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    owner : Owner
        Carries calls to the upstream beside this node.
    """

    __slots__ = ("_by_service", "_links", "_owner", "_records", "_state")

    def __init__(self, state: MeshState, owner: Owner) -> None:
        self._state = state
        self._owner = owner
        self._records: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, list[UpstreamView]] = {}
        self._links: dict[str, PeerLink] = {}

    @property
    def upstream_count(self) -> int:
        """Number of upstreams that serve, as far as is known."""
        return sum(len(views) for views in self._by_service.values())

    def views(self, service: str) -> Sequence[UpstreamView]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, ())

    def update(self, records: dict[str, UpstreamRecord]) -> None:
        """Replace what is known of all nodes.

        Parameters
        ----------
        records : dict[str, UpstreamRecord]
            Records by the name of their node.
        """
        kept = {
            (view.node, view.instance): view
            for views in self._by_service.values()
            for view in views
        }
        by_service: dict[str, list[UpstreamView]] = {}
        for record in records.values():
            if not record.serving or not record.instance:
                continue
            view = kept.get((record.node, record.instance))
            if view is None:
                view = UpstreamView(
                    record.node, record.instance, record.zone, record.link_mbps
                )
                log.info(
                    "upstream known",
                    node=record.node,
                    instance=record.instance,
                    service=record.service,
                    zone=record.zone,
                )
            by_service.setdefault(record.service, []).append(view)
        self._records = records
        self._by_service = by_service
        self._drop_links()

    async def send(
        self,
        view: UpstreamView,
        request: CallRequest,
        may_give_up: Callable[[], bool],
    ) -> CallOutcome:
        """Carry a call to the node beside an upstream.

        Parameters
        ----------
        view : UpstreamView
            The upstream.
        request : CallRequest
            The call.
        may_give_up : Callable[[], bool]
            Asked while that node is silent; True fails the call at once.
        """
        if view.node == self._state.node:
            return await self._owner.run_call(request)
        return await self._link(view.node).call(request, may_give_up)

    def withdraw_waiting(self) -> None:
        """Ask every owner to refuse those calls of this node that still wait."""
        self._owner.withdraw_all()
        for link in self._links.values():
            link.withdraw_waiting()

    def wait_out_silence(self) -> None:
        """Give up no call for silence any more.

        A node that stops waits for its last answers: another node could only begin
        anew, and what is broken off then is lost to its client.
        """
        for link in self._links.values():
            link.patient = True

    async def probe_avoided(self) -> None:
        """Look again at upstreams that could not be reached, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            now_s = loop.time()
            views = [view for known in self._by_service.values() for view in known]
            for view in views:
                self._read_report(view, now_s)
            due = [x for x in views if x.avoided and x.ejected_until_s <= now_s]
            await asyncio.gather(*(self._probe(view) for view in due))

    def _read_report(self, view: UpstreamView, now_s: float) -> None:
        """Take in what the owner reported without being asked."""
        link = self._links.get(view.node)
        if link is not None and link.load is not None:
            view.note_load("", link.load, now_s)
            link.load = None

    async def _probe(self, view: UpstreamView) -> None:
        if view.node == self._state.node or await self._link(view.node).probe():
            view.restore()
            log.info("upstream reachable again", node=view.node)
        else:
            view.eject(asyncio.get_running_loop().time())

    def _link(self, node: str) -> PeerLink:
        link = self._links.get(node)
        if link is None:
            address = self._records[node].peer_address
            link = PeerLink(address, self._state.link_meter)
            link.patient = self._state.stopping
            self._links[node] = link
        return link

    def _drop_links(self) -> None:
        """Close connections to nodes that are gone or have moved."""
        for node, link in list(self._links.items()):
            record = self._records.get(node)
            if record is None or record.peer_address != link.address:
                link.close()
                del self._links[node]
