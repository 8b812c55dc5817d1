"""Controller that acquires, renews and releases leases in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from result import Err

from gypsumlock.controller import Controller
from gypsumlock.leases.lease import decode_lease, encode_lease
from gypsumlock.leases.lease_state import (
    DURATION_S,
    MARGIN_S,
    LeaseState,
    LeaseStep,
    StepKind,
)
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.feed_store import FeedStore
from gypsumlock.mesh.store_era import StoreEra

__all__ = ["LEASE_TABLE", "LeaseKeeper"]

log = get_logger(Component.NODE)

LEASE_TABLE = "gypsumlock-leases"
# Era of a store that has never come back from a copy.
FIRST_ERA = 1
# Interval at which the leases are checked for a step that is due, in seconds.
CHECK_INTERVAL_S = 0.25


class LeaseKeeper(Controller):
    """Holds the leases for which this node is a candidate, where it can.

    Parameters
    ----------
    store : FeedStore
        Holds a row for each lease.
    node : str
        Name of the node.
    candidacies : Callable[[], Collection[str]]
        Returns the names of the leases that this node should hold now if it can. A
        lease that is no longer among them is released. For other leases the store is
        not called.
    clock : Callable[[], float]
        Returns the time in seconds; goes on during a suspension.
    duration_s : float
        Duration of the leases, in seconds.
    store_era : StoreEra | None
        Tells when the store has come back from a copy; None if it never does.
    fleet_start : bool
        Whether the whole fleet starts for the first time, so that no lease is held.
    """

    __slots__ = (
        "_candidacies",
        "_clock",
        "_duration_s",
        "_era",
        "_failing",
        "_fleet_start",
        "_held_tokens",
        "_node",
        "_running",
        "_seen",
        "_states",
        "_stopped",
        "_store",
        "_vacant_from_s",
    )

    def __init__(
        self,
        store: FeedStore,
        node: str,
        candidacies: Callable[[], Collection[str]],
        clock: Callable[[], float] = boot_time_s,
        duration_s: float = DURATION_S,
        store_era: StoreEra | None = None,
        fleet_start: bool = False,
    ) -> None:
        self._fleet_start = fleet_start
        self._duration_s = duration_s
        self._store = store
        self._node = node
        self._candidacies = candidacies
        self._clock = clock
        self._states: dict[str, LeaseState] = {}
        self._era = 0
        # Time before which lost leases of other holders may still run.
        self._vacant_from_s = float("-inf")
        if store_era is not None:
            self._era = store_era.number
            store_era.subscribe(lambda: self._begin_era(store_era.number))
        # Tokens as of the last check, for the log.
        self._held_tokens: dict[str, int] = {}
        # Leases whose rows this process may have read or written.
        self._seen: set[str] = set()
        # Leases whose last call to the store failed.
        self._failing: set[str] = set()
        # Calls to the store by lease.
        self._running: dict[str, asyncio.Task[None]] = {}
        self._stopped = False

    def _begin_era(self, era: int) -> None:
        """Hold no lease that a store which came back from a copy may have lost."""
        was_known, self._era = self._era > 0, era
        for state in self._states.values():
            state.era = era
        if not was_known and (era <= FIRST_ERA or self._fleet_start):
            # Nothing was lost while a lease was held.
            return
        now_s = self._clock()
        self._vacant_from_s = now_s + self._duration_s + MARGIN_S
        for state in self._states.values():
            state.begin_era(era, now_s)

    def held(self, name: str) -> int | None:
        """Return the fencing token of a lease if this node holds it now, or None.

        The clock is read here: call this immediately before each use.
        """
        state = self._states.get(name)
        return None if state is None else state.held(self._clock())

    def holder_hint(self, name: str) -> str | None:
        """Return the node that held a lease when its row was last seen, or None."""
        state = self._states.get(name)
        return None if state is None else state.holder

    def wake(self, name: str) -> None:
        """Read the row of a lease soon, as it seems to have no holder."""
        state = self._states.get(name)
        if state is not None:
            state.wake()
            self.check()

    async def run(self) -> None:
        """Take the steps that are due until cancelled."""
        try:
            while True:
                self.check()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            self._stopped = True
            for task in self._running.values():
                task.cancel()

    def check(self) -> None:
        """Begin the steps that are due."""
        candidacies = self._candidacies()
        for name in candidacies:
            if name not in self._states:
                self._states[name] = LeaseState(
                    self._node,
                    self._duration_s,
                    self._era,
                    self._vacant_from_s,
                    may_resume=name not in self._seen,
                )
        now_s = self._clock()
        for name, state in list(self._states.items()):
            self._log_change(name, state.held(now_s))
            if name in self._running:
                continue
            step = state.next_step(now_s, name in candidacies)
            if step.kind is not StepKind.WAIT:
                task = asyncio.create_task(self._take_step(name, state, step))
                self._running[name] = task
                task.add_done_callback(partial(self._step_ended, name))
            elif name not in candidacies and state.idle:
                self._seen.add(name)
                del self._states[name]

    def _step_ended(self, name: str, _: asyncio.Task[None]) -> None:
        self._running.pop(name, None)
        if not self._stopped:
            # What was read may be followed by a write at once.
            self.check()

    async def _take_step(self, name: str, state: LeaseState, step: LeaseStep) -> None:
        """Call the store for a step, and record the outcome."""
        if step.lease is None:
            read = await self._store.read_row(LEASE_TABLE, name)
            if isinstance(read, Err):
                self._record_failure(name, state, step, read.err_value.text())
                return
            self._failing.discard(name)
            row = read.ok_value
            state.observe(row.version, decode_lease(row.value), self._clock())
            return
        state.start_write(step, self._clock())
        written = await self._store.write_row(
            LEASE_TABLE, name, encode_lease(step.lease), step.expected_version
        )
        if isinstance(written, Err):
            self._record_failure(name, state, step, written.err_value.text())
            return
        self._failing.discard(name)
        current = written.ok_value.current
        if current is None:
            state.write_done(written.ok_value.version, self._clock())
        else:
            state.observe(current.version, decode_lease(current.value), self._clock())

    def _record_failure(
        self, name: str, state: LeaseState, step: LeaseStep, reason: str
    ) -> None:
        state.call_failed(self._clock())
        if name not in self._failing:
            self._failing.add(name)
            kind = step.kind.value
            log.warning("lease call failed", lease=name, step=kind, reason=reason)

    def _log_change(self, name: str, token: int | None) -> None:
        """Log that a lease was acquired or lost since the last check."""
        previous = self._held_tokens.get(name)
        if token == previous:
            return
        if previous is not None:
            del self._held_tokens[name]
            holder = self.holder_hint(name)
            log.info("lease lost", lease=name, token=previous, holder=holder)
        if token is not None:
            self._held_tokens[name] = token
            log.info("lease acquired", lease=name, token=token)
