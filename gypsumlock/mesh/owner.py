"""Carries calls to the upstream beside the node, which no other node can reach.

This node alone decides what that upstream is given: it admits, lets wait, refuses,
and stops sending the moment it has acknowledged that the upstream leaves.
"""

from __future__ import annotations

import asyncio

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.admission import (
    LATE_MARGIN,
    AdmissionQueue,
    Ticket,
    TicketState,
    Verdict,
)
from gypsumlock.mesh.call_sink import CallSink
from gypsumlock.mesh.http_text import encode_request, forwardable
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
)
from gypsumlock.mesh.pacer import PIECE_BYTES
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_connection import (
    ConnectFailed,
    ExchangeFailed,
    UpstreamAnswer,
)
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.result_codes import ResultCode

__all__ = ["Owner"]

log = get_logger(Component.ADMIT)

# Time between two looks at waiting calls that can't be answered in time any more.
SWEEP_S = 0.03
# Time for which an upstream that refused a connection isn't tried again.
DOWN_S = 0.3
# Weight of the newest call in the share of failed calls.
FAILURE_WEIGHT = 0.05
# Time after a stop request in which calls are still taken: other nodes learn of the
# stop meanwhile, and this one's clients have other upstreams.
STOP_PEERS_S = 1.0
# Statuses by which an upstream tells that another instance is meant.
WRONG_INSTANCE = 421
BAD_REQUEST = 400
SERVER_ERROR = 500
# Refusals that hold for all calls of the same service.
CLOSED_CODES = frozenset(
    {
        ResultCode.CALL_NO_UPSTREAM,
        ResultCode.CALL_LEAVING,
        ResultCode.CALL_UPSTREAM_UNREACHABLE,
    }
)


class Owner(CallSink):
    """Admits calls to one upstream and carries them.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    """

    __slots__ = (
        "_down_until_s",
        "_failure_share",
        "_loop",
        "_pool",
        "_queue",
        "_state",
        "_sweep",
        "_tickets",
        "_waiters",
    )

    def __init__(self, state: MeshState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._queue = AdmissionQueue()
        self._pool = UpstreamPool(state.addresses.upstream, state.headers.request_id)
        self._waiters: dict[Ticket, asyncio.Future[None]] = {}
        # Waiting calls by the identity of their request.
        self._tickets: dict[int, Ticket] = {}
        self._sweep: asyncio.TimerHandle | None = None
        self._down_until_s = float("-inf")
        self._failure_share = 0.0

    def upstream_changed(self) -> None:
        """Take over what the registry says of the upstream."""
        known = self._state.registry.current
        if known is not None and known.slots > 0:
            self._queue.slots = known.slots
        self._down_until_s = float("-inf")

    def busy(self) -> bool:
        """Tell whether calls are at the upstream or wait for it."""
        return self._queue.in_flight > 0 or self._queue.waiting > 0

    def accepting(self) -> bool:
        """Tell whether other nodes should send calls here."""
        known = self._state.registry.current
        if known is None or known.leaving or self._state.stopping:
            return False
        return self._loop.time() >= self._down_until_s

    def load(self, route: str = "") -> OwnerLoad:
        """Return the load as it is now, with the service time of a route."""
        now_s = self._loop.time()
        queue = self._queue
        return OwnerLoad(
            slots=queue.slots,
            in_flight=queue.in_flight + queue.waiting,
            wait_s=queue.waits_by_rank(now_s),
            service_s=round(queue.times.known(route), 4),
            failure_share=round(self._failure_share, 3),
            accepting=self.accepting(),
            egress_s=round(self._state.pacer.egress_s(), 3),
        )

    async def run_call(self, request: CallRequest) -> CallOutcome:
        """Carry a call, of this node's clients or of another node."""
        now_s = self._loop.time()
        code = self._why_not(request, now_s)
        if code is not None:
            return self._refuse(request, code, 0.0)
        transfer_s = 0.0
        if request.answer_bytes > PIECE_BYTES:
            transfer_s = self._state.pacer.egress_s(request.answer_bytes)
        if transfer_s * LATE_MARGIN > request.deadline_left_s:
            return self._refuse(request, ResultCode.CALL_OVERLOADED, transfer_s)
        ticket = Ticket(
            route=request.route,
            rank=request.rank,
            target_s=request.target_s,
            late_ok=request.late_ok,
            # The answer has to be at the link by then.
            target_at_s=now_s + request.target_left_s - transfer_s,
            deadline_at_s=now_s + request.deadline_left_s,
        )
        verdict = self._queue.offer(ticket, now_s)
        if verdict.state is TicketState.WAITING:
            self._tickets[id(request)] = ticket
            try:
                verdict = await self._wait(ticket)
            finally:
                del self._tickets[id(request)]
        if verdict.state is TicketState.DROPPED:
            return self._refuse(
                request, ResultCode.CALL_OVERLOADED, verdict.retry_after_s
            )
        return await self._carry(request, ticket)

    def withdraw(self, request: CallRequest) -> None:
        """Refuse a call if it still waits for a slot."""
        ticket = self._tickets.get(id(request))
        if ticket is not None:
            self._drop(ticket)

    def withdraw_all(self) -> None:
        """Refuse every call that still waits for a slot."""
        for ticket in list(self._tickets.values()):
            self._drop(ticket)

    def _drop(self, ticket: Ticket) -> None:
        if ticket.state is not TicketState.WAITING:
            return
        self._queue.withdraw(ticket)
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # --- waiting for a slot ---

    async def _wait(self, ticket: Ticket) -> Verdict:
        waiter = self._loop.create_future()
        self._waiters[ticket] = waiter
        self._arm_sweep()
        try:
            await waiter
        except asyncio.CancelledError:
            if ticket.state is TicketState.ADMITTED:
                self._free(ticket, None)
            else:
                self._queue.withdraw(ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)
        wait_s = 0.0
        if ticket.state is TicketState.DROPPED:
            wait_s = self._queue.expected_wait_s(
                ticket.order(), ticket.urgency, self._loop.time()
            )
        return Verdict(ticket.state, wait_s)

    def _free(self, ticket: Ticket, service_s: float | None) -> None:
        self._queue.release(ticket, self._loop.time(), service_s)
        self._wake_ready()

    def _wake_ready(self) -> None:
        for ticket in self._queue.take_ready(self._loop.time()):
            waiter = self._waiters.get(ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            elif ticket.state is TicketState.ADMITTED:
                self._queue.release(ticket, self._loop.time(), None)

    def _arm_sweep(self) -> None:
        if self._sweep is None:
            self._sweep = self._loop.call_later(SWEEP_S, self._run_sweep)

    def _run_sweep(self) -> None:
        self._sweep = None
        self._wake_ready()
        if self._waiters:
            self._arm_sweep()

    # --- at the upstream ---

    async def _carry(self, request: CallRequest, ticket: Ticket) -> CallOutcome:
        task = self._loop.create_task(self._exchange(request, ticket))
        pacer = self._state.pacer
        pacer.promise(request.answer_bytes)
        task.add_done_callback(lambda _: pacer.fulfil(request.answer_bytes))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A call that must not run twice is never broken off half-way.
            if request.repeatable:
                task.cancel()
            raise

    async def _exchange(self, request: CallRequest, ticket: Ticket) -> CallOutcome:
        began_s = self._loop.time()
        service_s: float | None = None
        try:
            outcome = await self._send(request, ticket)
            if isinstance(outcome, Answer):
                service_s = self._loop.time() - began_s
        finally:
            self._free(ticket, service_s)
        log.info(
            "call carried",
            call=request.request_id.decode("latin-1"),
            route=request.route,
            rank=request.rank,
            wait_s=round(began_s - ticket.offered_at_s, 4),
            late=ticket.late,
            took_s=round(self._loop.time() - began_s, 4),
            in_flight=self._queue.in_flight,
            waiting=self._queue.waiting,
            outcome=type(outcome).__name__.lower(),
        )
        if isinstance(outcome, Answer):
            # Only now does the load leave this call out.
            outcome.load = self.load(request.route)
        return outcome

    async def _send(self, request: CallRequest, ticket: Ticket) -> CallOutcome:
        known = self._state.registry.current
        if known is None or known.leaving:
            return self._refuse(request, ResultCode.CALL_LEAVING, 0.0)
        try:
            connection = await self._pool.acquire(request.repeatable)
        except ConnectFailed as error:
            return self._note_down(request, str(error))
        left_s = ticket.deadline_at_s - self._loop.time()
        known = self._state.registry.current
        if known is None or known.leaving or left_s <= 0:
            self._pool.release(connection)
            return self._refuse(request, ResultCode.CALL_LEAVING, 0.0)
        data = encode_request(request, self._state.headers, known.instance, left_s)
        try:
            answer = await connection.exchange(request.method, request.request_id, data)
        except ConnectFailed as error:
            return self._note_down(request, str(error))
        except ExchangeFailed as error:
            self._note_result(failed=True)
            log.warning(
                "upstream gave no usable answer",
                call=request.request_id.decode("latin-1"),
                instance=known.instance,
                reason=str(error),
            )
            return Failure(0, ResultCode.CALL_UNKNOWN_OUTCOME, self.load(request.route))
        finally:
            self._pool.release(connection)
        return self._outcome_of(request, answer)

    def _outcome_of(self, request: CallRequest, answer: UpstreamAnswer) -> CallOutcome:
        rejected = answer.header(self._state.headers.not_executed) is not None
        wrong = answer.status == WRONG_INSTANCE
        if wrong or (rejected and answer.status != BAD_REQUEST):
            self._note_result(failed=True)
            if wrong:
                self._down_until_s = self._loop.time() + DOWN_S
            return Refusal(
                0,
                ResultCode.CALL_UPSTREAM_REJECTED,
                self._queue.times.overall_s,
                True,
                self.load(request.route),
            )
        self._note_result(failed=answer.status >= SERVER_ERROR)
        headers = forwardable(answer.headers)
        return Answer(0, answer.status, headers, answer.body, self.load(request.route))

    def _note_down(self, request: CallRequest, reason: str) -> Refusal:
        self._down_until_s = self._loop.time() + DOWN_S
        self._note_result(failed=True)
        log.warning(
            "upstream refused a connection",
            call=request.request_id.decode("latin-1"),
            reason=reason,
        )
        return self._refuse(request, ResultCode.CALL_UPSTREAM_UNREACHABLE, 0.0)

    def _note_result(self, failed: bool) -> None:
        self._failure_share += FAILURE_WEIGHT * (failed - self._failure_share)

    # --- refusing ---

    def _why_not(self, request: CallRequest, now_s: float) -> ResultCode | None:
        since_s = self._state.stopping_since_s
        if since_s is not None and now_s - since_s > STOP_PEERS_S:
            return ResultCode.CALL_LEAVING
        known = self._state.registry.current
        if known is None:
            return ResultCode.CALL_NO_UPSTREAM
        if known.leaving:
            return ResultCode.CALL_LEAVING
        if known.service != request.service:
            return ResultCode.CALL_NO_UPSTREAM
        if now_s < self._down_until_s:
            return ResultCode.CALL_UPSTREAM_UNREACHABLE
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
        load = self.load(request.route)
        if code in CLOSED_CODES:
            # Whatever else runs here, the call's service takes nothing.
            load.accepting = False
        return Refusal(0, code, retry_after_s, False, load)
