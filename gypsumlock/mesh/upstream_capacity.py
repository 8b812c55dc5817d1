"""What the owner has learnt of the capacity of its upstream from the ends of its calls.

Designed for upstreams that reset connections or stop responding once they are full. It
combines the concurrency limit with the time for which responses are waited for, and
forgets both when another incarnation of the upstream starts.
"""

from __future__ import annotations

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.concurrency_limit import ConcurrencyLimit
from gypsumlock.mesh.model import Answer, CallOutcome, Refusal
from gypsumlock.mesh.response_wait import ResponseWaits
from gypsumlock.mesh.ticket import Ticket

__all__ = ["UpstreamCapacity"]

log = get_logger(Component.ADMIT)


class UpstreamCapacity:
    """Limit of concurrent calls, and time for which a response is waited for."""

    __slots__ = ("_instance", "_limit", "_waits")

    def __init__(self) -> None:
        # The incarnation that everything was learnt of.
        self._instance = ""
        self._limit = ConcurrencyLimit()
        self._waits = ResponseWaits()

    @property
    def slots(self) -> int:
        """Number of calls that the upstream is sent at a time."""
        return self._limit.value

    def change_upstream(self, instance: str, slots: int) -> None:
        """Apply what an upstream announces of itself."""
        if instance != self._instance:
            self._instance = instance
            self._limit = ConcurrencyLimit()
            self._waits = ResponseWaits()
        self._limit.slots = slots

    def max_wait_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the time after which a repeatable call without response is given up.

        It is infinite for one that is waited for until its deadline.
        """
        return self._waits.wait_s(
            ticket.route,
            ticket.conservative_service_s,
            ticket.deadline_at_s - now_s,
            now_s,
        )

    def record_end(
        self,
        ticket: Ticket,
        outcome: CallOutcome | None,
        concurrency: int,
        started_at_s: float,
        now_s: float,
    ) -> None:
        """Learn from the end of a call that held a slot.

        Parameters
        ----------
        ticket : Ticket
            The call.
        outcome : CallOutcome | None
            Its outcome; None if it was cancelled.
        concurrency : int
            Calls in flight when it was sent, including itself.
        started_at_s, now_s : float
            Monotonic times of its start and of its end.
        """
        took_s = now_s - started_at_s
        lost = not isinstance(outcome, Answer)
        if isinstance(outcome, Refusal):
            if not outcome.rejected_by_upstream:
                return
        elif not lost:
            self._waits.record_answer(ticket.route, took_s, now_s)
        elif outcome is None and now_s < ticket.deadline_at_s:
            # Its caller has disconnected.
            return
        else:
            self._waits.record_no_answer(ticket.conservative_service_s, took_s, now_s)
        limit = self._limit.value
        self._limit.record(concurrency, lost, started_at_s, now_s)
        if self._limit.value != limit:
            log.info(
                "concurrency limit changed",
                limit=self._limit.value,
                previous=limit,
                slots=self._limit.slots,
                concurrency=concurrency,
                lost=lost,
            )

    def occupied_until_s(
        self, ticket: Ticket, outcome: CallOutcome | None, now_s: float
    ) -> float:
        """Return the monotonic time until which the slot of an ended call is occupied.

        An upstream that is known to be full below its slots may go on with a call that
        was cancelled, until its deadline.
        """
        if outcome is None and self._limit.value < self._limit.slots:
            return max(now_s, ticket.deadline_at_s)
        return now_s
