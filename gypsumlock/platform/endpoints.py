"""HTTP endpoints of a node: readiness, metrics, heartbeats and deregistrations.

Heartbeats and deregistrations come from the local upstream, which runs on the same
machine as the node.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.field_types import (
    DECODE_ERRORS,
    Number,
    Slots,
    Text,
    TimeLeft,
    TimestampMs,
    is_identifier,
)
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import HttpHandler, ServerConnection
from gypsumlock.mesh.model import ClientLimits
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_registry import Departure, Heartbeat
from gypsumlock.metrics import Metrics
from gypsumlock.platform.names import (
    DEREGISTER_PATH_PREFIX,
    HEARTBEAT_PATH_PREFIX,
    METRICS_PATH,
    READY_PATH,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "HeartbeatHandler",
    "ReadinessHandler",
    "decode_deregistration",
    "decode_heartbeat",
]

log = get_logger(Component.UPSTREAM)

_BodyT = TypeVar("_BodyT")

# Longest wait for the store to hold a departure before it is acknowledged, in seconds.
# Upstreams wait a second for the acknowledgement, and send it again without one.
DEPARTURE_ACK_TIMEOUT_S = 0.8
# Limits on requests to these endpoints, whose bodies are small.
ENDPOINT_LIMITS = ClientLimits(16_384, 65_536, 5.0, 60.0)
STATE_READY = "ready"
STATE_DRAINING = "draining"
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503


class _InstanceInfo(msgspec.Struct, frozen=True):
    service: Text
    slots: Slots
    zone: Text = ""
    # Version of the upstream's software.
    version: Text = ""


class _InstanceStatus(msgspec.Struct, frozen=True):
    state: str
    # Increases with each heartbeat of one run of the upstream process.
    sequence: Number
    # Remaining warm-up time of the upstream, in seconds.
    cold_left_s: TimeLeft = 0.0


class _HeartbeatBody(msgspec.Struct, frozen=True):
    address: Text
    info: _InstanceInfo
    status: _InstanceStatus
    # Start time of the upstream process in milliseconds since the Unix epoch; 0 if not
    # reported.
    born: TimestampMs = 0


class _DeregisterBody(msgspec.Struct, frozen=True):
    born: TimestampMs = 0


class ReadinessHandler(HttpHandler):
    """Serves the readiness probe and the metrics of the node.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    metrics : Metrics
        Counters and histograms since the start of the node.
    """

    __slots__ = ("_metrics", "_state")

    def __init__(self, state: MeshState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics

    def limits(self) -> ClientLimits:
        """Return the limits of the endpoints, which no configuration sets."""
        return ENDPOINT_LIMITS

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Respond to a readiness probe or a metrics request."""
        if request.target.startswith(READY_PATH):
            connection.send_response(200 if self._state.ready() else 503, [], b"")
        elif request.target == METRICS_PATH:
            headers = [(b"content-type", b"application/json")]
            report = msgspec.json.encode(self._metrics.report())
            connection.send_response(200, headers, report)
        else:
            connection.send_response(404, [], b"")


class HeartbeatHandler(HttpHandler):
    """Receives heartbeats and deregistrations from the local upstream.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    on_change : Callable[[], None]
        Called after a message that changed the recorded state of the upstream.
    """

    __slots__ = ("_on_change", "_state")

    def __init__(self, state: MeshState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def limits(self) -> ClientLimits:
        """Return the limits of the endpoints, which no configuration sets."""
        return ENDPOINT_LIMITS

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Process a heartbeat or a deregistration and send the response."""
        target = request.target.partition(b"?")[0]
        if target.startswith(HEARTBEAT_PATH_PREFIX):
            instance = target.removeprefix(HEARTBEAT_PATH_PREFIX).decode("latin-1")
            status = self._process_heartbeat(instance, request.body)
            if status == STATUS_OK:
                status = await self._await_departure(instance)
        elif target.startswith(DEREGISTER_PATH_PREFIX):
            instance = target.removeprefix(DEREGISTER_PATH_PREFIX).decode("latin-1")
            status = self._process_deregistration(instance, request.body)
            if status == STATUS_OK:
                status = await self._await_departure(instance)
        else:
            status = 404
        headers = [(b"content-type", b"application/json")]
        connection.send_response(status, headers, b"{}")

    async def _await_departure(self, instance: str) -> int:
        """Return 503 if an instance is leaving and the store does not hold it yet."""
        departure = self._state.registry.departure_of(instance)
        if departure is None:
            return STATUS_OK
        published = self._state.published
        if await published.wait_for_departure(departure, DEPARTURE_ACK_TIMEOUT_S):
            return STATUS_OK
        log.warning("departure not acknowledged yet", instance=instance)
        return STATUS_UNAVAILABLE

    def _process_heartbeat(self, instance: str, body: bytes) -> int:
        decoded = decode_heartbeat(instance, body)
        if isinstance(decoded, Err):
            log.warning("invalid heartbeat rejected", reason=decoded.err_value.text())
            return STATUS_BAD_REQUEST
        heartbeat = decoded.ok_value
        if self._state.bounds.rollout is None:
            # Without roll-outs, nothing about versions is published.
            heartbeat = replace(heartbeat, version="")
        if not self._state.is_known_service(heartbeat.service):
            reason = f"unknown service {heartbeat.service!r}"
            log.warning("invalid heartbeat rejected", reason=reason)
            return STATUS_BAD_REQUEST
        if self._state.registry.observe(heartbeat):
            log.info(
                "upstream state changed",
                instance=instance,
                service=heartbeat.service,
                slots=heartbeat.slots,
                leaving=heartbeat.leaving,
                born_ms=heartbeat.born_ms,
                sequence=heartbeat.sequence,
                version=heartbeat.version,
            )
            self._on_change()
        registry = self._state.registry
        if heartbeat.leaving and registry.departure_of(instance) is None:
            # Taken for a late one of an earlier start, as after a step of the clock.
            log.warning("departure not applied", instance=instance)
            return STATUS_UNAVAILABLE
        return STATUS_OK

    def _process_deregistration(self, instance: str, body: bytes) -> int:
        decoded = decode_deregistration(instance, body)
        if isinstance(decoded, Err):
            reason = decoded.err_value.text()
            log.warning("invalid deregistration rejected", reason=reason)
            return STATUS_BAD_REQUEST
        departure = decoded.ok_value
        if self._state.registry.record_departure(departure):
            log.info(
                "upstream deregistered", instance=instance, born_ms=departure.born_ms
            )
            self._on_change()
        return STATUS_OK


def decode_heartbeat(instance: str, body: bytes) -> Result[Heartbeat, Fault]:
    """Decode the body of a heartbeat.

    Parameters
    ----------
    instance : str
        Identifier of the upstream instance, from the request target.
    body : bytes
        JSON body of the request.

    Returns
    -------
    Result[Heartbeat, Fault]
        The heartbeat, or `PLATFORM_BAD_MESSAGE`.
    """
    decoded = _decode_body(instance, body, _HeartbeatBody)
    if isinstance(decoded, Err):
        return decoded
    heartbeat = decoded.ok_value
    if heartbeat.status.state not in (STATE_READY, STATE_DRAINING):
        detail = f"unknown state {heartbeat.status.state!r}"
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, detail))
    return Ok(
        Heartbeat(
            instance=instance,
            address=heartbeat.address,
            service=heartbeat.info.service,
            zone=heartbeat.info.zone,
            slots=heartbeat.info.slots,
            leaving=heartbeat.status.state == STATE_DRAINING,
            sequence=heartbeat.status.sequence,
            cold_left_s=heartbeat.status.cold_left_s,
            born_ms=heartbeat.born,
            version=heartbeat.info.version,
        )
    )


def decode_deregistration(instance: str, body: bytes) -> Result[Departure, Fault]:
    """Decode the body of a deregistration; an empty one tells no start.

    Parameters
    ----------
    instance : str
        Identifier of the upstream instance, from the request target.
    body : bytes
        JSON body of the request.

    Returns
    -------
    Result[Departure, Fault]
        The departure, or `PLATFORM_BAD_MESSAGE`.
    """
    decoded = _decode_body(instance, body or b"{}", _DeregisterBody)
    return decoded.map(lambda message: Departure(instance, message.born))


def _decode_body(
    instance: str, body: bytes, body_type: type[_BodyT]
) -> Result[_BodyT, Fault]:
    """Decode what an upstream reports of itself, and check its identifier."""
    if not is_identifier(instance):
        detail = f"invalid instance {instance[:40]!r}"
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, detail))
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    except DECODE_ERRORS as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, str(error)))
