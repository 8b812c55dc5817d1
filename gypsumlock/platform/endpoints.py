"""The endpoints that the platform calls at a node: readiness and heartbeats."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.http_server import HttpHandler, HttpRequest, ServerConnection
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_registry import Departure, Heartbeat
from gypsumlock.metrics import Metrics
from gypsumlock.platform.names import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    METRICS_PATH,
    READY_PATH,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["HeartbeatHandler", "ReadinessHandler", "decode_heartbeat"]

log = get_logger(Component.UPSTREAM)

STATE_READY = "ready"
STATE_DRAINING = "draining"


class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: int
    zone: str = ""


class _Status(msgspec.Struct, frozen=True):
    state: str
    # Increases with each report of one start of the upstream.
    sequence: int
    cold_left_s: float = 0.0


class _Beat(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the upstream's start.
    born: int = 0


class _Leave(msgspec.Struct, frozen=True):
    born: int = 0


class ReadinessHandler(HttpHandler):
    """Tells whether clients may be sent here, and what the node has counted.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    metrics : Metrics
        Counters and histograms since the start.
    """

    __slots__ = ("_metrics", "_state")

    def __init__(self, state: MeshState, metrics: Metrics) -> None:
        self._state = state
        self._metrics = metrics

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Answer a question for readiness or for metrics."""
        if request.target.startswith(READY_PATH):
            connection.answer(200 if self._state.ready() else 503, [], b"")
        elif request.target == METRICS_PATH:
            headers = [(b"content-type", b"application/json")]
            report = msgspec.json.encode(self._metrics.report())
            connection.answer(200, headers, report)
        else:
            connection.answer(404, [], b"")


class HeartbeatHandler(HttpHandler):
    """Takes the reports of the upstream beside the node.

    Parameters
    ----------
    state : MeshState
        The node's blackboard.
    changed : Callable[[], None]
        Called when a report changed what is believed of the upstream.
    """

    __slots__ = ("_changed", "_state")

    def __init__(self, state: MeshState, changed: Callable[[], None]) -> None:
        self._state = state
        self._changed = changed

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Take a report in and acknowledge it."""
        target = request.target.partition(b"?")[0]
        if target.startswith(HEARTBEAT_PATH):
            instance = target.removeprefix(HEARTBEAT_PATH).decode("latin-1")
            status = self._take_beat(instance, request.body)
        elif target.startswith(DEREGISTER_PATH):
            instance = target.removeprefix(DEREGISTER_PATH).decode("latin-1")
            status = self._take_departure(instance, request.body)
        else:
            status = 404
        headers = [(b"content-type", b"application/json")]
        connection.answer(status, headers, b"{}")

    def _take_beat(self, instance: str, body: bytes) -> int:
        decoded = decode_heartbeat(instance, body)
        if isinstance(decoded, Err):
            log.warning("heartbeat ignored", reason=decoded.err_value.text())
            return 400
        beat = decoded.ok_value
        if self._state.registry.observe(beat):
            log.info(
                "upstream reported",
                instance=instance,
                service=beat.service,
                slots=beat.slots,
                leaving=beat.leaving,
                born_ms=beat.born_ms,
                sequence=beat.sequence,
            )
            self._changed()
        return 200

    def _take_departure(self, instance: str, body: bytes) -> int:
        born_ms = 0
        if body:
            try:
                born_ms = msgspec.json.decode(body, type=_Leave).born
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                log.warning("body of a departure ignored", reason=str(error))
        if self._state.registry.depart(Departure(instance, born_ms)):
            log.info("upstream departs", instance=instance, born_ms=born_ms)
            self._changed()
        return 200


def decode_heartbeat(instance: str, body: bytes) -> Result[Heartbeat, Fault]:
    """Decode a report, or refuse it with `PLATFORM_BAD_MESSAGE`."""
    try:
        beat = msgspec.json.decode(body, type=_Beat)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, str(error)))
    if beat.status.state not in (STATE_READY, STATE_DRAINING):
        found = f"found state {beat.status.state!r}"
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, found))
    return Ok(
        Heartbeat(
            instance=instance,
            address=beat.address,
            service=beat.info.service,
            zone=beat.info.zone,
            slots=beat.info.slots,
            leaving=beat.status.state == STATE_DRAINING,
            sequence=beat.status.sequence,
            cold_left_s=beat.status.cold_left_s,
            born_ms=beat.born,
        )
    )
