"""Determines which version this address may have run before the process started.

The source (the platform's table service) always has that version or a newer one
as its head, because no version runs anywhere before it is committed there. While
the source is unreachable, the neighbours that confirmed the node's last version
can report it. Only the answer of a *witness* counts: a node that has itself read
the source since its own start, so that it can't have lost the version in a
restart.
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
    """Writes `recovery`: the minimum version once known, then the witness flag."""

    def __init__(self, board: Board) -> None:
        self._board = board

    async def run(self) -> None:
        """Find the minimum version, become a witness, then sleep until cancelled."""
        while self._board.recovery.read().min_version is None:
            min_version = self._find_min_version()
            if min_version is None:
                self._board.heartbeat_request.write(None)
                await anyio.sleep(defaults.CONFIRM_INTERVAL_S)
                continue
            self._board.recovery.write(Recovery(min_version=min_version, witness=False))
            log.info(
                "minimum version known",
                floor=min_version,
                source=self._board.source.read().reachable,
            )
        await self._become_witness()
        await anyio.sleep_forever()

    def _find_min_version(self) -> int | None:
        """Return the oldest version that this node may run, or None if unknown."""
        source = self._board.source.read()
        if source.read_at_s > 0:
            return source.head_version
        answers = self._versions_of_witnesses()
        needed = recovery_answers_needed(self._board.members.count_known_others())
        return max(answers) if len(answers) >= needed else None

    def _versions_of_witnesses(self) -> list[int]:
        """Return the held version of each neighbour that is a witness."""
        neighbours = choose_neighbours(
            self._board.node.address, self._board.members.others()
        )
        peers = self._board.peers.read()
        states = [peers.get(member.address) for member in neighbours]
        return [state.held.version for state in states if state and state.witness]

    async def _become_witness(self) -> None:
        """Set the witness flag once this node holds the head reported by the source."""
        source = await self._board.source.wait_until(lambda s: s.read_at_s > 0)
        await self._board.held.wait_until(
            lambda held: held is not None and held.ref.version >= source.head_version
        )
        min_version = self._board.recovery.read().min_version
        self._board.recovery.write(Recovery(min_version=min_version, witness=True))
