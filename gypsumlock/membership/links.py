"""Heartbeats to the neighbours, and the failure detector on top of them.

Each link serves one neighbour: it sends a heartbeat at every interval, and at
once when there is news to push. When a heartbeat fails, the link confirms the
failure in parallel, by a second heartbeat and through two other members; only
when all of these fail does the neighbour become a suspect.
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
from gypsumlock.membership.gossip import make_report, take_report
from gypsumlock.membership.member import Member
from gypsumlock.membership.overlay import choose_neighbours
from gypsumlock.options import MembershipOptions
from gypsumlock.peering import PeerTransport

__all__ = ["LinkController", "is_reachable"]

log = get_logger(Component.MEMBERS)


class LinkController(Controller):
    """Keeps one link to each neighbour and feeds news into all of them."""

    def __init__(
        self, board: Board, transport: PeerTransport, options: MembershipOptions
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._links: dict[str, _Link] = {}
        board.members.on_change(self._push)

    async def run(self) -> None:
        """Match the links to the member view, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wake_on, self._board.held)
            tasks.start_soon(self._wake_on, self._board.poke)
            while True:
                revision = self._board.members_changed.revision
                self._match_links(tasks)
                await self._board.members_changed.wait_past(revision)
                await anyio.sleep(defaults.PUSH_DELAY_S)

    def _match_links(self, tasks: anyio.abc.TaskGroup) -> None:
        chosen = choose_neighbours(
            self._board.node.address, self._board.members.others()
        )
        wanted = {member.address for member in chosen}
        for address in set(self._links) - wanted:
            self._links.pop(address).stop()
            log.info("neighbour dropped", peer=address)
        for address in wanted - set(self._links):
            link = _Link(self._board, self._transport, self._options, address)
            self._links[address] = link
            tasks.start_soon(link.run)
            log.info("neighbour chosen", peer=address)

    def _push(self, record: Member) -> None:
        for link in self._links.values():
            link.push(record)

    async def _wake_on(self, entry: Entry[Any]) -> None:
        """Wake every link whenever the entry is written."""
        revision = entry.revision
        while True:
            revision = await entry.wait_past(revision)
            for link in self._links.values():
                link.wake()


class _Link:
    """Heartbeats to one neighbour."""

    __slots__ = (
        "_address",
        "_board",
        "_digest_differed",
        "_news",
        "_options",
        "_pending",
        "_scope",
        "_transport",
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
        # Records that the neighbour was not sent yet, by address.
        self._pending: dict[str, Member] = {}
        self._news = anyio.Event()
        self._scope = anyio.CancelScope()
        # True when the digests already differed at the last heartbeat.
        self._digest_differed = False
        # The neighbour may never have heard of this node.
        self._pending[board.node.address] = board.members.own

    def push(self, record: Member) -> None:
        """Queue a record; a newer one replaces an older one of its address."""
        self._pending[record.address] = record
        self.wake()

    def wake(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._news.set()

    def stop(self) -> None:
        """End the link."""
        self._scope.cancel()

    async def run(self) -> None:
        """Send heartbeats until the link is stopped."""
        with self._scope:
            while True:
                await self._beat()
                await self._wait_for_next()

    async def _wait_for_next(self) -> None:
        interval_s = self._options.exchange_interval_s * random.uniform(0.8, 1.0)
        with anyio.move_on_after(interval_s):
            await self._news.wait()
            # Collects what arrives together into one heartbeat.
            await anyio.sleep(defaults.PUSH_DELAY_S)

    async def _beat(self) -> None:
        self._news = anyio.Event()
        batch = self._take_batch()
        report = make_report(self._board, list(batch.values()), regular=True)
        answer = await self._transport.exchange(
            self._address, report, self._options.exchange_timeout_s
        )
        if isinstance(answer, Ok):
            take_report(self._board, answer.ok_value)
            await self._repair(answer.ok_value.members_digest)
            return
        # Records queued meanwhile are newer than the ones that failed.
        self._pending = batch | self._pending
        log.debug("heartbeat failed", peer=self._address, fault=answer.err_value.code)
        if not await is_reachable(
            self._board, self._transport, self._options, self._address
        ):
            self._suspect()

    def _take_batch(self) -> dict[str, Member]:
        addresses = list(self._pending)[: defaults.MEMBERS_PER_EXCHANGE]
        if len(addresses) < len(self._pending):
            self._news.set()
        return {address: self._pending.pop(address) for address in addresses}

    async def _repair(self, peer_digest: int) -> None:
        """Fetch the differing part of the view once a difference persists."""
        if peer_digest == self._board.members.digest():
            self._digest_differed = False
            return
        if not self._digest_differed:
            self._digest_differed = True
            self._pending[self._board.node.address] = self._board.members.own
            return
        self._digest_differed = False
        found = await self._transport.sync(
            self._address,
            self._board.members.bucket_digests(),
            self._options.exchange_timeout_s,
        )
        if isinstance(found, Ok):
            count = self._board.members.merge(found.ok_value)
            log.info("member view repaired", peer=self._address, records=count)

    def _suspect(self) -> None:
        if self._board.members.suspect(self._address):
            log.warning("node suspected", peer=self._address)


async def is_reachable(
    board: Board,
    transport: PeerTransport,
    options: MembershipOptions,
    address: str,
) -> bool:
    """Confirm whether a node answers, directly or through two other members."""
    known = board.members.get(address)
    others = [m.address for m in board.members.others() if m.address != address]
    helpers = random.sample(others, min(defaults.INDIRECT_PROBES, len(others)))
    timeout_s = options.exchange_timeout_s
    reached = False
    async with anyio.create_task_group() as tasks:

        async def try_directly() -> None:
            nonlocal reached
            # Shows the node what is said of it, so that it can refute.
            report = make_report(board, [known] if known else [])
            answer = await transport.exchange(address, report, timeout_s)
            if isinstance(answer, Ok):
                take_report(board, answer.ok_value)
                reached = True
                tasks.cancel_scope.cancel()

        async def try_through(helper: str) -> None:
            nonlocal reached
            answer = await transport.probe(helper, address, timeout_s)
            if isinstance(answer, Err) or not answer.ok_value:
                return
            reached = True
            tasks.cancel_scope.cancel()

        tasks.start_soon(try_directly)
        for helper in helpers:
            tasks.start_soon(try_through, helper)
    return reached
