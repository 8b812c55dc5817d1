"""Controllers that keep the state of the data path in sync with the blackboard."""

from __future__ import annotations

from typing import Final

import anyio

from gypsumlock.admission import Gate
from gypsumlock.blackboard import Board
from gypsumlock.controller import Controller
from gypsumlock.proxy.pool import Http1ConnectionPool
from gypsumlock.routing import UpstreamChooser

__all__ = ["CleanupController", "SlotsController"]

CLEANUP_INTERVAL_S: Final = 5.0


class SlotsController(Controller):
    """Sets the slots of the admission gate to those that the upstream announced."""

    def __init__(self, board: Board, gate: Gate) -> None:
        self._board = board
        self._gate = gate

    async def run(self) -> None:
        """Apply announcements until cancelled."""
        revision = -1
        while True:
            revision = await self._board.upstream.wait_past(revision)
            upstream = self._board.upstream.read()
            if upstream is not None:
                self._gate.set_slots(upstream.slots)


class CleanupController(Controller):
    """Closes expired idle connections and drops the statistics of former upstreams."""

    def __init__(
        self, board: Board, pool: Http1ConnectionPool, chooser: UpstreamChooser
    ) -> None:
        self._board = board
        self._pool = pool
        self._chooser = chooser

    async def run(self) -> None:
        """Clean up at each interval, until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self._pool.prune()
            endpoints = self._board.members.endpoints()
            self._chooser.retain({endpoint.call_address for endpoint in endpoints})
