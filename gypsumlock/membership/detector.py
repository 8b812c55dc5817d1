"""Failure detection beyond the neighbours that a node has chosen itself.

The links detect failures of the chosen neighbours. This controller covers the rest:
peers that had chosen this node as a neighbour and stopped sending heartbeats,
suspects and tombstones whose timeout has passed, and dead members that may be
reachable again after a network partition.
"""

from __future__ import annotations

import random
import time
from typing import Final

import anyio

from gypsumlock.blackboard import Board
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.links import is_reachable
from gypsumlock.membership.member import MemberStatus
from gypsumlock.options import MembershipOptions
from gypsumlock.peering import PeerTransport

__all__ = ["FailureDetectorController"]

log = get_logger(Component.MEMBERS)

CHECK_INTERVAL_S: Final = 0.25
# A peer that sent heartbeats is probed when none has arrived for this number of
# heartbeat intervals.
PROBE_AFTER_SILENT_INTERVALS: Final = 1.5
# Mean time between two attempts to reach a random dead member.
RECONNECT_INTERVAL_S: Final = 3.0


class FailureDetectorController(Controller):
    """Expires suspects and tombstones, probes silent peers and retries dead members."""

    def __init__(
        self, board: Board, transport: PeerTransport, options: MembershipOptions
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._addresses_being_probed: set[str] = set()

    async def run(self) -> None:
        """Expire records and probe silent peers regularly, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retry_dead_members)
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                self._expire_records()
                for address in self._silent_peers():
                    self._addresses_being_probed.add(address)
                    tasks.start_soon(self._probe, address)

    def _expire_records(self) -> None:
        if self._board.paused() or not self._board.version_checked.read():
            # After a pause of this process, its timers say nothing about other nodes.
            return
        dead_members = self._board.members.expire(
            self._options.suspect_timeout_s, self._options.forget_after_s
        )
        if dead_members:
            self._board.remove_departed_peers()
        for member in dead_members:
            self._board.last_heartbeat_s.pop(member.address, None)
            log.warning("node declared dead", peer=member.address, zone=member.zone)

    def _silent_peers(self) -> list[str]:
        """Return alive peers that sent heartbeats and then stopped."""
        silence_limit_s = (
            PROBE_AFTER_SILENT_INTERVALS * self._options.exchange_interval_s
        )
        silent_before_s = time.monotonic() - silence_limit_s
        silent_addresses = []
        for address, last_heartbeat_at_s in self._board.last_heartbeat_s.items():
            member = self._board.members.get(address)
            if member is None or member.status is not MemberStatus.ALIVE:
                continue
            if (
                last_heartbeat_at_s < silent_before_s
                and address not in self._addresses_being_probed
            ):
                silent_addresses.append(address)
        return silent_addresses

    async def _probe(self, address: str) -> None:
        """Mark a peer as suspect unless it can be reached."""
        try:
            if await is_reachable(self._board, self._transport, self._options, address):
                # The peer is alive, but no longer has this node as a neighbour.
                self._board.last_heartbeat_s.pop(address, None)
            elif self._board.members.mark_suspect(address):
                log.warning(
                    "node suspected: no heartbeats and no answer to probes",
                    peer=address,
                )
        finally:
            self._addresses_being_probed.discard(address)

    async def _retry_dead_members(self) -> None:
        """Try to reach a random dead member from time to time."""
        while True:
            await anyio.sleep(RECONNECT_INTERVAL_S * random.uniform(0.5, 1.5))
            dead_addresses = [
                member.address
                for member in self._board.members.all_members()
                if member.status is MemberStatus.DEAD
            ]
            if dead_addresses:
                await self._retry_dead_member(random.choice(dead_addresses))

    async def _retry_dead_member(self, address: str) -> None:
        """Merge the view of a dead member, and send it a heartbeat, if it answers."""
        timeout_s = self._options.exchange_timeout_s
        digests = self._board.members.bucket_digests()
        reply = await self._transport.sync(address, digests, timeout_s)
        if reply.is_ok():
            self._board.members.merge(reply.unwrap())
            log.info("dead node answers again", peer=address)
            await is_reachable(self._board, self._transport, self._options, address)
