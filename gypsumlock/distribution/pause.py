"""Detects pauses of the process, and checks the node's version after each.

A process that was stopped and continued may have missed versions that all
others run. It handles no calls until the source, or enough peers, have answered
after the pause and it runs the newest version that they reported.
"""

from __future__ import annotations

import time

import anyio

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.overlay import recovery_answers_needed

__all__ = ["PauseController"]

log = get_logger(Component.NODE)


class PauseController(Controller):
    """Updates the time of the last tick, and `version_checked` after a pause."""

    def __init__(self, board: Board) -> None:
        self._board = board

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await anyio.sleep(defaults.PAUSE_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            paused_s = now_s - self._board.last_tick_s
            if paused_s > defaults.PAUSE_LIMIT_S:
                # Written before the tick, so that no call is admitted in between.
                self._board.version_checked.write(False)
                self._board.last_tick_s = now_s
                log.warning("process was paused", pause_s=round(paused_s, 2))
                await self._check_version(now_s)
            self._board.last_tick_s = time.monotonic()

    async def _check_version(self, resumed_at_s: float) -> None:
        while not self._is_current(resumed_at_s):
            self._board.heartbeat_request.write(None)
            await anyio.sleep(defaults.CONFIRM_INTERVAL_S)
            if self._board.paused():
                # Paused again: answers from before this pause no longer count.
                resumed_at_s = time.monotonic()
            self._board.last_tick_s = time.monotonic()
        self._board.version_checked.write(True)
        log.info("version checked", version=self._board.version_in_force())

    def _is_current(self, resumed_at_s: float) -> bool:
        if self._board.version_in_force() < self._board.head.read().ref.version:
            return False
        if self._board.source.read().read_at_s > resumed_at_s:
            return True
        known_others = self._board.members.count_known_others()
        if known_others == 0:
            return False
        answered = sum(
            state.reported_at_s > resumed_at_s
            for state in self._board.peers.read().values()
        )
        return answered >= recovery_answers_needed(known_others)
