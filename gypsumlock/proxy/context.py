"""The signed context of a call: rank, deadline and depth, from node to node.

A *hop* context goes from the calling node to the node beside the upstream. A
*nested* context is handed to the upstream, which passes it on with the calls
that it makes itself. Both are signed with the fleet key, so that a client
can't raise its rank, nor an upstream extend its time.
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
    """What travels with a call."""

    kind: Literal["hop", "nested"]
    call_id: str
    rank: str
    # Time left when the context was issued, in seconds.
    remaining_s: float
    # Unix time of issue; read again only on the instance that issued it.
    issued_unix_s: float
    # Calls above this one.
    depth: int
    # Version by which the calling node classified the call.
    version: int
    # Service that a hop is meant for; empty in a nested context.
    service: str = ""


class ContextSigner:
    """Encodes and verifies contexts.

    Parameters
    ----------
    fleet_key : bytes
        Key that every node shares.
    wall : Callable[[], float]
        Clock, in Unix seconds.
    """

    __slots__ = ("_decoder", "_encoder", "_key", "_wall")

    def __init__(self, fleet_key: bytes, wall: Callable[[], float] = time.time) -> None:
        self._key = fleet_key
        self._wall = wall
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(CallContext)

    def sign(self, context: CallContext) -> bytes:
        """Return the header value of a context."""
        body = base64.urlsafe_b64encode(self._encoder.encode(context))
        return body + b"." + self._signature(body)

    def verify(self, value: bytes | None) -> CallContext | None:
        """Return the context of a header value, or None unless it is genuine."""
        if value is None:
            return None
        body, _, signature = value.partition(b".")
        if not hmac.compare_digest(signature, self._signature(body)):
            return None
        try:
            return self._decoder.decode(base64.urlsafe_b64decode(body))
        except (binascii.Error, msgspec.DecodeError, msgspec.ValidationError):
            return None

    def time_left_s(self, context: CallContext) -> float:
        """Return how much time a call has left, in seconds.

        A hop was issued on another instance, whose clock may differ; its own
        short way is not counted.
        """
        if context.kind == "hop":
            return context.remaining_s
        return context.issued_unix_s + context.remaining_s - self._wall()

    def _signature(self, body: bytes) -> bytes:
        return base64.urlsafe_b64encode(hmac.digest(self._key, body, "sha256"))
