"""Carries calls to the upstream beside this node.

Phases: check that the upstream takes calls, wait for a slot, connect, exchange.
Everything before the exchange refuses as *not run*.
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

__all__ = ["OwnerSide", "OwnerCall"]

log = get_logger(Component.ADMIT)


@dataclass(frozen=True, slots=True)
class OwnerCall:
    """What the owner's side needs to know of a call."""

    call_id: str
    service: str
    rank: Rank
    rank_order: int
    depth: int
    version: int
    # Monotonic time at which the answer is worth nothing any more.
    deadline_s: float


class OwnerSide:
    """Admits calls to the upstream beside the node and carries them.

    Parameters
    ----------
    board : Board
        State of the node; names the upstream.
    gate : Gate
        Admission to the upstream's slots.
    pool : ConnectionPool
        Connections to the upstream.
    signer : ContextSigner
        Signs the context that the upstream passes on.
    metrics : Metrics
        Counts what happened.
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

    async def carry(
        self,
        call: OwnerCall,
        head: RequestHead,
        body: RequestBody,
        responder: Responder,
    ) -> AttemptResult:
        """Carry one call; see `exchange_call` for the result and the errors."""
        fault = self._obstacle(call)
        if fault is not None:
            return self._refused(call, fault)
        admitted = await self._gate.acquire(call.rank, call.rank_order, call.deadline_s)
        if isinstance(admitted, Err):
            return self._refused(call, admitted.err_value)
        permit = admitted.ok_value
        answered = False
        try:
            # The upstream may have left while the call waited.
            fault = self._obstacle(call)
            if fault is not None:
                return self._refused(call, fault)
            result = await self._exchange(call, head, body, responder)
            answered = result.state is AttemptState.ANSWERED
            return result
        finally:
            permit.release(learn=answered)

    def _obstacle(self, call: OwnerCall) -> Fault | None:
        upstream = self._board.upstream.read()
        if upstream is None or upstream.service != call.service:
            found = f"no upstream of {call.service} is beside this node"
            return Fault(ResultCode.CALL_NO_UPSTREAM, found)
        if upstream.leaving or self._board.stopping.read():
            return Fault(ResultCode.CALL_LEAVING, "the upstream is leaving")
        return None

    async def _exchange(
        self,
        call: OwnerCall,
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
            return self._refused(call, acquired.err_value)
        connection = acquired.ok_value
        try:
            return await exchange_call(
                connection, head, body, self._headers(call), responder, False
            )
        finally:
            self._pool.release(upstream.address, connection)

    def _headers(self, call: OwnerCall) -> Headers:
        left_s = max(0.0, call.deadline_s - time.monotonic())
        context = CallContext(
            kind="nested",
            call_id=call.call_id,
            rank=call.rank.name,
            remaining_s=left_s,
            issued_unix_s=time.time(),
            depth=call.depth,
            version=call.version,
        )
        return [
            (CONTEXT, self._signer.sign(context)),
            (CALL_ID, call.call_id.encode()),
            (TIMEOUT_MS, str(int(left_s * 1000)).encode()),
        ]

    def _refused(self, call: OwnerCall, fault: Fault) -> AttemptResult:
        self._metrics.increment(f"refused.{fault.code.name.lower()}")
        log.info(
            "call refused as not run",
            call=call.call_id,
            rank=call.rank.name,
            code=fault.code.value,
            detail=fault.detail,
        )
        return AttemptResult(AttemptState.NOT_RUN, fault)
