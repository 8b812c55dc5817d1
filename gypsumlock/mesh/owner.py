"""Executes calls on the local upstream, which no other node can reach.

The node alone decides which calls that upstream receives: it admits, queues or refuses
them, and sends none from the moment it has acknowledged that the upstream is leaving.
"""

from __future__ import annotations

import asyncio
import math

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.admission import DEADLINE_MARGIN_FACTOR, AdmissionQueue
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.call_handler import CallHandler
from gypsumlock.mesh.model import (
    EXPIRED_S,
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
)
from gypsumlock.mesh.pacer import CHUNK_BYTES
from gypsumlock.mesh.request_body import BodyReceiver
from gypsumlock.mesh.slot_waiters import SlotWaiters
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.ticket import Ticket, TicketState
from gypsumlock.mesh.upstream_capacity import UpstreamCapacity
from gypsumlock.mesh.upstream_client import UpstreamClient
from gypsumlock.result_codes import ResultCode

__all__ = ["UpstreamOwner"]

log = get_logger(Component.ADMIT)

# Refusal codes that apply to all calls of the same service.
SERVICE_WIDE_REFUSALS = frozenset(
    {
        ResultCode.CALL_NO_UPSTREAM,
        ResultCode.CALL_LEAVING,
        ResultCode.CALL_UPSTREAM_UNREACHABLE,
    }
)


class UpstreamOwner(CallHandler):
    """Admits calls to one upstream and executes them.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    """

    __slots__ = (
        "_abandoned_until_s",
        "_capacity",
        "_client",
        "_loop",
        "_queue",
        "_state",
        "_waiters",
    )

    def __init__(self, state: MeshState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._queue = AdmissionQueue()
        self._client = UpstreamClient(state)
        self._capacity = UpstreamCapacity()
        self._waiters = SlotWaiters(self._queue)
        # Latest deadline of the calls that ended without a response: the upstream may
        # be at work on them until then.
        self._abandoned_until_s = float("-inf")

    def upstream_changed(self) -> None:
        """Apply what the registry now holds about the upstream."""
        incarnation = self._state.registry.current
        if incarnation is not None and incarnation.slots > 0:
            self._capacity.change_upstream(incarnation.instance, incarnation.slots)
            self._queue.slots = self._capacity.slots
        self._client.end_backoff()

    def busy(self) -> bool:
        """Return whether calls are in flight at the upstream or queued for it."""
        return self._queue.in_flight > 0 or self._queue.waiting > 0

    def may_be_executing(self) -> bool:
        """Return whether the upstream may be at work, also on calls given up here."""
        return self.busy() or self._loop.time() < self._abandoned_until_s

    def accepting(self) -> bool:
        """Return whether other nodes should send calls here."""
        incarnation = self._state.registry.current
        if incarnation is None or incarnation.leaving or self._state.stopping:
            return False
        if not self._state.version_gate.accepts(boot_time_s()):
            return False
        return not self._client.is_backing_off()

    def load(self, route: str = "") -> OwnerLoad:
        """Return the current load, with the service time of a route."""
        now_s = self._loop.time()
        queue = self._queue
        return OwnerLoad(
            slots=queue.slots,
            in_flight=queue.in_flight + queue.waiting,
            wait_s=queue.waits_by_rank(now_s),
            service_s=round(queue.service_times.observed_mean_s(route), 4),
            failure_share=round(self._client.failure_share, 3),
            accepting=self.accepting(),
            egress_delay_s=round(self._state.pacer.egress_delay_s(), 3),
        )

    async def run_call(
        self, request: CallRequest, receive_body: BodyReceiver | None = None
    ) -> CallOutcome:
        """Execute or refuse a call of this node's clients or of another node."""
        now_s = self._loop.time()
        code = self._refusal_code(request, now_s)
        if code is not None:
            return self._refuse(request, code, 0.0)
        transfer_s = 0.0
        if request.response_bytes > CHUNK_BYTES:
            transfer_s = self._state.pacer.egress_delay_s(request.response_bytes)
        if transfer_s * DEADLINE_MARGIN_FACTOR > request.deadline_left_s:
            return self._refuse(request, ResultCode.CALL_OVERLOADED, transfer_s)
        ticket = Ticket(
            route=request.route,
            rank=request.rank,
            target_s=request.target_s,
            late_ok=request.late_ok,
            # The response has to reach the link by then.
            target_at_s=now_s + request.target_left_s - transfer_s,
            deadline_at_s=now_s + request.deadline_left_s,
            first_offer=request.first_offer,
            organisation=request.organisation,
        )
        decision = self._queue.offer(ticket, now_s)
        body: asyncio.Task[None] | None = None
        if receive_body is not None and decision.state is not TicketState.DROPPED:
            body = self._loop.create_task(receive_body())
        try:
            if decision.state is TicketState.WAITING:
                decision = await self._waiters.wait(request, ticket)
            if decision.state is TicketState.DROPPED:
                return self._refuse(
                    request, ResultCode.CALL_OVERLOADED, decision.retry_after_s
                )
            if body is not None and not await self._wait_for_body(body, ticket):
                return self._refuse(request, ResultCode.CALL_OVERLOADED, 0.0)
            if request.deadline_left_s == EXPIRED_S:
                # It was withdrawn while its body was on the way.
                self._waiters.release(ticket, None)
                return self._refuse(request, ResultCode.CALL_OVERLOADED, 0.0)
        finally:
            if body is not None:
                body.cancel()
        return await self._execute(request, ticket)

    async def _wait_for_body(self, body: asyncio.Task[None], ticket: Ticket) -> bool:
        """Wait for the body of an admitted call; free its slot if none arrives."""
        is_complete = False
        try:
            async with asyncio.timeout_at(ticket.deadline_at_s - ticket.service_s):
                await body
            is_complete = True
        except TimeoutError:
            pass
        finally:
            if not is_complete:
                self._waiters.release(ticket, None)
        return is_complete

    def withdraw(self, request: CallRequest) -> bool:
        withdrawn = self._waiters.withdraw(request)
        if withdrawn is None:
            # If it has not begun yet, it is refused then.
            request.deadline_left_s = EXPIRED_S
        return withdrawn is True

    def withdraw_all(self) -> None:
        """Refuse every call that still waits for a slot."""
        self._waiters.withdraw_all()

    # --- execution ---

    async def _execute(self, request: CallRequest, ticket: Ticket) -> CallOutcome:
        task = self._loop.create_task(self._exchange(request, ticket))
        pacer = self._state.pacer
        pacer.add_pending(request.response_bytes)
        task.add_done_callback(lambda _: pacer.remove_pending(request.response_bytes))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A call that must not run twice is never cancelled while it runs.
            if request.repeatable:
                task.cancel()
            raise

    async def _exchange(self, request: CallRequest, ticket: Ticket) -> CallOutcome:
        started_at_s = self._loop.time()
        concurrency = self._queue.in_flight
        service_s: float | None = None
        outcome: CallOutcome | None = None
        try:
            max_wait_s = math.inf
            if request.repeatable:
                max_wait_s = self._capacity.max_wait_s(ticket, started_at_s)
            outcome = await self._client.send(request, ticket.deadline_at_s, max_wait_s)
            if isinstance(outcome, Answer):
                service_s = self._loop.time() - started_at_s
            self._state.version_gate.record_outcome(request.route, outcome, service_s)
        except asyncio.CancelledError:
            if self._loop.time() >= ticket.deadline_at_s:
                # The caller waits no longer than that for an answer.
                self._state.version_gate.record_lost_answer(request.route)
            raise
        finally:
            now_s = self._loop.time()
            if outcome is None or isinstance(outcome, Failure):
                self._abandoned_until_s = max(
                    self._abandoned_until_s, ticket.deadline_at_s
                )
            capacity = self._capacity
            capacity.record_end(ticket, outcome, concurrency, started_at_s, now_s)
            self._queue.slots = capacity.slots
            ends_at_s = capacity.occupied_until_s(ticket, outcome, now_s)
            if ends_at_s > now_s:
                self._loop.call_at(ends_at_s, self._waiters.release, ticket, None)
            else:
                self._waiters.release(ticket, service_s)
        log.info(
            "call finished by the owner",
            call=request.request_id.decode("latin-1"),
            route=request.route,
            rank=request.rank,
            wait_s=round(started_at_s - ticket.offered_at_s, 4),
            late=ticket.late,
            took_s=round(self._loop.time() - started_at_s, 4),
            in_flight=self._queue.in_flight,
            waiting=self._queue.waiting,
            outcome=type(outcome).__name__.lower(),
            code=0 if isinstance(outcome, Answer) else outcome.code,
        )
        if isinstance(outcome, Refusal) and outcome.rejected_by_upstream:
            outcome.retry_after_s = self._queue.service_times.overall_mean_s
        # Computed after the slot was released, so that it excludes this call.
        outcome.load = self._load_after(request, outcome)
        return outcome

    # --- refusal ---

    def _refusal_code(self, request: CallRequest, now_s: float) -> ResultCode | None:
        since_s = self._state.stopping_since_s
        peer_drain_s = self._state.bounds.peer_drain_s
        if since_s is not None and now_s - since_s > peer_drain_s:
            return ResultCode.CALL_LEAVING
        incarnation = self._state.registry.current
        if incarnation is None:
            return ResultCode.CALL_NO_UPSTREAM
        if incarnation.leaving:
            return ResultCode.CALL_LEAVING
        if incarnation.service != request.service:
            return ResultCode.CALL_NO_UPSTREAM
        if not self._state.version_gate.accepts(boot_time_s()):
            return ResultCode.CALL_LEAVING
        if self._client.is_backing_off():
            return ResultCode.CALL_UPSTREAM_UNREACHABLE
        if self._state.memory.is_high():
            return ResultCode.CALL_NO_MEMORY
        return None

    def _refuse(
        self, request: CallRequest, code: ResultCode, retry_after_s: float
    ) -> Refusal:
        log.info(
            "call refused by the owner",
            call=request.request_id.decode("latin-1"),
            route=request.route,
            rank=request.rank,
            code=code.value,
            in_flight=self._queue.in_flight,
            waiting=self._queue.waiting,
            retry_after_s=round(retry_after_s, 3),
        )
        refusal = Refusal(0, code, retry_after_s, False, OwnerLoad())
        refusal.load = self._load_after(request, refusal)
        return refusal

    def _load_after(self, request: CallRequest, outcome: CallOutcome) -> OwnerLoad:
        """Return the load to report with the outcome of a call."""
        load = self.load(request.route)
        if isinstance(outcome, Refusal) and outcome.code in SERVICE_WIDE_REFUSALS:
            # No call of this service is accepted here, even if the upstream accepts
            # calls of another service.
            load.accepting = False
        return load
