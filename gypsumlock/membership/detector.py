"""Timers of the member view: suspects, tombstones, silent watchers, lost nodes.

The links watch the neighbours that a node chose itself. This controller covers
the rest: peers that had chosen this node and fell silent, suspects whose time
is up, and dead members that may be reachable again after a cut.
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

__all__ = ["DetectorController"]

log = get_logger(Component.MEMBERS)

TICK_S: Final = 0.25
# Intervals of silence after which a peer that used to report is probed.
SILENT_INTERVALS: Final = 1.5
# Time between two attempts to reach some dead member.
RECONNECT_INTERVAL_S: Final = 3.0


class DetectorController(Controller):
    """Ages the member view and looks for peers that came back."""

    def __init__(
        self, board: Board, transport: PeerTransport, options: MembershipOptions
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._probing: set[str] = set()

    async def run(self) -> None:
        """Age the view at each tick, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reconnect)
            while True:
                await anyio.sleep(TICK_S)
                self._expire()
                for address in self._silent_peers():
                    self._probing.add(address)
                    tasks.start_soon(self._probe, address)

    def _expire(self) -> None:
        if self._board.paused() or not self._board.fresh.read():
            # After a pause the timers say nothing about the others.
            return
        dead = self._board.members.expire(
            self._options.suspect_timeout_s, self._options.forget_after_s
        )
        if dead:
            self._board.forget_peers()
        for member in dead:
            self._board.watched.pop(member.address, None)
            log.warning("node declared dead", peer=member.address, zone=member.zone)

    def _silent_peers(self) -> list[str]:
        """Return alive peers that sent heartbeats and then fell silent."""
        limit_s = SILENT_INTERVALS * self._options.exchange_interval_s
        oldest_s = time.monotonic() - limit_s
        silent = []
        for address, heard_at_s in self._board.watched.items():
            member = self._board.members.get(address)
            if member is None or member.status is not MemberStatus.ALIVE:
                continue
            if heard_at_s < oldest_s and address not in self._probing:
                silent.append(address)
        return silent

    async def _probe(self, address: str) -> None:
        try:
            if await is_reachable(self._board, self._transport, self._options, address):
                # It lives, but has other neighbours now.
                self._board.watched.pop(address, None)
            elif self._board.members.suspect(address):
                log.warning("silent node suspected", peer=address)
        finally:
            self._probing.discard(address)

    async def _reconnect(self) -> None:
        while True:
            await anyio.sleep(RECONNECT_INTERVAL_S * random.uniform(0.5, 1.5))
            lost = [
                member.address
                for member in self._board.members.all_members()
                if member.status is MemberStatus.DEAD
            ]
            if lost:
                await self._try_again(random.choice(lost))

    async def _try_again(self, address: str) -> None:
        """Exchange whole views with a dead member, if it answers."""
        timeout_s = self._options.exchange_timeout_s
        digests = self._board.members.bucket_digests()
        found = await self._transport.sync(address, digests, timeout_s)
        if found.is_ok():
            self._board.members.merge(found.unwrap())
            log.info("lost node answers again", peer=address)
            await is_reachable(self._board, self._transport, self._options, address)
