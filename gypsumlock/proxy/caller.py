"""Carries calls from clients and from the upstream beside this node.

Phases of a call:
1. Classify: route, rank, deadline and depth, from the table in force.
2. Choose an upstream.
3. Carry the call, here if the upstream is beside this node, else through the
   node beside it.
4. After a refusal or a failure, decide whether the call may be sent again.

The call keeps the table that it started with.
"""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.logs import Component, get_logger
from gypsumlock.metrics import Metrics
from gypsumlock.model import CompiledRoute, Endpoint, RoutingTable
from gypsumlock.proxy.connection import ConnectionLost
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.exchange import AttemptResult, AttemptState, exchange_call
from gypsumlock.proxy.headers import CONTEXT, CallOutcome, Headers
from gypsumlock.proxy.owner import OwnerCall, OwnerSide
from gypsumlock.proxy.pool import ConnectionPool
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.routing import Outcome, RetryBudget, UpstreamChooser

__all__ = ["CallerSide"]

log = get_logger(Component.ROUTE)


@dataclass(frozen=True, slots=True)
class _Call:
    """One classified call."""

    call_id: str
    table: RoutingTable
    route: CompiledRoute
    head: RequestHead
    body: RequestBody
    depth: int
    deadline_s: float

    def left_s(self) -> float:
        return self.deadline_s - time.monotonic()


class CallerSide:
    """Routes calls and retries them where that is safe.

    Parameters
    ----------
    board : Board
        State of the node.
    owner : OwnerSide
        Carries calls to the upstream beside this node.
    chooser : UpstreamChooser
        Chooses upstreams.
    pool : ConnectionPool
        Connections to other nodes.
    signer : ContextSigner
        Signs hop contexts.
    metrics : Metrics
        Counts what happened.
    """

    __slots__ = (
        "_board",
        "_budgets",
        "_chooser",
        "_metrics",
        "_owner",
        "_pool",
        "_signer",
    )

    def __init__(
        self,
        board: Board,
        owner: OwnerSide,
        chooser: UpstreamChooser,
        pool: ConnectionPool,
        signer: ContextSigner,
        metrics: Metrics,
    ) -> None:
        self._board = board
        self._owner = owner
        self._chooser = chooser
        self._pool = pool
        self._signer = signer
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    async def carry(
        self,
        head: RequestHead,
        body: RequestBody,
        context: CallContext | None,
        responder: Responder,
    ) -> None:
        """Carry one call to its answer, or refuse it.

        Parameters
        ----------
        head, body : RequestHead, RequestBody
            The call.
        context : CallContext | None
            Context of the call above, when the upstream beside this node calls.
        responder : Responder
            Where the answer goes.
        """
        started_s = time.monotonic()
        classified = self._classify(head, body, context)
        if isinstance(classified, Err):
            fault = classified.err_value
            log.info("call refused", path=head.path, code=fault.code.value)
            self._metrics.increment(f"refused.{fault.code.name.lower()}")
            await responder.refuse(fault, CallOutcome.NOT_RUN)
            return
        call = classified.ok_value
        result = await self._carry_in_time(call, responder)
        await self._finish(call, result, responder)
        elapsed_s = time.monotonic() - started_s
        self._metrics.record_latency(call.route.rank.name, elapsed_s)

    def _classify(
        self, head: RequestHead, body: RequestBody, context: CallContext | None
    ) -> Result[_Call, Fault]:
        table = self._board.table.read()
        if table is None or not self._board.ready():
            found = "the version to run is not known yet"
            return Err(Fault(ResultCode.CALL_NOT_READY, found))
        route = table.route_of(head.host, head.path, head.method)
        if route is None:
            found = f"no route fits {head.method} {head.path}"
            return Err(Fault(ResultCode.CALL_NO_ROUTE, found))
        if not route.accept_calls:
            found = f"an exception refuses calls of route {route.name}"
            return Err(Fault(ResultCode.CALL_DISABLED, found))
        depth = context.depth + 1 if context else 1
        if depth > defaults.MAX_CALL_DEPTH:
            found = f"more than {defaults.MAX_CALL_DEPTH} calls deep"
            return Err(Fault(ResultCode.CALL_TOO_DEEP, found))
        timeout_s = route.timeout_s
        if context is not None:
            timeout_s = min(timeout_s, self._signer.time_left_s(context))
            route = _with_rank(table, route, context.rank)
        call_id = context.call_id if context else secrets.token_hex(8)
        deadline_s = time.monotonic() + timeout_s
        return Ok(_Call(call_id, table, route, head, body, depth, deadline_s))

    async def _carry_in_time(self, call: _Call, responder: Responder) -> AttemptResult:
        result = AttemptResult(
            AttemptState.NOT_RUN,
            Fault(ResultCode.CALL_DEADLINE, "no time was left to begin"),
        )
        with anyio.move_on_after(max(0.0, call.left_s())) as scope:
            await call.body.read_first()
            # Once an attempt is under way, the deadline leaves its outcome open.
            result = await self._try_upstreams(call, responder)
        if scope.cancelled_caught:
            if responder.started:
                raise ConnectionLost("the deadline passed within the answer")
            return self._overdue()
        return result

    def _overdue(self) -> AttemptResult:
        found = "the deadline passed while the call was under way"
        fault = Fault(ResultCode.CALL_DEADLINE, found)
        return AttemptResult(AttemptState.UNKNOWN, fault)

    async def _try_upstreams(self, call: _Call, responder: Responder) -> AttemptResult:
        budget = self._budget_of(call)
        budget.note_call()
        tried: set[str] = set()
        # The strongest claim over all attempts: one unknown outcome stays.
        unknown: AttemptResult | None = None
        last = _no_upstream(call)
        for attempt in range(call.route.max_attempts):
            if attempt > 0 and not budget.take_retry():
                self._metrics.increment("retry.budget_empty")
                break
            endpoint = self._chooser.choose(call.table, call.route, tried)
            if endpoint is None:
                break
            tried.add(endpoint.call_address)
            responder.retries = attempt
            last = await self._attempt(call, endpoint, attempt, responder)
            if last.state is AttemptState.ANSWERED:
                return last
            if last.state is AttemptState.UNKNOWN:
                unknown = last
            if not self._may_send_again(call, last):
                break
        return unknown or last

    def _may_send_again(self, call: _Call, result: AttemptResult) -> bool:
        if not call.body.replayable:
            return False
        if result.state is AttemptState.NOT_RUN:
            return True
        return call.route.is_idempotent(call.head.method)

    async def _attempt(
        self, call: _Call, endpoint: Endpoint, attempt: int, responder: Responder
    ) -> AttemptResult:
        log.info(
            "call routed",
            call=call.call_id,
            route=call.route.name,
            rank=call.route.rank.name,
            version=call.table.version,
            upstream=endpoint.call_address,
            zone=endpoint.zone,
            attempt=attempt + 1,
        )
        stats = self._chooser.stats_of(endpoint)
        stats.begin()
        started_s = time.monotonic()
        outcome = Outcome.ABANDONED
        try:
            result = await self._carry_to(call, endpoint, responder)
            outcome = _OUTCOMES[result.state]
            return result
        finally:
            now_s = time.monotonic()
            limits = call.table.policy.limits
            if stats.end(outcome, now_s - started_s, limits, now_s):
                self._metrics.increment("ejections")
                log.warning("upstream ejected", upstream=endpoint.call_address)

    async def _carry_to(
        self, call: _Call, endpoint: Endpoint, responder: Responder
    ) -> AttemptResult:
        if endpoint.node_address == self._board.node.address:
            return await self._carry_here(call, responder)
        limit = call.route.service.max_connections
        acquired = await self._pool.acquire(endpoint.call_address, limit)
        if isinstance(acquired, Err):
            return AttemptResult(AttemptState.NOT_RUN, acquired.err_value)
        connection = acquired.ok_value
        try:
            return await exchange_call(
                connection, call.head, call.body, self._hop(call), responder, True
            )
        finally:
            self._pool.release(endpoint.call_address, connection)

    async def _carry_here(self, call: _Call, responder: Responder) -> AttemptResult:
        here = OwnerCall(
            call_id=call.call_id,
            service=call.route.service.name,
            rank=call.route.rank,
            rank_order=call.route.rank_order,
            depth=call.depth,
            version=call.table.version,
            deadline_s=call.deadline_s,
        )
        return await self._owner.carry(here, call.head, call.body, responder)

    def _hop(self, call: _Call) -> Headers:
        context = CallContext(
            kind="hop",
            call_id=call.call_id,
            rank=call.route.rank.name,
            remaining_s=max(0.0, call.left_s()),
            issued_unix_s=time.time(),
            depth=call.depth,
            version=call.table.version,
            service=call.route.service.name,
        )
        return [(CONTEXT, self._signer.sign(context))]

    async def _finish(
        self, call: _Call, result: AttemptResult, responder: Responder
    ) -> None:
        self._metrics.increment(f"calls.{result.state.name.lower()}")
        if result.fault is None:
            return
        log.info(
            "call not answered",
            call=call.call_id,
            state=result.state.value,
            code=result.fault.code.value,
            detail=result.fault.detail,
        )
        not_run = result.state is AttemptState.NOT_RUN
        outcome = CallOutcome.NOT_RUN if not_run else CallOutcome.UNKNOWN
        await responder.refuse(result.fault, outcome)

    def _budget_of(self, call: _Call) -> RetryBudget:
        name = call.route.service.name
        if name not in self._budgets:
            share = call.table.policy.limits.retry_budget_share
            self._budgets[name] = RetryBudget(share)
        return self._budgets[name]


_OUTCOMES = {
    AttemptState.ANSWERED: Outcome.ANSWERED,
    AttemptState.NOT_RUN: Outcome.REFUSED,
    AttemptState.UNKNOWN: Outcome.FAILED,
}


def _no_upstream(call: _Call) -> AttemptResult:
    found = f"no upstream of {call.route.service.name} is known"
    fault = Fault(ResultCode.CALL_NO_UPSTREAM, found)
    return AttemptResult(AttemptState.NOT_RUN, fault)


def _with_rank(
    table: RoutingTable, route: CompiledRoute, rank_name: str
) -> CompiledRoute:
    """Return the route with the rank of the call above, if it is known here."""
    for order, rank in enumerate(table.policy.ranks):
        if rank.name == rank_name:
            return route.with_rank(rank, order)
    return route
