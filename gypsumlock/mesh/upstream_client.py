"""Sends admitted calls to the local upstream, and determines what became of them.

Invariant: a call is reported as refused only if no byte of it was sent, or the upstream
itself reported that it did not execute the call.
"""

from __future__ import annotations

import asyncio
import math

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.http_text import encode_request, forwardable_headers
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
)
from gypsumlock.mesh.response_kind import ResponseKind, classify_response
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_connection import UpstreamConnection
from gypsumlock.mesh.upstream_pool import CONNECT_TIMEOUT_S, UpstreamPool
from gypsumlock.mesh.upstream_response import (
    ConnectFailed,
    ExchangeFailed,
    UpstreamResponse,
)
from gypsumlock.result_codes import ResultCode

__all__ = ["UpstreamClient"]

log = get_logger(Component.ADMIT)

# Time in seconds for which no call is sent to an upstream that refused a connection, or
# rejected a call as meant for another instance.
UPSTREAM_BACKOFF_S = 0.3
# Weight of the newest call in the moving average of failed calls.
FAILURE_EWMA_WEIGHT = 0.05
# Time after its deadline for which a call holds its slot while its response is awaited,
# in seconds. The upstream stops work at the deadline, so nothing is lost after that.
OVERDUE_RESPONSE_S = 0.5
SERVER_ERROR = 500


class UpstreamClient:
    """Client of the local upstream.

    The loads in the outcomes are empty; the owner, which knows them, fills them in.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    """

    __slots__ = ("_backoff_until_s", "_loop", "_pool", "_state", "failure_share")

    def __init__(self, state: MeshState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._pool = UpstreamPool(
            state.addresses.upstream,
            state.header_names.request_id,
            state.memory.responses,
        )
        self._backoff_until_s = float("-inf")
        # Share of recent calls that the upstream failed or rejected.
        self.failure_share = 0.0

    def is_backing_off(self) -> bool:
        """Return whether the upstream gets no calls for a moment."""
        return self._loop.time() < self._backoff_until_s

    def end_backoff(self) -> None:
        """Send calls again at once, since the upstream has changed."""
        self._backoff_until_s = float("-inf")

    async def send(
        self,
        request: CallRequest,
        deadline_at_s: float,
        max_wait_s: float = math.inf,
    ) -> CallOutcome:
        """Send a call that holds a slot, and return its outcome.

        Parameters
        ----------
        request : CallRequest
            The call.
        deadline_at_s : float
            Monotonic time of its deadline, in seconds.
        max_wait_s : float
            Time after which the response is no longer awaited, in seconds.
        """
        incarnation = self._state.registry.current
        if incarnation is None or incarnation.leaving:
            return _refusal(ResultCode.CALL_LEAVING)
        try:
            connection = await self._acquire_connection(request, deadline_at_s)
        except ConnectFailed as error:
            if self._loop.time() >= deadline_at_s:
                # The time of this call ended, which says nothing about the upstream.
                return _refusal(ResultCode.CALL_OVERLOADED)
            return self._record_connect_failure(request, str(error))
        left_s = deadline_at_s - self._loop.time()
        incarnation = self._state.registry.current
        if incarnation is None or incarnation.leaving:
            self._pool.release(connection)
            return _refusal(ResultCode.CALL_LEAVING)
        if left_s <= 0:
            self._pool.release(connection)
            return _refusal(ResultCode.CALL_OVERLOADED)
        data = encode_request(
            request, self._state.header_names, incarnation.instance, left_s
        )
        try:
            async with asyncio.timeout(min(max_wait_s, left_s + OVERDUE_RESPONSE_S)):
                response = await connection.exchange(
                    request.method, request.request_id, data
                )
        except ConnectFailed as error:
            return self._record_connect_failure(request, str(error))
        except ExchangeFailed as error:
            return self._record_lost_response(request, str(error))
        except TimeoutError:
            return self._record_lost_response(request, "no response in time")
        finally:
            self._release_connection(request, connection)
        return self._make_outcome(request, response)

    async def _acquire_connection(
        self, request: CallRequest, deadline_at_s: float
    ) -> UpstreamConnection:
        """Return a connection for a call.

        A call without an identifier gets one of its own, as nothing would tell a late
        response to an earlier call from its response.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, deadline_at_s - self._loop.time())
        if not request.request_id:
            return await self._pool.open(timeout_s)
        return await self._pool.acquire(request.repeatable, timeout_s)

    def _release_connection(
        self, request: CallRequest, connection: UpstreamConnection
    ) -> None:
        if not request.request_id:
            connection.close()
        self._pool.release(connection)

    def _make_outcome(
        self, request: CallRequest, response: UpstreamResponse
    ) -> CallOutcome:
        """Return the outcome of a call with a complete response."""
        kind = classify_response(response, self._state.header_names)
        if kind is ResponseKind.FOREIGN:
            return self._record_lost_response(request, "unsigned or encoded response")
        if kind is ResponseKind.ANSWER:
            self._record_result(failed=response.status >= SERVER_ERROR)
            headers = forwardable_headers(response.headers)
            return Answer(0, response.status, headers, response.body, OwnerLoad())
        self._record_result(failed=True)
        if kind is ResponseKind.MISDIRECTED:
            self._backoff_until_s = self._loop.time() + UPSTREAM_BACKOFF_S
        return _refusal(ResultCode.CALL_UPSTREAM_REJECTED, rejected_by_upstream=True)

    def _record_lost_response(self, request: CallRequest, reason: str) -> Failure:
        self._record_result(failed=True)
        incarnation = self._state.registry.current
        log.warning(
            "no usable response from the upstream",
            call=request.request_id.decode("latin-1"),
            instance=incarnation.instance if incarnation else "",
            reason=reason,
        )
        return Failure(0, ResultCode.CALL_UNKNOWN_OUTCOME, OwnerLoad())

    def _record_connect_failure(self, request: CallRequest, reason: str) -> Refusal:
        self._backoff_until_s = self._loop.time() + UPSTREAM_BACKOFF_S
        self._record_result(failed=True)
        log.warning(
            "connection to the upstream failed",
            call=request.request_id.decode("latin-1"),
            reason=reason,
        )
        return _refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)

    def _record_result(self, failed: bool) -> None:
        self.failure_share += FAILURE_EWMA_WEIGHT * (failed - self.failure_share)


def _refusal(code: ResultCode, rejected_by_upstream: bool = False) -> Refusal:
    """Return the refusal of a call that the upstream has not executed."""
    return Refusal(0, code, 0.0, rejected_by_upstream, OwnerLoad())
