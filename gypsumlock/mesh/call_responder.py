"""Tells clients that their calls failed or were refused, and records how calls end."""

from __future__ import annotations

import asyncio
import random

import msgspec

from gypsumlock.http_headers import Headers
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.call_classifier import Call
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import ServerConnection
from gypsumlock.mesh.return_time import choose_return_s
from gypsumlock.metrics import Metrics
from gypsumlock.result_codes import ResultCode, get_code_entry

__all__ = ["CallResponder"]

log = get_logger(Component.ROUTE)

# Retry-After in seconds when no owner gave an estimate: no upstream or no
# configuration is available.
DEFAULT_RETRY_AFTER_S = 0.3
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


class CallResponder:
    """Sends the node's own responses.

    Parameters
    ----------
    id_header : bytes
        Name of the header with the request identifier.
    metrics : Metrics
        Counters and latencies of calls.
    rng : random.Random
        Source of the jitter of Retry-After.
    """

    __slots__ = ("_id_header", "_loop", "_metrics", "_rng")

    def __init__(self, id_header: bytes, metrics: Metrics, rng: random.Random) -> None:
        self._id_header = id_header
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def refuse_request(
        self, connection: ServerConnection, request: HttpRequest, code: ResultCode
    ) -> None:
        """Refuse a request that could not be classified."""
        self._send_error(connection, request, code, DEFAULT_RETRY_AFTER_S)

    def fail_call(
        self, call: Call, connection: ServerConnection, code: ResultCode
    ) -> None:
        """Tell the client why its call was not answered, and when to return."""
        retry_after_s = choose_return_s(
            call.retry_after_s or DEFAULT_RETRY_AFTER_S,
            call.last_retry_after_s,
            self._rng,
            # A client that is over its quota has none left before the time.
            may_be_earlier=code is not ResultCode.CALL_OVER_QUOTA,
        )
        self._send_error(connection, call.request, code, retry_after_s)
        self.record_call(call, "call not answered", get_code_entry(code).http_status)

    def record_call(self, call: Call, message: str, status: int) -> None:
        """Record the end of a call in the log and in the metrics.

        Parameters
        ----------
        call : Call
            The call.
        message : str
            Message of the log line.
        status : int
            Status of the response; 0 if none was sent.
        """
        took_s = self._loop.time() - call.request.received_s
        self._metrics.record_latency(call.route.name, took_s)
        organisation = call.organisation
        named = {} if organisation is None else {"organisation": organisation.name}
        log.info(
            message,
            call=call.request_id.decode("latin-1"),
            route=call.route.name,
            rank=call.rank,
            version=call.version,
            service=call.service,
            upstreams=sorted(call.sent_to),
            status=status,
            took_ms=round(took_s * 1000, 1),
            **named,
        )

    def _send_error(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        code: ResultCode,
        retry_after_s: float,
    ) -> None:
        entry = get_code_entry(code)
        headers: Headers = [(b"content-type", b"application/json")]
        request_id = request.header(self._id_header)
        if request_id is not None:
            headers.append((self._id_header, request_id))
        if entry.http_status == SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        elif entry.http_status == TOO_MANY_REQUESTS:
            # Of many calls over a quota, no two may be told the same time.
            headers.append((b"retry-after", b"%.6f" % retry_after_s))
        elif entry.http_status == UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Bearer"))
        body = msgspec.json.encode({"code": code.value, "name": code.name})
        self._metrics.increment(f"refused.{code.name.lower()}")
        connection.send_response(entry.http_status, headers, body)
