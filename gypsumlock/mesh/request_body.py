"""Request bodies that follow the head of a call once its owner has accepted it.

Designed for uploads on links of a few megabits per second, where an owner that refuses
a call after it has received its body has wasted the link for as long as an answer may
take. Phases:
1. The caller's node sends the head alone, with the size of the body.
2. The owner refuses the call, or accepts it and requests the body.
3. The caller's node sends the body in chunks, as fast as its link transmits them.

Invariant: a call runs only with its complete body, so one whose body was not sent
completely has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import msgspec

from gypsumlock.mesh.field_types import Number
from gypsumlock.mesh.model import CallRequest
from gypsumlock.mesh.pacer import Pacer, split_into_chunks

__all__ = [
    "MIN_SEPARATE_BODY_BYTES",
    "BodyChunk",
    "BodyReceiver",
    "BodyRequest",
    "IncomingBody",
    "OutgoingBody",
    "split_off_body",
]

# Waits for the body of a call and sets it in the request.
BodyReceiver = Callable[[], Coroutine[None, None, None]]

# Bodies of at least this size are sent separately. A smaller one costs less than the
# round trip that it would have to wait for.
MIN_SEPARATE_BODY_BYTES = 16_384


class BodyRequest(msgspec.Struct, array_like=True, tag=21):
    """Requests the body of a call that the owner has accepted."""

    number: Number


class BodyChunk(msgspec.Struct, array_like=True, tag=22):
    """Chunk of the body of a call."""

    number: Number
    body: bytes


class OutgoingBody:
    """A body that the caller's node sends when the owner requests it.

    Parameters
    ----------
    body : bytes
        The body.
    rank : int
        Rank of the call.
    target_at_s : float
        Monotonic time at which the latency target of the call ends.
    """

    __slots__ = ("body", "is_sent", "rank", "target_at_s")

    def __init__(self, body: bytes, rank: int, target_at_s: float) -> None:
        self.body = body
        self.rank = rank
        self.target_at_s = target_at_s
        # True once the last chunk may have been written.
        self.is_sent = False

    async def send(self, pacer: Pacer, write: Callable[[bytes], bool]) -> None:
        """Write all chunks in turn with other large bodies; stop if one fails."""
        left_bytes = len(self.body)
        for chunk in split_into_chunks(self.body):
            await pacer.wait_turn(self.rank, self.target_at_s)
            left_bytes -= len(chunk)
            self.is_sent = left_bytes == 0
            if not write(chunk):
                return


class IncomingBody:
    """A body that the owner has requested.

    Parameters
    ----------
    size_bytes : int
        Its size.
    """

    __slots__ = ("_body", "_received", "_size_bytes")

    def __init__(self, size_bytes: int) -> None:
        self._size_bytes = size_bytes
        self._body = bytearray()
        self._received: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )

    def add(self, chunk: bytes) -> None:
        """Add a chunk; anything beyond the size is ignored."""
        if self._received.done():
            return
        self._body += chunk
        if len(self._body) >= self._size_bytes:
            self._received.set_result(bytes(self._body[: self._size_bytes]))

    async def wait(self) -> bytes:
        """Return the complete body."""
        return await self._received


def split_off_body(request: CallRequest, now_s: float) -> OutgoingBody | None:
    """Take a large body out of a request; return None if the body stays there."""
    body = request.body
    if len(body) < MIN_SEPARATE_BODY_BYTES:
        return None
    request.body_bytes = len(body)
    request.body = b""
    return OutgoingBody(body, request.rank, now_s + request.target_left_s)
