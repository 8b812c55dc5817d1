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

    It counts as pending on the link from the start, so that further uploads are
    refused if they would have to wait for it too long.

    Parameters
    ----------
    body : bytes
        The body.
    rank : int
        Rank of the call.
    target_at_s, deadline_at_s : float
        Monotonic times at which the latency target and the time of the call end.
    pacer : Pacer
        Schedules the chunks of large bodies on the link.
    """

    __slots__ = (
        "_body",
        "_deadline_at_s",
        "_is_started",
        "_pacer",
        "_pending_bytes",
        "_rank",
        "_target_at_s",
        "is_sent",
    )

    def __init__(
        self,
        body: bytes,
        rank: int,
        target_at_s: float,
        deadline_at_s: float,
        pacer: Pacer,
    ) -> None:
        self._body = body
        self._rank = rank
        self._target_at_s = target_at_s
        self._deadline_at_s = deadline_at_s
        self._is_started = False
        self._pacer = pacer
        self._pending_bytes = len(body)
        pacer.add_pending(len(body))
        # True once the last chunk may have been written.
        self.is_sent = False

    async def send(self, now_s: float, write: Callable[[bytes], bool]) -> None:
        """Write all chunks; stop if one fails.

        They take turns with other large bodies, unless the link as the settings
        describe it would take longer than the call has left: it may be faster.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        write : Callable[[bytes], bool]
            Writes a chunk; returns False if that is not possible any more.
        """
        if self._is_started:
            return
        self._is_started = True
        is_paced = now_s + self._pacer.egress_delay_s() < self._deadline_at_s
        for chunk in split_into_chunks(self._body):
            if is_paced:
                await self._pacer.wait_turn(self._rank, self._target_at_s)
            self.is_sent = self.is_sent or self._pending_bytes == len(chunk)
            if not write(chunk):
                return
            self._pacer.remove_pending(len(chunk))
            self._pending_bytes -= len(chunk)

    def discard(self) -> None:
        """Count what was not written as pending no longer."""
        self._pacer.remove_pending(self._pending_bytes)
        self._pending_bytes = 0


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


def split_off_body(
    request: CallRequest, now_s: float, pacer: Pacer
) -> OutgoingBody | None:
    """Take a large body out of a request; return None if the body stays there."""
    body = request.body
    if len(body) < MIN_SEPARATE_BODY_BYTES:
        return None
    request.body_bytes = len(body)
    request.body = b""
    return OutgoingBody(
        body,
        request.rank,
        now_s + request.target_left_s,
        now_s + request.deadline_left_s,
        pacer,
    )
