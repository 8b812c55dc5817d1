"""Dispatches the calls of clients, and of the local upstream, to upstreams.

The owner of an upstream is the node that runs beside it and admits its calls.

Phases of a call:
1. Classify: take the route, the deadline and the latency target from the route
   table in force. The call keeps using that table.
2. Choose an upstream, and offer the call to its owner. An owner without capacity to
   answer in time refuses, which costs nothing; the next owner is asked.
3. If no owner has capacity in time, offer the call once more for a late response.
4. After a failure, retry only where that is safe and the retry budget allows it.
5. Respond. Statuses 503 and 404 mean that the call was not executed; with 502 and
   504 it may have been.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.call_charger import CallCharger
from gypsumlock.mesh.call_classifier import Call, CallClassifier
from gypsumlock.mesh.call_offer import make_request
from gypsumlock.mesh.call_responder import CallResponder
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import HttpHandler, ServerConnection
from gypsumlock.mesh.key_revocation import KeyRevocation
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    ClientLimits,
    Failure,
    OwnerLoad,
    Refusal,
)
from gypsumlock.mesh.pacer import CHUNK_BYTES
from gypsumlock.mesh.placement import CallProfile, UpstreamSelector, UpstreamView
from gypsumlock.mesh.recent_table import RecentTable
from gypsumlock.mesh.retry_policy import RetryPolicy, is_success
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upload_time import UploadTime
from gypsumlock.metrics import Metrics
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.version_choice import merge_tiers, version_tiers

__all__ = ["CallDispatcher"]

log = get_logger(Component.ROUTE)

# Minimum time left to the deadline with which a call is offered to an upstream, in
# seconds.
MIN_TIME_LEFT_S = 0.01
# Time after the deadline in which a response that the upstream sends at the
# deadline can still arrive, in seconds.
DEADLINE_GRACE_S = 0.06
# Maximum number of owners asked for an on-time response, and then for a late one.
MAX_ON_TIME_OFFERS = 4
MAX_LATE_OFFERS = 2
# Weight of the newest sample in the moving average of a route's call size.
SIZE_EWMA_WEIGHT = 0.1
# Maximum logged age of a load report, in seconds. A report of that age carries no
# information.
MAX_LOGGED_AGE_S = 999.0


class CallDispatcher(HttpHandler):
    """Dispatches calls to upstreams, and retries them where that is safe.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Upstreams and the connections to them.
    selector : UpstreamSelector
        Ranks upstreams for a call.
    metrics : Metrics
        Counters and latencies of calls.
    rng : random.Random
        Source of the jitter of Retry-After.
    """

    __slots__ = (
        "_classifier",
        "_directory",
        "_loop",
        "_mean_call_bytes",
        "_metrics",
        "_responder",
        "_retries",
        "_revocation",
        "_selector",
        "_state",
        "_timeouts",
        "charger",
    )

    def __init__(
        self,
        state: MeshState,
        directory: UpstreamDirectory,
        selector: UpstreamSelector,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._directory = directory
        self._selector = selector
        self._metrics = metrics
        self._responder = CallResponder(state.header_names.request_id, metrics, rng)
        self._loop = asyncio.get_running_loop()
        self._classifier = CallClassifier(state)
        self._revocation = KeyRevocation(state, directory)
        self._retries = RetryPolicy(state, directory, metrics)
        # Mean total size of request and response by route, in bytes.
        self._mean_call_bytes: RecentTable[str, float] = RecentTable()
        # Of the calls in progress.
        self._timeouts: set[asyncio.Timeout] = set()
        # Charges the calls of organisations that have a quota; None if there are none.
        self.charger: CallCharger | None = None

    def limits(self) -> ClientLimits:
        """Return the client limits of the configuration version in force."""
        table = self._state.route_table
        return table.config.limits if table else super().limits()

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Dispatch one call and send its response, or refuse it."""
        call = self._classifier.classify(request)
        if not isinstance(call, Call):
            self._responder.refuse_request(connection, request, call)
            return
        timeout = asyncio.timeout_at(call.deadline_at_s + DEADLINE_GRACE_S)
        self._timeouts.add(timeout)
        withdrawal = self._loop.call_at(
            call.deadline_at_s - MIN_TIME_LEFT_S, self._withdraw, call
        )
        try:
            async with timeout:
                answer = await self._charge_and_run(call)
        except TimeoutError:
            if call.may_have_run:
                self._responder.fail_call(call, connection, ResultCode.CALL_DEADLINE)
            else:
                self._refuse(call, connection)
            return
        except asyncio.CancelledError:
            self._responder.record_call(call, "client disconnected", 0)
            raise
        finally:
            withdrawal.cancel()
            self._timeouts.discard(timeout)
        if answer is not None:
            self._forward(call, connection, answer)
        elif call.outcome_unknown:
            self._responder.fail_call(call, connection, ResultCode.CALL_UNKNOWN_OUTCOME)
        else:
            self._refuse(call, connection)

    def _refuse(self, call: Call, connection: ServerConnection) -> None:
        """Refuse a call that was not executed, and refund its charge."""
        if self.charger is not None:
            self.charger.refund(call)
        code = self._revocation.refusal_code(call)
        self._responder.fail_call(call, connection, code)

    async def _charge_and_run(self, call: Call) -> Answer | None:
        """Return the response to forward; None also if the call is over its quota."""
        charger = self.charger
        if (
            charger is not None
            and charger.has_quota(call)
            and not await charger.charge(call)
        ):
            return None
        return await self._run_with_retries(call)

    def _withdraw(self, call: Call) -> None:
        """Ask the owner to refuse a call that is still queued at its deadline."""
        if call.pending_attempt is not None:
            self._directory.withdraw(call.pending_attempt)

    def limit_deadlines(self) -> None:
        """Move the deadlines of all calls before the end of a stopping process.

        Their clients would otherwise see a closed connection in place of an answer.
        """
        latest_s = self._state.ends_at_s + DEADLINE_GRACE_S
        for timeout in self._timeouts:
            deadline_at_s = timeout.when()
            if deadline_at_s is not None and deadline_at_s > latest_s:
                timeout.reschedule(latest_s)

    # --- phases 2 to 4 ---

    async def _run_with_retries(self, call: Call) -> Answer | None:
        """Return the response to forward, or None if there is none."""
        while True:
            is_retry = bool(call.sent_to)
            outcome = await self._offer_to_upstreams(call)
            if is_retry and outcome is not None:
                self._retries.record_result(call, outcome)
            if isinstance(outcome, Answer) and is_success(outcome):
                return outcome
            if isinstance(outcome, Answer):
                call.fallback_answer = outcome
            if not self._retries.may_retry(call, outcome):
                return call.fallback_answer
            if not self._retries.charge(call):
                return call.fallback_answer
            call.retry_charged = False
            self._metrics.increment("retry")

    async def _offer_to_upstreams(self, call: Call) -> CallOutcome | None:
        """Offer the call to owners until one takes it; return None if none does."""
        for late_ok, max_offers in (
            (False, MAX_ON_TIME_OFFERS),
            (True, MAX_LATE_OFFERS),
        ):
            if not late_ok and self._loop.time() >= call.target_at_s:
                continue
            for view in self._ranked_candidates(call)[:max_offers]:
                left_s = call.deadline_at_s - self._loop.time()
                if left_s <= MIN_TIME_LEFT_S or self._state.dispatch_stopped:
                    return None
                if not self._revocation.may_send(call):
                    return None
                upload = self._upload_time(call, view)
                if upload is not None and upload.is_refused(left_s):
                    code = ResultCode.CALL_OVERLOADED
                    refusal = Refusal(0, code, upload.total_s, False, OwnerLoad())
                    self._record_refusal(call, refusal)
                    continue
                transfer_s = upload.deduction_s(left_s) if upload is not None else 0.0
                outcome = await self._attempt(call, view, late_ok, transfer_s)
                if not isinstance(outcome, Refusal) or outcome.rejected_by_upstream:
                    self._record_sent(call, view)
                    in_time = self._loop.time() <= call.target_at_s
                    self._selector.record_offer(call.service, view, in_time)
                    return outcome
                self._record_refusal(call, outcome)
                if not late_ok:
                    self._selector.record_offer(call.service, view, in_time=False)
                if not outcome.load.accepting:
                    call.not_accepting.add(view.node)
        return None

    def _record_sent(self, call: Call, view: UpstreamView) -> None:
        """Record that a call was sent to an upstream, or may have been."""
        if not call.sent_to:
            self._retries.record_first_attempt(call)
        call.sent_to.add(view.node)

    def _ranked_candidates(self, call: Call) -> Sequence[UpstreamView]:
        views = [
            view
            for view in self._directory.views(call.service)
            if view.node not in call.sent_to and view.node not in call.not_accepting
        ]
        size_bytes = self._mean_call_bytes.get(call.route.name, 0.0)
        profile = CallProfile(call.route, size_bytes, call.rank, call.service)
        now_s = self._loop.time()
        tiers = version_tiers(self._state.versions, call, views)
        order_by_cost = self._selector.order_by_cost
        return merge_tiers([order_by_cost(profile, tier, now_s) for tier in tiers])

    def _record_refusal(self, call: Call, outcome: Refusal) -> None:
        call.refusal_code = ResultCode(outcome.code)
        if outcome.retry_after_s > 0:
            current_s = call.retry_after_s or outcome.retry_after_s
            call.retry_after_s = min(current_s, outcome.retry_after_s)
            call.last_retry_after_s = max(
                call.last_retry_after_s, outcome.retry_after_s
            )

    async def _attempt(
        self, call: Call, view: UpstreamView, late_ok: bool, transfer_s: float
    ) -> CallOutcome:
        now_s = self._loop.time()
        response_bytes = self._expected_transfer_bytes(call, view)
        request = make_request(call, late_ok, response_bytes, transfer_s, now_s)
        call.offered = True
        load_age_s = now_s - view.load_at_s
        in_flight = view.in_flight(now_s)
        attempt = Attempt(view.node, request)
        call.pending_attempt = attempt
        view.outstanding += 1
        self._revocation.begin(call, attempt)
        try:
            outcome = await self._directory.send(
                view, attempt, lambda: self._retries.may_fail_over(call, view.node)
            )
        finally:
            view.outstanding -= 1
            self._revocation.end(attempt)
        call.pending_attempt = None
        if isinstance(outcome, Failure):
            call.lost_attempts.append(attempt)
        self._record_outcome(call, view, outcome)
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

    def _upload_time(self, call: Call, view: UpstreamView) -> UploadTime | None:
        """Return the time of a large body on the way to an owner; None for others."""
        body_bytes = len(call.request.body)
        if view.node == self._state.node or body_bytes <= CHUNK_BYTES:
            return None
        queue_s = self._state.pacer.egress_delay_s()
        own_s = self._state.link_meter.transmission_s(body_bytes)
        return UploadTime(body_bytes, queue_s, own_s, view.link_mbps)

    def _expected_transfer_bytes(self, call: Call, view: UpstreamView) -> int:
        """Return the number of bytes that the owner's link is expected to carry."""
        if view.node == self._state.node:
            return 0
        return int(self._mean_call_bytes.get(call.route.name, 0.0))

    def _record_outcome(
        self, call: Call, view: UpstreamView, outcome: CallOutcome
    ) -> None:
        now_s = self._loop.time()
        if outcome.peer_lost:
            if not view.ejected:
                log.warning("upstream unreachable", node=view.node)
                view.eject(now_s)
        else:
            view.record_load(call.route.name, outcome.load, now_s)
        if isinstance(outcome, Refusal) and outcome.rejected_by_upstream:
            self._record_refusal(call, outcome)

    # --- phase 5 ---

    def _forward(
        self, call: Call, connection: ServerConnection, answer: Answer
    ) -> None:
        name = call.route.name
        call_bytes = float(len(answer.body) + len(call.request.body))
        mean_bytes = self._mean_call_bytes.get(name, call_bytes)
        self._mean_call_bytes[name] = mean_bytes + SIZE_EWMA_WEIGHT * (
            call_bytes - mean_bytes
        )
        connection.send_response(answer.status, answer.headers, answer.body)
        self._responder.record_call(call, "call answered", answer.status)
