"""Admission gate of one upstream: admits, queues or refuses calls.

The gate belongs to the owner node, which runs on the same instance as the upstream.
A slot is capacity for one concurrent call; the upstream announces how many it has.
No byte of a call that is refused here was sent to the upstream, so the refusal can
correctly report the call as *not run*.
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
    """The right to use one slot until it is released."""

    __slots__ = ("_gate", "_started_at_s")

    def __init__(self, gate: Gate, started_at_s: float) -> None:
        self._gate = gate
        self._started_at_s = started_at_s

    def release(self, answered: bool) -> None:
        """Release the slot.

        Parameters
        ----------
        answered : bool
            Whether the upstream answered. If it did, the latency of the call is
            used to adapt the concurrency limit.
        """
        self._gate.release(self._started_at_s, answered)


class Gate:
    """Admits calls to one upstream, in the order that its queue policy chooses.

    Parameters
    ----------
    limit : ConcurrencyLimit | None
        Limit on concurrent calls; None admits every call.
    policy : QueuePolicy
        Chooses the waiting call that is admitted next.
    monotonic : Callable[[], float]
        Monotonic clock, in seconds.
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
        """Number of calls that hold a slot."""
        return self._in_flight

    @property
    def limit(self) -> int | None:
        """Number of calls that may hold a slot at once; None for no limit."""
        return self._limit.value if self._limit else None

    def set_slots(self, slots: int) -> None:
        """Apply the number of slots that the upstream announced."""
        if self._limit is not None:
            self._limit.set_slots(slots)
            self._admit_waiting()

    async def acquire(
        self, rank: Rank, order: int, deadline_s: float
    ) -> Result[Permit, Fault]:
        """Wait for a slot for as long as the call can still be answered in time.

        Parameters
        ----------
        rank : Rank
            Rank of the call.
        order : int
            Index of the rank; 0 is the most urgent.
        deadline_s : float
            Monotonic time after which the response is no longer useful.

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
            await self._wait(waiter, self._max_wait_s(rank, deadline_s))
        if not waiter.admitted.is_set():
            return Err(_overloaded(f"no slot became free in time for rank {rank.name}"))
        return Ok(Permit(self, self._monotonic()))

    def release(self, started_at_s: float, answered: bool) -> None:
        """Free a slot and admit waiting calls."""
        if answered and self._limit is not None:
            self._limit.record_call(self._monotonic() - started_at_s, self._in_flight)
        self._in_flight -= 1
        self._admit_waiting()

    async def _wait(self, waiter: Waiter, max_wait_s: float) -> None:
        try:
            with anyio.move_on_after(max_wait_s):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                # Cancelled after the slot was granted: free it for the next call.
                self._in_flight -= 1
                self._admit_waiting()
            raise
        finally:
            waiter.done = True

    def _max_wait_s(self, rank: Rank, deadline_s: float) -> float:
        """Return how long a call may wait for a slot and still be answered in time."""
        remaining_s = min(rank.target_s, deadline_s - self._monotonic())
        service_s = self._limit.service_time_s if self._limit else 0.0
        return max(0.0, remaining_s - service_s)

    def _admit_waiting(self) -> None:
        while self._limit is None or self._in_flight < self._limit.value:
            waiter = self._policy.take()
            if waiter is None:
                return
            waiter.done = True
            waiter.admitted.set()
            self._in_flight += 1


def _overloaded(detail: str) -> Fault:
    return Fault(ResultCode.CALL_OVERLOADED, detail)
