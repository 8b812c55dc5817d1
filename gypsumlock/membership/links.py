"""Sends heartbeats to the neighbours and detects their failures.

Each link serves one neighbour. It sends a heartbeat at every interval, and at once
when there are changes to push. If a heartbeat fails, the link probes the neighbour
directly, by a second heartbeat, and at the same time indirectly, through two other
members. The neighbour becomes a suspect only if all of these probes fail.
"""

from __future__ import annotations

import random
from typing import Any

import anyio
import anyio.abc
from result import Err, Ok

from gypsumlock import defaults
from gypsumlock.blackboard import Board, Entry
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.gossip import apply_report, build_report
from gypsumlock.membership.member import Member
from gypsumlock.membership.overlay import choose_neighbours
from gypsumlock.options import MembershipOptions
from gypsumlock.peering import PeerTransport

__all__ = ["LinkController", "is_reachable"]

log = get_logger(Component.MEMBERS)


class LinkController(Controller):
    """Keeps one link to each neighbour and pushes changes to all of them."""

    def __init__(
        self, board: Board, transport: PeerTransport, options: MembershipOptions
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._links: dict[str, _NeighbourLink] = {}
        board.members.on_change(self._push)

    async def run(self) -> None:
        """Update the links whenever the member view changes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wake_links_on, self._board.held)
            tasks.start_soon(self._wake_links_on, self._board.heartbeat_request)
            while True:
                revision = self._board.member_changes.revision
                self._update_links(tasks)
                await self._board.member_changes.wait_past(revision)
                await anyio.sleep(defaults.PUSH_DELAY_S)

    def _update_links(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and stop links so that each chosen neighbour has one."""
        neighbours = choose_neighbours(
            self._board.node.address, self._board.members.others()
        )
        neighbour_addresses = {member.address for member in neighbours}
        for address in set(self._links) - neighbour_addresses:
            self._links.pop(address).stop()
            log.info("neighbour removed", peer=address)
        for address in neighbour_addresses - set(self._links):
            link = _NeighbourLink(self._board, self._transport, self._options, address)
            self._links[address] = link
            tasks.start_soon(link.run)
            log.info("neighbour added", peer=address)

    def _push(self, record: Member) -> None:
        for link in self._links.values():
            link.push(record)

    async def _wake_links_on(self, entry: Entry[Any]) -> None:
        """Make every link send a heartbeat whenever the entry is written."""
        revision = entry.revision
        while True:
            revision = await entry.wait_past(revision)
            for link in self._links.values():
                link.wake()


class _NeighbourLink:
    """Sends heartbeats to one neighbour and detects its failure."""

    __slots__ = (
        "_address",
        "_board",
        "_digest_differed",
        "_options",
        "_pending_records",
        "_scope",
        "_transport",
        "_wake_requested",
    )

    def __init__(
        self,
        board: Board,
        transport: PeerTransport,
        options: MembershipOptions,
        address: str,
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._address = address
        # Records that still have to be sent to the neighbour, by address.
        self._pending_records: dict[str, Member] = {}
        self._wake_requested = anyio.Event()
        self._scope = anyio.CancelScope()
        # Whether the digests already differed at the last heartbeat.
        self._digest_differed = False
        # The neighbour may not know this node yet.
        self._pending_records[board.node.address] = board.members.own

    def push(self, record: Member) -> None:
        """Queue a record, replacing an older one of its address, and wake the link."""
        self._pending_records[record.address] = record
        self.wake()

    def wake(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._wake_requested.set()

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._scope.cancel()

    async def run(self) -> None:
        """Send heartbeats until the link is stopped."""
        with self._scope:
            while True:
                await self._send_heartbeat()
                await self._wait_for_next_heartbeat()

    async def _wait_for_next_heartbeat(self) -> None:
        interval_s = self._options.exchange_interval_s * random.uniform(0.8, 1.0)
        with anyio.move_on_after(interval_s):
            await self._wake_requested.wait()
            # Batches changes that arrive at nearly the same time into one heartbeat.
            await anyio.sleep(defaults.PUSH_DELAY_S)

    async def _send_heartbeat(self) -> None:
        self._wake_requested = anyio.Event()
        batch = self._take_batch()
        report = build_report(self._board, list(batch.values()), regular=True)
        reply = await self._transport.exchange(
            self._address, report, self._options.exchange_timeout_s
        )
        if isinstance(reply, Ok):
            apply_report(self._board, reply.ok_value)
            await self._repair_view(reply.ok_value.members_digest)
            return
        # A record that was queued meanwhile is newer than the one that was not sent.
        self._pending_records = batch | self._pending_records
        log.debug("heartbeat failed", peer=self._address, fault=reply.err_value.code)
        if not await is_reachable(
            self._board, self._transport, self._options, self._address
        ):
            self._mark_suspect()

    def _take_batch(self) -> dict[str, Member]:
        """Remove and return as many pending records as one heartbeat may carry."""
        addresses = list(self._pending_records)[: defaults.MEMBERS_PER_EXCHANGE]
        if len(addresses) < len(self._pending_records):
            self._wake_requested.set()
        return {address: self._pending_records.pop(address) for address in addresses}

    async def _repair_view(self, peer_digest: int) -> None:
        """Fetch the differing buckets if the views differ at two heartbeats in a row.

        At the first difference, queues the node's own record instead.
        """
        if peer_digest == self._board.members.digest():
            self._digest_differed = False
            return
        if not self._digest_differed:
            self._digest_differed = True
            self._pending_records[self._board.node.address] = self._board.members.own
            return
        self._digest_differed = False
        reply = await self._transport.sync(
            self._address,
            self._board.members.bucket_digests(),
            self._options.exchange_timeout_s,
        )
        if isinstance(reply, Ok):
            new_records = self._board.members.merge(reply.ok_value)
            log.info("member view repaired", peer=self._address, records=new_records)

    def _mark_suspect(self) -> None:
        if self._board.members.mark_suspect(self._address):
            log.warning("node suspected", peer=self._address)


async def is_reachable(
    board: Board,
    transport: PeerTransport,
    options: MembershipOptions,
    address: str,
) -> bool:
    """Return whether a node answers, directly or through two other members."""
    known_record = board.members.get(address)
    candidates = [m.address for m in board.members.others() if m.address != address]
    relay_addresses = random.sample(
        candidates, min(defaults.INDIRECT_PROBES, len(candidates))
    )
    timeout_s = options.exchange_timeout_s
    reached = False
    async with anyio.create_task_group() as tasks:

        async def probe_directly() -> None:
            nonlocal reached
            # Shows the node its record, so that it can refute a suspicion.
            report = build_report(board, [known_record] if known_record else [])
            reply = await transport.exchange(address, report, timeout_s)
            if isinstance(reply, Ok):
                apply_report(board, reply.ok_value)
                reached = True
                tasks.cancel_scope.cancel()

        async def probe_through(relay_address: str) -> None:
            nonlocal reached
            reply = await transport.probe(relay_address, address, timeout_s)
            if isinstance(reply, Err) or not reply.ok_value:
                return
            reached = True
            tasks.cancel_scope.cancel()

        tasks.start_soon(probe_directly)
        for relay_address in relay_addresses:
            tasks.start_soon(probe_through, relay_address)
    return reached
