"""Controllers that keep the data path's state in step with the blackboard."""

from __future__ import annotations

from typing import Final

import anyio

from gypsumlock.admission import Gate
from gypsumlock.blackboard import Board
from gypsumlock.controller import Controller
from gypsumlock.proxy.pool import Http1ConnectionPool
from gypsumlock.routing import UpstreamChooser

__all__ = ["SlotsController", "CleanupController"]

UPKEEP_INTERVAL_S: Final = 5.0


class SlotsController(Controller):
    """Gives the gate the slots that the upstream announced."""

    def __init__(self, board: Board, gate: Gate) -> None:
        self._board = board
        self._gate = gate

    async def run(self) -> None:
        """Follow announcements until cancelled."""
        revision = -1
        while True:
            revision = await self._board.upstream.wait_past(revision)
            upstream = self._board.upstream.read()
            if upstream is not None:
                self._gate.set_slots(upstream.slots)


class CleanupController(Controller):
    """Closes idle connections and forgets upstreams that are gone."""

    def __init__(
        self, board: Board, pool: Http1ConnectionPool, chooser: UpstreamChooser
    ) -> None:
        self._board = board
        self._pool = pool
        self._chooser = chooser

    async def run(self) -> None:
        """Clean up at each interval, until cancelled."""
        while True:
            await anyio.sleep(UPKEEP_INTERVAL_S)
            self._pool.prune()
            endpoints = self._board.members.endpoints()
            self._chooser.retain({endpoint.call_address for endpoint in endpoints})
