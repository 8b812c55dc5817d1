"""The gate in front of one upstream: admits calls, queues them, refuses them.

The node beside an upstream owns its slots. A call that is refused here has not
sent a byte to the upstream, so the refusal may truthfully say *not run*.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from gypsumlock.admission.limit import ConcurrencyLimit
from gypsumlock.admission.policy import QueuePolicy, Waiter
from gypsumlock.model import Rank
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["Gate", "Permit"]


class Permit:
    """The right to one slot, until it is given back."""

    __slots__ = ("_gate", "_started_at_s")

    def __init__(self, gate: Gate, started_at_s: float) -> None:
        self._gate = gate
        self._started_at_s = started_at_s

    def release(self, learn: bool) -> None:
        """Give the slot back.

        Parameters
        ----------
        learn : bool
            True when the upstream answered, so that its latency counts.
        """
        self._gate.release(self._started_at_s, learn)


class Gate:
    """Admits calls to one upstream by rank.

    Parameters
    ----------
    limit : ConcurrencyLimit | None
        Calls that may run at once; None admits everything.
    policy : QueuePolicy
        Chooses among waiting calls.
    monotonic : Callable[[], float]
        Clock, in seconds.
    """

    __slots__ = ("_in_flight", "_limit", "_monotonic", "_policy")

    def __init__(
        self,
        limit: ConcurrencyLimit | None,
        policy: QueuePolicy,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._policy = policy
        self._monotonic = monotonic
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot."""
        return self._in_flight

    @property
    def limit(self) -> int | None:
        """Calls that may hold a slot at once; None for no limit."""
        return self._limit.value if self._limit else None

    def set_slots(self, slots: int) -> None:
        """Take over the slots of a changed announcement."""
        if self._limit is not None:
            self._limit.set_slots(slots)
            self._admit_waiting()

    async def acquire(
        self, rank: Rank, order: int, deadline_s: float
    ) -> Result[Permit, Fault]:
        """Wait for a slot as long as the call can still be answered in time.

        Parameters
        ----------
        rank : Rank
            Rank of the call.
        order : int
            Position of the rank; 0 is the most urgent.
        deadline_s : float
            Monotonic time at which the call is worth nothing any more.

        Returns
        -------
        Result[Permit, Fault]
            A permit that must be released, or `CALL_OVERLOADED`.
        """
        waiter = Waiter(rank, order)
        if not self._policy.offer(waiter):
            return Err(_overloaded(f"the queue of rank {rank.name} is full"))
        self._admit_waiting()
        if not waiter.admitted.is_set():
            await self._wait(waiter, self._patience_s(rank, deadline_s))
        if not waiter.admitted.is_set():
            return Err(_overloaded(f"no slot in time for rank {rank.name}"))
        return Ok(Permit(self, self._monotonic()))

    def release(self, started_at_s: float, learn: bool) -> None:
        """Free a slot and admit who waits for it."""
        if learn and self._limit is not None:
            self._limit.note_call(self._monotonic() - started_at_s, self._in_flight)
        self._in_flight -= 1
        self._admit_waiting()

    async def _wait(self, waiter: Waiter, patience_s: float) -> None:
        try:
            with anyio.move_on_after(patience_s):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                # Cancelled after the slot was given: pass it on.
                self._in_flight -= 1
                self._admit_waiting()
            raise
        finally:
            waiter.gone = True

    def _patience_s(self, rank: Rank, deadline_s: float) -> float:
        """Return how long a call may wait and still be served in time."""
        left_s = min(rank.target_s, deadline_s - self._monotonic())
        service_s = self._limit.service_time_s if self._limit else 0.0
        return max(0.0, left_s - service_s)

    def _admit_waiting(self) -> None:
        while self._limit is None or self._in_flight < self._limit.value:
            waiter = self._policy.take()
            if waiter is None:
                return
            waiter.gone = True
            waiter.admitted.set()
            self._in_flight += 1


def _overloaded(detail: str) -> Fault:
    return Fault(ResultCode.CALL_OVERLOADED, detail)
