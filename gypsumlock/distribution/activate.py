"""Puts a held version in force once enough neighbours hold it as well.

The version in force is the one that the node applies to calls. A node keeps no
state across a restart, but a restarted node may only run a version that is at
least as new as the version that it ran before. Each version is therefore first
confirmed by neighbours, which can report it to the restarted node. See
docs/DESIGN.md for the required counts. One write of `policy` puts a version in
force; the table compiled from it is replaced in one write, and calls in flight
keep the table that they started with.
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
    """Return how many neighbours last reported that they hold `version` or newer."""
    neighbours = choose_neighbours(board.node.address, board.members.others())
    peers = board.peers.read()
    states = (peers.get(member.address) for member in neighbours)
    return sum(state is not None and state.held.version >= version for state in states)


class ActivationController(Controller):
    """Keeps `policy` up to date with `held`, as far as versions are confirmed."""

    def __init__(self, board: Board, metrics: Metrics) -> None:
        self._board = board
        self._metrics = metrics

    async def run(self) -> None:
        """Put each held version in force once that is allowed, until cancelled."""
        while True:
            held = await self._board.held.wait_until(self._is_newer)
            if held is None:
                continue
            await self._board.recovery.wait_until(lambda r: r.min_version is not None)
            await self._activate(held)

    def _is_newer(self, held: HeldVersion | None) -> bool:
        if held is None:
            return False
        policy = self._board.policy.read()
        return policy is None or held.ref.version > policy.version

    async def _activate(self, held: HeldVersion) -> None:
        """Put the version in force once allowed; give up if a newer one is held."""
        wait_s = defaults.FIRST_CONFIRM_INTERVAL_S
        while self._board.held.read() is held:
            fault = self._activation_fault(held)
            if fault is None:
                self._put_in_force(held)
                return
            if self._board.config_fault.read() != fault:
                self._board.config_fault.write(fault)
            self._board.heartbeat_request.write(None)
            revision = self._board.held.revision
            with anyio.move_on_after(wait_s):
                await self._board.held.wait_past(revision)
            wait_s = min(2 * wait_s, defaults.CONFIRM_INTERVAL_S)

    def _activation_fault(self, held: HeldVersion) -> Fault | None:
        """Return why the version may not go in force now, or None if it may."""
        version = held.ref.version
        min_version = self._board.recovery.read().min_version
        if min_version is None or version < min_version:
            detail = (
                f"version {version} is older than version {min_version}, "
                "which this node may have run before"
            )
            return Fault(ResultCode.RECOVERY_PENDING, detail)
        members = self._board.members
        needed = confirmations_needed(
            len(members.others()), members.count_known_others()
        )
        confirmed = count_confirmations(self._board, version)
        if confirmed < needed:
            detail = (
                f"{confirmed} of {needed} required neighbours hold version {version}"
            )
            return Fault(ResultCode.HOLD_UNCONFIRMED, detail)
        return None

    def _put_in_force(self, held: HeldVersion) -> None:
        previous = self._board.policy.read()
        self._board.config_fault.write(None)
        self._board.policy.write(held.policy)
        self._metrics.record_convergence(_age_s(held))
        log.info(
            "version in force",
            version=held.ref.version,
            digest=held.ref.digest.hex()[:12],
            previous=previous.version if previous else None,
        )


def _age_s(held: HeldVersion) -> float:
    """Return the wall-clock time since acceptance in seconds, at least 0."""
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
        """Recompile when the policy or the members change, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._compile_on_member_changes)
            revision = self._board.policy.revision
            while True:
                self._compile()
                revision = await self._board.policy.wait_past(revision)

    async def _compile_on_member_changes(self) -> None:
        revision = self._board.member_changes.revision
        while True:
            revision = await self._board.member_changes.wait_past(revision)
            self._compile()
            await anyio.sleep(defaults.PUSH_DELAY_S)

    def _compile(self) -> None:
        policy = self._board.policy.read()
        if policy is None:
            return
        table = compile_table(policy, self._board.members.endpoints())
        previous = self._board.table.read()
        if table != previous:
            self._board.table.write(table)
