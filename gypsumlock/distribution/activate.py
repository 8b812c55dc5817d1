"""Puts a held version in force, once enough neighbours hold it too.

A node that restarts remembers nothing. It may only run a version that is at
least as new as the one it ran before, so each version is first confirmed by
neighbours who can tell a restarted node about it. See docs/DESIGN.md for the
counts. A version goes in force by one write of `policy`; the table follows
from it in one write, and calls under way keep their table.
"""

from __future__ import annotations

from datetime import UTC, datetime

import anyio

from gypsumlock import defaults
from gypsumlock.blackboard import Board, HeldVersion
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.overlay import choose_neighbours, confirmations_needed
from gypsumlock.metrics import Metrics
from gypsumlock.model import compile_table
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ActivationController", "TableController", "count_confirmations"]

log = get_logger(Component.CONFIG)


def count_confirmations(board: Board, version: int) -> int:
    """Count the neighbours whose last report says that they hold a version."""
    neighbours = choose_neighbours(board.node.address, board.members.others())
    peers = board.peers.read()
    states = (peers.get(member.address) for member in neighbours)
    return sum(state is not None and state.held.version >= version for state in states)


class ActivationController(Controller):
    """Moves `policy` forward to `held`."""

    def __init__(self, board: Board, metrics: Metrics) -> None:
        self._board = board
        self._metrics = metrics

    async def run(self) -> None:
        """Put each held version in force when it may be, until cancelled."""
        while True:
            held = await self._board.held.wait_until(self._is_newer)
            if held is None:
                continue
            await self._board.recovery.wait_until(lambda r: r.floor is not None)
            await self._activate(held)

    def _is_newer(self, held: HeldVersion | None) -> bool:
        if held is None:
            return False
        policy = self._board.policy.read()
        return policy is None or held.ref.version > policy.version

    async def _activate(self, held: HeldVersion) -> None:
        """Wait until the version may run; a newer held version goes first."""
        wait_s = defaults.FIRST_CONFIRM_INTERVAL_S
        while self._board.held.read() is held:
            fault = self._obstacle(held)
            if fault is None:
                self._put_in_force(held)
                return
            if self._board.config_fault.read() != fault:
                self._board.config_fault.write(fault)
            self._board.poke.write(None)
            revision = self._board.held.revision
            with anyio.move_on_after(wait_s):
                await self._board.held.wait_past(revision)
            wait_s = min(2 * wait_s, defaults.CONFIRM_INTERVAL_S)

    def _obstacle(self, held: HeldVersion) -> Fault | None:
        version = held.ref.version
        floor = self._board.recovery.read().floor
        if floor is None or version < floor:
            found = f"version {version} is older than {floor}, which may have run here"
            return Fault(ResultCode.RECOVERY_PENDING, found)
        members = self._board.members
        needed = confirmations_needed(len(members.others()), members.known_others())
        confirmed = count_confirmations(self._board, version)
        if confirmed < needed:
            found = f"{confirmed} of {needed} neighbours hold version {version}"
            return Fault(ResultCode.HOLD_UNCONFIRMED, found)
        return None

    def _put_in_force(self, held: HeldVersion) -> None:
        policy = self._board.policy.read()
        self._board.config_fault.write(None)
        self._board.policy.write(held.policy)
        self._metrics.record_convergence(_age_s(held))
        log.info(
            "version in force",
            version=held.ref.version,
            digest=held.ref.digest.hex()[:12],
            previous=policy.version if policy else None,
        )


def _age_s(held: HeldVersion) -> float:
    """Return the time since acceptance by the wall clock, at least 0 seconds."""
    accepted_at = held.snapshot.origin.accepted_at
    if not accepted_at:
        return 0.0
    age = datetime.now(UTC) - datetime.fromisoformat(accepted_at)
    return max(0.0, age.total_seconds())


class TableController(Controller):
    """Keeps `table` compiled from the policy in force and the endpoints."""

    def __init__(self, board: Board) -> None:
        self._board = board

    async def run(self) -> None:
        """Compile whenever the policy or the members change, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_members)
            revision = self._board.policy.revision
            while True:
                self._compile()
                revision = await self._board.policy.wait_past(revision)

    async def _follow_members(self) -> None:
        revision = self._board.members_changed.revision
        while True:
            revision = await self._board.members_changed.wait_past(revision)
            self._compile()
            await anyio.sleep(defaults.PUSH_DELAY_S)

    def _compile(self) -> None:
        policy = self._board.policy.read()
        if policy is None:
            return
        table = compile_table(policy, self._board.members.endpoints())
        before = self._board.table.read()
        if table != before:
            self._board.table.write(table)
