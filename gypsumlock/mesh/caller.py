"""Carries the calls of clients, and of the upstream beside the node.

Phases of a call:
1. Classify: route, deadline and latency target, from the table in force. The call
   keeps that table.
2. Choose an upstream, and offer it the call. An owner that has no room in time
   refuses, which costs nothing; the next one is asked.
3. If nobody has room in time, offer the call once more for a late answer.
4. After a failure, send it again only where that is safe and the budget allows.
5. Answer. Statuses 503 and 404 say that the call has not run; 502 and 504 don't.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import msgspec

from gypsumlock.http_headers import Headers
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.call_classifier import Call, CallClassifier
from gypsumlock.mesh.directory import Directory
from gypsumlock.mesh.http_server import HttpHandler, HttpRequest, ServerConnection
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    CallRequest,
    ClientLimits,
    Failure,
    Refusal,
)
from gypsumlock.mesh.placement import CallShape, Placement, UpstreamView
from gypsumlock.mesh.retry_budget import RetryBudget
from gypsumlock.mesh.state import MeshState
from gypsumlock.metrics import Metrics
from gypsumlock.result_codes import ResultCode, get_code_entry

__all__ = ["Caller"]

log = get_logger(Component.ROUTE)

# Time told to a client that is refused for want of any upstream or configuration.
NO_UPSTREAM_RETRY_S = 0.3
# Spread of the time told to refused clients, as a share of it.
RETRY_SPREAD = 0.25
# Shortest time in which it is worth offering a call to an upstream.
MIN_LEFT_S = 0.01
# Time for the upstream's own answer at the deadline to arrive.
DEADLINE_SLACK_S = 0.06
# Owners asked for a punctual answer, and then for a late one.
PUNCTUAL_OFFERS = 4
LATE_OFFERS = 2
# Weight of the newest sample in the mean size of a route's calls.
SIZE_WEIGHT = 0.1
SERVER_ERROR = 500
# Age of a report of load from which it says nothing, in seconds.
MAX_LOGGED_AGE_S = 999.0


class Caller(HttpHandler):
    """Routes calls, and repeats them where that is safe.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    directory : Directory
        Upstreams and the ways to them.
    placement : Placement
        Compares upstreams.
    metrics : Metrics
        Counts what happened.
    chance : random.Random
        Source of the spread of return times.
    """

    __slots__ = (
        "_budgets",
        "_chance",
        "_classifier",
        "_directory",
        "_loop",
        "_metrics",
        "_placement",
        "_sizes",
        "_state",
    )

    def __init__(
        self,
        state: MeshState,
        directory: Directory,
        placement: Placement,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        self._state = state
        self._directory = directory
        self._placement = placement
        self._metrics = metrics
        self._chance = chance
        self._loop = asyncio.get_running_loop()
        self._classifier = CallClassifier(state)
        self._budgets: dict[str, RetryBudget] = {}
        # Mean size of request and answer by route, in bytes.
        self._sizes: dict[str, float] = {}

    def limits(self) -> ClientLimits:
        """Return the bounds on clients of the version in force."""
        table = self._state.table
        return table.config.limits if table else super().limits()

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Carry one call to its answer, or refuse it."""
        call = self._classifier.classify(request)
        if not isinstance(call, Call):
            retry_after_s = 0.0 if call is ResultCode.CALL_NO_ROUTE else 0.3
            self._answer_code(connection, request, call, retry_after_s)
            return
        try:
            async with asyncio.timeout_at(call.deadline_at_s + DEADLINE_SLACK_S):
                answer = await self._find_answer(call)
        except TimeoutError:
            self._finish(call, connection, ResultCode.CALL_DEADLINE)
            return
        except asyncio.CancelledError:
            self._note(call, "client left", 0)
            raise
        if answer is not None:
            self._pass_on(call, connection, answer)
        elif call.unknown:
            self._finish(call, connection, ResultCode.CALL_UNKNOWN_OUTCOME)
        else:
            self._finish(call, connection, call.refusal_code)

    # --- phases 2 to 4 ---

    async def _find_answer(self, call: Call) -> Answer | None:
        """Return an answer to pass on, or None."""
        budget = self._budget(call.service)
        budget.note_first(self._loop.time())
        while True:
            outcome = await self._offer_around(call)
            if isinstance(outcome, Answer) and outcome.status < SERVER_ERROR:
                return outcome
            if isinstance(outcome, Answer):
                call.spare = outcome
            if not self._may_repeat(call, outcome):
                return call.spare
            if not self._pay_repeat(call):
                return call.spare
            call.repeat_paid = False
            self._metrics.increment("retry")

    def _may_repeat(self, call: Call, outcome: CallOutcome | None) -> bool:
        if outcome is None:
            return False
        ran = not isinstance(outcome, Refusal)
        if ran and not call.route.repeatable:
            return False
        return self._has_another(call, call.sent_to)

    def _has_another(self, call: Call, tried: set[str]) -> bool:
        """Tell whether one more upstream may be sent a call."""
        if len(tried) >= call.route.max_attempts:
            return False
        return any(
            view.node not in tried and not view.avoided
            for view in self._directory.views(call.service)
        )

    def _pay_repeat(self, call: Call) -> bool:
        """Take a repeat from the budget, once for each repeat."""
        if call.repeat_paid:
            return True
        budget = self._budget(call.service)
        if not budget.take(self._loop.time(), self._directory.upstream_count):
            self._metrics.increment("retry.budget_empty")
            return False
        call.repeat_paid = True
        return True

    def _may_give_up(self, call: Call, silent: UpstreamView) -> bool:
        """Tell whether a call goes elsewhere rather than wait for a silent node.

        A call that can't be sent again would only be lost: its answer may still come.
        """
        if not call.route.repeatable:
            return False
        tried = call.sent_to | {silent.node}
        return self._has_another(call, tried) and self._pay_repeat(call)

    async def _offer_around(self, call: Call) -> CallOutcome | None:
        """Offer the call until an upstream was sent it; None if none took it."""
        for late_ok, offers in ((False, PUNCTUAL_OFFERS), (True, LATE_OFFERS)):
            if not late_ok and self._loop.time() >= call.target_at_s:
                continue
            for view in self._candidates(call)[:offers]:
                left_s = call.deadline_at_s - self._loop.time()
                if left_s < MIN_LEFT_S or self._state.ending:
                    return None
                outcome = await self._attempt(call, view, late_ok)
                if not isinstance(outcome, Refusal) or outcome.reached_upstream:
                    call.sent_to.add(view.node)
                    return outcome
                self._note_refusal(call, outcome)
                if not outcome.load.accepting:
                    call.closed.add(view.node)
        return None

    def _candidates(self, call: Call) -> Sequence[UpstreamView]:
        views = [
            view
            for view in self._directory.views(call.service)
            if view.node not in call.sent_to and view.node not in call.closed
        ]
        size_bytes = self._sizes.get(call.route.name, 0.0)
        shape = CallShape(call.route, size_bytes)
        return self._placement.rank(shape, views, self._loop.time())

    def _note_refusal(self, call: Call, outcome: Refusal) -> None:
        call.refusal_code = ResultCode(outcome.code)
        if outcome.retry_after_s > 0:
            known_s = call.retry_after_s or outcome.retry_after_s
            call.retry_after_s = min(known_s, outcome.retry_after_s)

    async def _attempt(
        self, call: Call, view: UpstreamView, late_ok: bool
    ) -> CallOutcome:
        now_s = self._loop.time()
        request = CallRequest(
            number=0,
            request_id=call.request_id,
            service=call.service,
            route=call.route.name,
            rank=call.route.rank,
            repeatable=call.route.repeatable,
            target_s=call.route.target_latency_s,
            late_ok=late_ok,
            answer_bytes=self._answer_bytes(call, view),
            target_left_s=call.target_at_s - now_s,
            deadline_left_s=call.deadline_at_s - now_s,
            method=call.request.method,
            target=call.request.target,
            headers=call.headers,
            body=call.request.body,
        )
        load_age_s = now_s - view.load_at_s
        in_flight = view.in_flight(now_s)
        view.outstanding += 1
        try:
            outcome = await self._directory.send(
                view, request, lambda: self._may_give_up(call, view)
            )
        finally:
            view.outstanding -= 1
        self._learn(call, view, outcome)
        log.info(
            "call offered",
            call=call.request_id.decode("latin-1"),
            upstream=view.node,
            zone=view.zone,
            load_age_s=round(min(load_age_s, MAX_LOGGED_AGE_S), 3),
            in_flight=round(in_flight, 1),
            late_ok=late_ok,
            target_left_s=round(request.target_left_s, 3),
            outcome=type(outcome).__name__.lower(),
            code=0 if isinstance(outcome, Answer) else outcome.code,
        )
        return outcome

    def _answer_bytes(self, call: Call, view: UpstreamView) -> int:
        """Return the expected size of what the owner's link has to carry."""
        if view.node == self._state.node:
            return 0
        return int(self._sizes.get(call.route.name, 0.0))

    def _learn(self, call: Call, view: UpstreamView, outcome: CallOutcome) -> None:
        now_s = self._loop.time()
        if outcome.lost_peer:
            if not view.avoided:
                log.warning("upstream can't be reached", node=view.node)
                view.eject(now_s)
        else:
            view.note_load(call.route.name, outcome.load, now_s)
        if isinstance(outcome, Failure):
            call.unknown = True
        elif isinstance(outcome, Refusal) and outcome.reached_upstream:
            self._note_refusal(call, outcome)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._state.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
            )
            self._budgets[service] = budget
        return budget

    # --- phase 5 ---

    def _pass_on(
        self, call: Call, connection: ServerConnection, answer: Answer
    ) -> None:
        name = call.route.name
        size = float(len(answer.body) + len(call.request.body))
        mean = self._sizes.get(name, size)
        self._sizes[name] = mean + SIZE_WEIGHT * (size - mean)
        connection.answer(answer.status, answer.headers, answer.body)
        self._note(call, "call answered", answer.status)

    def _finish(
        self, call: Call, connection: ServerConnection, code: ResultCode
    ) -> None:
        retry_after_s = call.retry_after_s or NO_UPSTREAM_RETRY_S
        # Clients that were refused together must not come back together.
        retry_after_s *= self._chance.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        self._answer_code(connection, call.request, code, retry_after_s)
        self._note(call, "call not answered", get_code_entry(code).http_status)

    def _answer_code(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        code: ResultCode,
        retry_after_s: float,
    ) -> None:
        entry = get_code_entry(code)
        headers: Headers = [(b"content-type", b"application/json")]
        request_id = request.header(self._state.headers.request_id)
        if request_id is not None:
            headers.append((self._state.headers.request_id, request_id))
        if entry.http_status == 503:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        body = msgspec.json.encode({"code": code.value, "name": code.name})
        self._metrics.increment(f"refused.{code.name.lower()}")
        connection.answer(entry.http_status, headers, body)

    def _note(self, call: Call, sentence: str, status: int) -> None:
        took_s = self._loop.time() - call.request.received_s
        self._metrics.record_latency(call.route.name, took_s)
        log.info(
            sentence,
            call=call.request_id.decode("latin-1"),
            route=call.route.name,
            rank=call.route.rank,
            version=call.version,
            service=call.service,
            upstreams=sorted(call.sent_to),
            status=status,
            took_ms=round(took_s * 1000, 1),
        )
