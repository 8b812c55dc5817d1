"""Orders for roll-outs and their status, as rows of the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedRow
from gypsumlock.mesh.field_types import DECODE_ERRORS, Text
from gypsumlock.mesh.model import RolloutPhase
from gypsumlock.platform.names import (
    ORDER_TABLE,
    ROLLOUT_KEY_PREFIX,
    STATUS_TABLE,
)
from gypsumlock.rollout.rows import OrderRow, RolloutRows, StatusRow

__all__ = ["PlatformRolloutRows"]

log = get_logger(Component.ROLLOUT)

# Longest time that an order may allow, in seconds.
MAX_DURATION_S = 86_400
STATES = {
    "running": RolloutPhase.RUNNING,
    "completed": RolloutPhase.COMPLETED,
    "rolled_back": RolloutPhase.ROLLED_BACK,
}


class _Order(msgspec.Struct, frozen=True):
    service: Text
    # Version of the upstreams that replace the others.
    to: Annotated[str, Meta(min_length=1, max_length=200)]
    duration_s: Annotated[float, Meta(gt=0, le=MAX_DURATION_S)]


class _Status(msgspec.Struct, frozen=True):
    state: str
    to: Text


class PlatformRolloutRows(RolloutRows):
    """Tables, keys and formats on the platform."""

    order_table = ORDER_TABLE
    status_table = STATUS_TABLE

    def status_key(self, service: str) -> str:
        """Return the key of a service's status row."""
        return ROLLOUT_KEY_PREFIX + service

    def order_service(self, key: str) -> str | None:
        """Return the service whose order has a key, or None if it holds no order."""
        service = key.removeprefix(ROLLOUT_KEY_PREFIX)
        return service if service and service != key else None

    def decode_order(self, row: FeedRow) -> OrderRow | None:
        """Return the order in a row, or None if it holds no valid order."""
        try:
            order = msgspec.json.decode(row.value or b"", type=_Order)
        except DECODE_ERRORS as error:
            log.warning("order ignored", key=row.key, reason=str(error))
            return None
        if order.service != self.order_service(row.key):
            log.warning("order ignored", key=row.key, reason="of another service")
            return None
        return OrderRow(order.service, order.to, order.duration_s, row.version)

    def decode_status(self, row: FeedRow) -> StatusRow | None:
        """Return the status in a row, or None if it holds no valid status."""
        try:
            status = msgspec.json.decode(row.value or b"", type=_Status)
        except DECODE_ERRORS:
            return None
        phase = STATES.get(status.state)
        return StatusRow(status.to, phase, row.version) if phase else None

    def encode_status(self, phase: RolloutPhase, candidate: str) -> bytes:
        """Return the value of a status row."""
        state = next(name for name, value in STATES.items() if value is phase)
        return msgspec.json.encode(_Status(state, candidate))
