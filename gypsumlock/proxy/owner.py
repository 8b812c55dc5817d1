"""Inbound proxy: forwards calls to the local upstream.

The local upstream runs on the same instance as this node, which is its owner node.
Steps: check that the upstream accepts calls, wait for a slot, connect, exchange.
A call that is refused before the exchange is reported as *not run*.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from result import Err

from gypsumlock import defaults
from gypsumlock.admission import Gate
from gypsumlock.blackboard import Board
from gypsumlock.logs import Component, get_logger
from gypsumlock.metrics import Metrics
from gypsumlock.model import Rank
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.exchange import AttemptResult, AttemptState, exchange_call
from gypsumlock.proxy.headers import CALL_ID, CONTEXT, TIMEOUT_MS, Headers
from gypsumlock.proxy.pool import ConnectionPool
from gypsumlock.proxy.request import RequestBody, RequestHead
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["InboundCall", "InboundProxy"]

log = get_logger(Component.ADMIT)


@dataclass(frozen=True, slots=True)
class InboundCall:
    """Properties of a call that the inbound proxy needs."""

    call_id: str
    service: str
    rank: Rank
    # Index of the rank; 0 is the most urgent.
    rank_order: int
    depth: int
    version: int
    # Monotonic time after which the response is no longer useful.
    deadline_s: float


class InboundProxy:
    """Admits calls to the local upstream and forwards them.

    Parameters
    ----------
    board : Board
        State of the node, including the local upstream.
    gate : Gate
        Admits calls to the upstream's slots.
    pool : ConnectionPool
        Connections to the upstream.
    signer : ContextSigner
        Signs the context that the upstream attaches to its own calls.
    metrics : Metrics
        Counters and latencies of the node.
    """

    __slots__ = ("_board", "_gate", "_metrics", "_pool", "_signer")

    def __init__(
        self,
        board: Board,
        gate: Gate,
        pool: ConnectionPool,
        signer: ContextSigner,
        metrics: Metrics,
    ) -> None:
        self._board = board
        self._gate = gate
        self._pool = pool
        self._signer = signer
        self._metrics = metrics

    async def forward(
        self,
        call: InboundCall,
        head: RequestHead,
        body: RequestBody,
        responder: Responder,
    ) -> AttemptResult:
        """Forward one call; see `exchange_call` for the result and the exceptions."""
        fault = self._upstream_fault(call)
        if fault is not None:
            return self._refuse(call, fault)
        admitted = await self._gate.acquire(call.rank, call.rank_order, call.deadline_s)
        if isinstance(admitted, Err):
            return self._refuse(call, admitted.err_value)
        permit = admitted.ok_value
        answered = False
        try:
            # The upstream may have started to leave while the call was queued.
            fault = self._upstream_fault(call)
            if fault is not None:
                return self._refuse(call, fault)
            result = await self._exchange(call, head, body, responder)
            answered = result.state is AttemptState.ANSWERED
            return result
        finally:
            permit.release(answered=answered)

    def _upstream_fault(self, call: InboundCall) -> Fault | None:
        upstream = self._board.upstream.read()
        if upstream is None or upstream.service != call.service:
            detail = f"this node has no upstream of service {call.service}"
            return Fault(ResultCode.CALL_NO_UPSTREAM, detail)
        if upstream.leaving or self._board.stopping.read():
            return Fault(
                ResultCode.CALL_LEAVING, "the upstream or this node is leaving"
            )
        return None

    async def _exchange(
        self,
        call: InboundCall,
        head: RequestHead,
        body: RequestBody,
        responder: Responder,
    ) -> AttemptResult:
        upstream = self._board.upstream.read()
        assert upstream is not None
        acquired = await self._pool.acquire(
            upstream.address, defaults.MAX_CONNECTIONS_PER_UPSTREAM
        )
        if isinstance(acquired, Err):
            return self._refuse(call, acquired.err_value)
        connection = acquired.ok_value
        try:
            return await exchange_call(
                connection, head, body, self._upstream_headers(call), responder, False
            )
        finally:
            self._pool.release(upstream.address, connection)

    def _upstream_headers(self, call: InboundCall) -> Headers:
        remaining_s = max(0.0, call.deadline_s - time.monotonic())
        context = CallContext(
            kind="nested",
            call_id=call.call_id,
            rank=call.rank.name,
            remaining_s=remaining_s,
            issued_unix_s=time.time(),
            depth=call.depth,
            version=call.version,
        )
        return [
            (CONTEXT, self._signer.sign(context)),
            (CALL_ID, call.call_id.encode()),
            (TIMEOUT_MS, str(int(remaining_s * 1000)).encode()),
        ]

    def _refuse(self, call: InboundCall, fault: Fault) -> AttemptResult:
        self._metrics.increment(f"refused.{fault.code.name.lower()}")
        log.info(
            "call refused before it ran",
            call=call.call_id,
            rank=call.rank.name,
            code=fault.code.value,
            detail=fault.detail,
        )
        return AttemptResult(AttemptState.NOT_RUN, fault)
