"""The ASGI application behind the call address.

A call with a genuine hop context comes from another node and goes to the
upstream beside this one; every other call is routed.
"""

from __future__ import annotations

import asyncio
import time

import anyio

from gypsumlock.blackboard import Board
from gypsumlock.logs import Component, get_logger
from gypsumlock.model import Rank
from gypsumlock.proxy.caller import CallerSide
from gypsumlock.proxy.connection import ConnectionLost
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.exchange import AttemptState
from gypsumlock.proxy.headers import CONTEXT, CallOutcome, find_header
from gypsumlock.proxy.owner import OwnerCall, OwnerSide
from gypsumlock.proxy.request import (
    ClientGone,
    Receive,
    RequestBody,
    RequestHead,
    Scope,
    Send,
)
from gypsumlock.proxy.responder import Responder
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["AnswerCut", "CallApp"]

log = get_logger(Component.ROUTE)


class AnswerCut(Exception):
    """Makes the server close a client's connection in the middle of an answer."""


class CallApp:
    """Carries every call that reaches the node."""

    __slots__ = ("_board", "_caller", "_owner", "_signer", "in_flight")

    def __init__(
        self,
        board: Board,
        caller: CallerSide,
        owner: OwnerSide,
        signer: ContextSigner,
    ) -> None:
        self._board = board
        self._caller = caller
        self._owner = owner
        self._signer = signer
        # Calls that the node carries now.
        self.in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Carry one call; the entry point of ASGI."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        try:
            await self._carry(scope, receive, send)
        finally:
            self.in_flight -= 1

    async def _carry(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = RequestHead.from_scope(scope)
        body = RequestBody(receive)
        responder = Responder(send, last=self._board.stopping.read())
        try:
            with anyio.CancelScope() as call_scope:
                # A bare task, since a task group for each call costs more.
                watcher = asyncio.create_task(_cancel_when_gone(body, call_scope))
                try:
                    await self._dispatch(head, body, responder)
                finally:
                    watcher.cancel()
        except* ClientGone:
            log.debug("client went away", path=head.path)
        except* ConnectionLost as group:
            log.warning("answer broke off", path=head.path)
            raise AnswerCut from group

    async def _dispatch(
        self, head: RequestHead, body: RequestBody, responder: Responder
    ) -> None:
        context = self._signer.verify(find_header(head.headers, CONTEXT))
        if context is not None and context.kind == "hop":
            await self._serve_hop(head, body, context, responder)
        else:
            await self._caller.carry(head, body, context, responder)

    async def _serve_hop(
        self,
        head: RequestHead,
        body: RequestBody,
        context: CallContext,
        responder: Responder,
    ) -> None:
        call = self._owner_call(context)
        if not self._board.ready():
            fault = Fault(ResultCode.CALL_NOT_READY, "no version is in force here")
            await responder.refuse(fault, CallOutcome.NOT_RUN)
            return
        await body.read_first()
        result = await self._owner.carry(call, head, body, responder)
        if result.fault is None:
            return
        not_run = result.state is AttemptState.NOT_RUN
        outcome = CallOutcome.NOT_RUN if not_run else CallOutcome.UNKNOWN
        await responder.refuse(result.fault, outcome)

    def _owner_call(self, context: CallContext) -> OwnerCall:
        rank, order = self._rank_of(context.rank)
        return OwnerCall(
            call_id=context.call_id,
            service=context.service,
            rank=rank,
            rank_order=order,
            depth=context.depth,
            version=context.version,
            deadline_s=time.monotonic() + self._signer.time_left_s(context),
        )

    def _rank_of(self, name: str) -> tuple[Rank, int]:
        """Return a rank by name; one that is unknown here comes last."""
        table = self._board.table.read()
        ranks = table.policy.ranks if table else ()
        for order, rank in enumerate(ranks):
            if rank.name == name:
                return rank, order
        return Rank(name=name, target_s=60.0), len(ranks)


async def _cancel_when_gone(body: RequestBody, scope: anyio.CancelScope) -> None:
    await body.wait_gone()
    scope.cancel()
