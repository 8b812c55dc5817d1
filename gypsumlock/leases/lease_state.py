"""Decides when to acquire, renew and release one lease, without any I/O.

Phases, as long as the node is a candidate:
1. Read the row.
2. While another node holds the lease: read the row from time to time. The lease is
   vacant once its row version has not changed for the duration and a margin.
3. Vacant: write the row, on the condition that it is still the one that was read, with
   the next token. The node is the holder if the write takes effect.
4. Holder: renew by writing the row again.
After the response to a write was lost, the row is read and its content decides.

Invariants: a holder counts the duration from the start of its last write that took
effect, and subtracts the margin; an observer counts from when it first saw the row
version, and adds the margin. So at most one node is the holder at any time, if the
clocks of two machines differ by less than two margins over a duration.

A store that comes back from a copy (`mesh/store_era.py`) may have lost the row. Its
holder stops at once and may write the row again; all others wait until the holder has
certainly observed the new era, or its lease has run out. Tokens of a new era are higher
than all earlier ones.

It is designed for a few candidates for each lease, a store that may be away for most of
a duration, and processes that are paused at any point. All times are those of a clock
that goes on during a suspension.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gypsumlock.leases.lease import Lease
from gypsumlock.mesh.store_era import add_era

__all__ = ["DURATION_S", "LeaseState", "LeaseStep", "StepKind"]

DURATION_S = 15.0
# Allows for clocks of different rates, and for a pause after a clock was read.
MARGIN_S = 0.5
# Interval of renewals. The store may be away for the rest of the duration.
RENEW_INTERVAL_S = 4.0
# Interval at which a candidate reads the row of another holder.
POLL_INTERVAL_S = 4.0
# Largest share of the duration that both intervals may take; of a short lease they are
# shorter.
MAX_INTERVAL_SHARE = 4 / 15
# Time until the next call to the store after one that failed.
RETRY_INTERVAL_S = 0.5


class StepKind(Enum):
    """What the node does next for a lease."""

    WAIT = "wait"
    READ = "read"
    # Write the row of the step if the row still has the expected version.
    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseStep:
    """The next step, and the row that it writes."""

    kind: StepKind
    lease: Lease | None = None
    expected_version: int = 0


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A write whose outcome is not known; it may still take effect."""

    lease: Lease
    expected_version: int
    started_at_s: float


class LeaseState:
    """What one node knows of one lease.

    Parameters
    ----------
    node : str
        Name of the node.
    duration_s : float
        Duration of the lease in seconds, for which the node acquires it.
    era : int
        Era of the store.
    vacant_from_s : float
        Time before which the lease of another holder may still run, although its row
        was lost.
    may_resume : bool
        Whether this process has not seen the row yet. A row that names this node is
        then from an earlier process, which has ended.
    """

    __slots__ = (
        "_duration_s",
        "_held_until_s",
        "_highest_token",
        "_last_call_at_s",
        "_may_resume",
        "_must_read",
        "_next_call_at_s",
        "_node",
        "_pending",
        "_releasing",
        "_row",
        "_seen_at_s",
        "_token",
        "_vacant_from_s",
        "_version",
        "era",
    )

    def __init__(
        self,
        node: str,
        duration_s: float = DURATION_S,
        era: int = 0,
        vacant_from_s: float = float("-inf"),
        may_resume: bool = True,
    ) -> None:
        self._node = node
        self.era = era
        self._vacant_from_s = vacant_from_s
        self._may_resume = may_resume
        # Highest token seen; the row may go back if the store loses writes.
        self._highest_token = 0
        self._duration_s = duration_s
        self._row: Lease | None = None
        # None until the row was read.
        self._version: int | None = None
        # When this version of the row was first seen.
        self._seen_at_s = 0.0
        self._pending: _PendingWrite | None = None
        # True until the row was read, first and after each call that failed.
        self._must_read = True
        # True from the release until the row is seen to have another holder or none.
        self._releasing = False
        # Token of this node as the holder; None if it is not.
        self._token: int | None = None
        self._held_until_s = 0.0
        self._last_call_at_s = float("-inf")
        self._next_call_at_s = float("-inf")

    @property
    def holder(self) -> str | None:
        """Name of the holder in the row as last seen; None if there is none."""
        return self._row.holder or None if self._row is not None else None

    @property
    def idle(self) -> bool:
        """Whether nothing is left to do for a node that is no candidate."""
        return self._token is None and not self._releasing

    def held(self, now_s: float) -> int | None:
        """Return the fencing token if this node holds the lease, or None.

        Parameters
        ----------
        now_s : float
            The time, read immediately before the use.
        """
        return self._token if now_s < self._held_until_s else None

    def next_step(self, now_s: float, is_candidate: bool) -> LeaseStep:
        """Return what to do now.

        Parameters
        ----------
        now_s : float
            The time.
        is_candidate : bool
            Whether the node should hold the lease if it can.
        """
        if not is_candidate:
            return self._step_of_non_candidate(now_s)
        self._releasing = False
        if now_s < self._next_call_at_s:
            return LeaseStep(StepKind.WAIT)
        if self._version is None or self._must_read:
            return LeaseStep(StepKind.READ)
        if self._token is not None:
            assert self._row is not None
            return LeaseStep(StepKind.RENEW, self._row, self._version)
        if self._is_vacant(now_s):
            token = max(self._highest_token + 1, add_era(1, self.era))
            lease = Lease(self._node, token, self._duration_s)
            return LeaseStep(StepKind.ACQUIRE, lease, self._version)
        return LeaseStep(StepKind.READ)

    def start_write(self, step: LeaseStep, now_s: float) -> None:
        """Record that the write of a step is about to be sent."""
        assert step.lease is not None
        pending = self._pending
        if step.kind is StepKind.RELEASE:
            # Nothing may be done under the lease once its release was sent.
            self._token = None
            self._releasing = True
        if (
            pending is None
            or pending.lease != step.lease
            or pending.expected_version != step.expected_version
        ):
            # Of several equal writes, the first may be the one that takes effect.
            self._pending = _PendingWrite(step.lease, step.expected_version, now_s)

    def write_done(self, version: int, now_s: float) -> None:
        """Record that the write took effect, as the given version of the row."""
        pending = self._pending
        if pending is None:
            # A new era of the store has begun meanwhile; the row is read again.
            return
        self.observe(version, pending.lease, now_s)

    def observe(self, version: int, row: Lease | None, now_s: float) -> None:
        """Record the row, as it was read or as it prevented a write.

        Parameters
        ----------
        version : int
            Version of the row; 0 if it does not exist.
        row : Lease | None
            Its content.
        now_s : float
            Time of the response.
        """
        pending = self._pending
        if version != self._version:
            self._seen_at_s = now_s
        took_effect = (
            pending is not None
            and row == pending.lease
            and version != pending.expected_version
        )
        if took_effect and pending is not None and pending.lease.holder:
            self._token = pending.lease.token
            usable_s = pending.lease.duration_s - MARGIN_S
            self._held_until_s = pending.started_at_s + usable_s
        elif row is None or row.holder != self._node or row.token != self._token:
            self._token = None
        if pending is not None and version != pending.expected_version:
            # The condition of the write can't hold any more.
            self._pending = None
        if row is None or row.holder != self._node:
            self._releasing = False
            self._may_resume = False
        if row is not None:
            self._highest_token = max(self._highest_token, row.token)
        if self._token is not None:
            self._may_resume = False
        self._row = row
        self._version = version
        self._must_read = False
        self._last_call_at_s = now_s
        self._next_call_at_s = self._due_at_s(now_s)

    def begin_era(self, era: int, now_s: float) -> None:
        """Record that the store has come back from a copy.

        Parameters
        ----------
        era : int
            The new era.
        now_s : float
            The time.
        """
        if self.held(now_s) is None:
            # Another node may have taken the lease in what was lost.
            self._vacant_from_s = now_s + self._duration_s + MARGIN_S
        else:
            # A copy of the row that names this node is of the lease that it gives up.
            self._may_resume = True
        self.era = era
        self._token = None
        self._pending = None
        self._seen_at_s = now_s
        self._must_read = True
        self._next_call_at_s = now_s

    def call_failed(self, now_s: float) -> None:
        """Record that a call to the store failed; a write may have taken effect."""
        self._must_read = True
        self._last_call_at_s = now_s
        self._next_call_at_s = now_s + RETRY_INTERVAL_S

    def wake(self) -> None:
        """Read the row soon: another node says that the lease has no holder."""
        if self._token is None:
            soonest_s = self._last_call_at_s + RETRY_INTERVAL_S
            self._next_call_at_s = min(self._next_call_at_s, soonest_s)

    def _due_at_s(self, now_s: float) -> float:
        """Return the time of the next call to the store after a successful one."""
        max_interval_s = MAX_INTERVAL_SHARE * self._duration_s
        if self._token is not None:
            renew_at_s = self._held_until_s - self._duration_s + MARGIN_S
            return max(now_s, renew_at_s + min(RENEW_INTERVAL_S, max_interval_s))
        if self._is_vacant(now_s):
            return now_s
        vacant_at_s = self._vacant_from_s
        if self._row is not None and self._row.holder:
            row_ends_at_s = self._seen_at_s + self._row.duration_s + MARGIN_S
            vacant_at_s = max(vacant_at_s, row_ends_at_s)
        return min(vacant_at_s, now_s + min(POLL_INTERVAL_S, max_interval_s))

    def _is_vacant(self, now_s: float) -> bool:
        row = self._row
        if now_s < self._vacant_from_s:
            return False
        if row is None or not row.holder:
            return True
        if row.holder == self._node and self._may_resume:
            # An earlier process of this node has ended.
            return True
        return now_s >= self._seen_at_s + row.duration_s + MARGIN_S

    def _step_of_non_candidate(self, now_s: float) -> LeaseStep:
        """Return the step of a node that is no candidate."""
        if self.idle or self._row is None or self._version is None:
            # What was seen would be out of date once it is a candidate again.
            self._version = None
            self._row = None
            self._pending = None
            self._next_call_at_s = float("-inf")
            return LeaseStep(StepKind.WAIT)
        if self._releasing and now_s < self._next_call_at_s:
            return LeaseStep(StepKind.WAIT)
        if self._releasing and self._must_read:
            return LeaseStep(StepKind.READ)
        released = Lease("", self._row.token, self._duration_s)
        return LeaseStep(StepKind.RELEASE, released, self._version)
