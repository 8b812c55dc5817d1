"""Finds out which version this address may have run before the process started.

The source knows: no version runs anywhere before the source has accepted it.
While the source is out, the neighbours that confirmed the node's last version
know as well. Only a *witness* counts: a node that has read the source itself
since its own start, so that it can't have forgotten anything.
"""

from __future__ import annotations

import anyio

from gypsumlock import defaults
from gypsumlock.blackboard import Board, Recovery
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.overlay import (
    choose_neighbours,
    recovery_answers_needed,
)

__all__ = ["RecoveryController"]

log = get_logger(Component.CONFIG)


class RecoveryController(Controller):
    """Writes `recovery`: the floor once it is known, then the witness flag."""

    def __init__(self, board: Board) -> None:
        self._board = board

    async def run(self) -> None:
        """Recover, wait for the source to confirm, then rest."""
        while self._board.recovery.read().floor is None:
            floor = self._floor()
            if floor is None:
                self._board.poke.write(None)
                await anyio.sleep(defaults.CONFIRM_INTERVAL_S)
                continue
            self._board.recovery.write(Recovery(floor=floor, witness=False))
            log.info(
                "last version known",
                floor=floor,
                source=self._board.source.read().reachable,
            )
        await self._become_witness()
        await anyio.sleep_forever()

    def _floor(self) -> int | None:
        """Return the lowest version that may run here, or None if unknown."""
        source = self._board.source.read()
        if source.read_at_s > 0:
            return source.head_version
        answers = self._witnessed_versions()
        needed = recovery_answers_needed(self._board.members.known_others())
        return max(answers) if len(answers) >= needed else None

    def _witnessed_versions(self) -> list[int]:
        neighbours = choose_neighbours(
            self._board.node.address, self._board.members.others()
        )
        peers = self._board.peers.read()
        states = [peers.get(member.address) for member in neighbours]
        return [state.held.version for state in states if state and state.witness]

    async def _become_witness(self) -> None:
        """Wait until this node holds what the source itself has named."""
        source = await self._board.source.wait_until(lambda s: s.read_at_s > 0)
        await self._board.held.wait_until(
            lambda held: held is not None and held.ref.version >= source.head_version
        )
        floor = self._board.recovery.read().floor
        self._board.recovery.write(Recovery(floor=floor, witness=True))
