"""Signed context of a call: its rank, deadline and depth.

A *hop* context goes from the node that routes the call to the owner node, which
runs on the same instance as the upstream. A *nested* context goes to the
upstream, which attaches it to the calls that it makes itself. Both are signed
with the fleet key, which all nodes share, so that a client can't raise its rank
and an upstream can't extend its deadline.
"""

from __future__ import annotations

import base64
import binascii
import hmac
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

import msgspec

__all__ = ["CallContext", "ContextSigner"]


@dataclass(frozen=True, slots=True)
class CallContext:
    """Properties of a call that nodes and upstreams pass on, in the context header."""

    kind: Literal["hop", "nested"]
    call_id: str
    rank: str
    # Time left until the deadline when the context was issued, in seconds.
    remaining_s: float
    # Unix time of issue; used only on the instance that issued the context.
    issued_unix_s: float
    # Depth of the call that the context was issued for; 1 for a client's call.
    depth: int
    # Configuration version that the routing node used to classify the call.
    version: int
    # Target service of a hop; empty in a nested context.
    service: str = ""


class ContextSigner:
    """Signs and verifies call contexts.

    Parameters
    ----------
    fleet_key : bytes
        Secret that all nodes share.
    wall_clock : Callable[[], float]
        Wall clock, in Unix seconds.
    """

    __slots__ = ("_decoder", "_encoder", "_key", "_wall_clock")

    def __init__(
        self, fleet_key: bytes, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._key = fleet_key
        self._wall_clock = wall_clock
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(CallContext)

    def sign(self, context: CallContext) -> bytes:
        """Return the signed header value of a context."""
        payload = base64.urlsafe_b64encode(self._encoder.encode(context))
        return payload + b"." + self._signature(payload)

    def verify(self, value: bytes | None) -> CallContext | None:
        """Return the context in a header value, or None if it is missing or invalid."""
        if value is None:
            return None
        payload, _, signature = value.partition(b".")
        if not hmac.compare_digest(signature, self._signature(payload)):
            return None
        try:
            return self._decoder.decode(base64.urlsafe_b64decode(payload))
        except (binascii.Error, msgspec.DecodeError, msgspec.ValidationError):
            return None

    def time_left_s(self, context: CallContext) -> float:
        """Return the time left until the deadline of a call, in seconds.

        A hop context was issued on another instance, whose clock may differ, so
        its time of issue is ignored and its short transit time is not deducted.
        """
        if context.kind == "hop":
            return context.remaining_s
        return context.issued_unix_s + context.remaining_s - self._wall_clock()

    def _signature(self, payload: bytes) -> bytes:
        return base64.urlsafe_b64encode(hmac.digest(self._key, payload, "sha256"))
