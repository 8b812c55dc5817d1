"""Calls that wait for a slot of the local upstream, until they get one or are refused.

`AdmissionQueue` decides which call is next; this module waits, and wakes the calls.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.admission import AdmissionQueue
from gypsumlock.mesh.model import CallRequest
from gypsumlock.mesh.ticket import AdmissionDecision, Ticket, TicketState

__all__ = ["SlotWaiters"]

# Interval between checks for queued calls that can no longer be answered in time, in
# seconds.
SWEEP_INTERVAL_S = 0.03


class SlotWaiters:
    """Futures of the queued calls.

    Parameters
    ----------
    queue : AdmissionQueue
        Slots of the upstream and the queue for them.
    """

    __slots__ = ("_loop", "_queue", "_sweep_timer", "_tickets", "_waiters")

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._loop = asyncio.get_running_loop()
        self._waiters: dict[Ticket, asyncio.Future[None]] = {}
        # Tickets of queued calls by the `id` of their request.
        self._tickets: dict[int, Ticket] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def wait(self, request: CallRequest, ticket: Ticket) -> AdmissionDecision:
        """Wait for a slot; the call can be withdrawn meanwhile."""
        self._tickets[id(request)] = ticket
        try:
            return await self._wait_for_slot(ticket)
        finally:
            del self._tickets[id(request)]

    def withdraw(self, request: CallRequest) -> bool | None:
        """Refuse a call if it still waits; return whether it did.

        Return None if the call is not queued.
        """
        ticket = self._tickets.get(id(request))
        if ticket is None:
            return None
        if ticket.state is not TicketState.WAITING:
            return False
        self._withdraw_ticket(ticket)
        return True

    def withdraw_all(self) -> None:
        """Refuse every call that still waits for a slot."""
        for ticket in list(self._tickets.values()):
            self._withdraw_ticket(ticket)

    def _withdraw_ticket(self, ticket: Ticket) -> None:
        if ticket.state is not TicketState.WAITING:
            return
        self._queue.withdraw(ticket)
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait_for_slot(self, ticket: Ticket) -> AdmissionDecision:
        waiter = self._loop.create_future()
        self._waiters[ticket] = waiter
        self._schedule_sweep()
        try:
            await waiter
        except asyncio.CancelledError:
            if ticket.state is TicketState.ADMITTED:
                self.release(ticket, None)
            else:
                self._queue.withdraw(ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)
        wait_s = 0.0
        if ticket.state is TicketState.DROPPED:
            wait_s = self._queue.expected_wait_s(
                ticket.sort_key(), ticket.priority, self._loop.time(), ticket
            )
        return AdmissionDecision(ticket.state, wait_s)

    def release(self, ticket: Ticket, service_s: float | None) -> None:
        """Free the slot of an admitted call, and admit the next ones.

        Parameters
        ----------
        ticket : Ticket
            The call that ended.
        service_s : float | None
            Its service time in seconds, or None if it was not answered.
        """
        self._queue.release(ticket, self._loop.time(), service_s)
        self._wake_ready()

    def _wake_ready(self) -> None:
        for ticket in self._queue.dequeue(self._loop.time()):
            waiter = self._waiters.get(ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            elif ticket.state is TicketState.ADMITTED:
                self._queue.release(ticket, self._loop.time(), None)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._run_sweep)

    def _run_sweep(self) -> None:
        self._sweep_timer = None
        self._wake_ready()
        if self._waiters:
            self._schedule_sweep()
