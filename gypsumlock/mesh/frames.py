"""Messages between nodes, encoded as MessagePack with a length prefix.

The control messages in `gypsumlock.peering` use gRPC. Calls use this framing, with
msgspec as the codec, because a call costs several times as much over gRPC.
"""

from __future__ import annotations

import asyncio
import struct
from abc import ABC, abstractmethod
from typing import cast

import msgspec

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    PackedDelta,
    RecordUpdate,
)
from gypsumlock.mesh.field_types import DECODE_ERRORS, Number, is_valid_head
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import Answer, CallRequest, Failure, OwnerLoad, Refusal
from gypsumlock.mesh.quota_messages import Grant, GrantRequest
from gypsumlock.mesh.request_body import BodyChunk, BodyRequest
from gypsumlock.mesh.write_buffer import UnsentBytes, write_with_head
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.messages import VersionReport, VersionVerdict

__all__ = [
    "AnswerChunk",
    "Cancel",
    "FramedProtocol",
    "LoadReport",
    "Message",
    "Ping",
    "Pong",
    "Withdraw",
]

log = get_logger(Component.MEMBERS)

MAX_FRAME_BYTES = 134_217_728
# A frame above this size is counted while it is received. Updates of the configuration
# are smaller, so that large requests don't hold them up.
MAX_UNCOUNTED_FRAME_BYTES = 1_048_576
# Time in which a part of an unfinished frame must arrive, in seconds. Calls on a
# connection that was silent for a second are given up already.
FRAME_STALL_TIMEOUT_S = 15.0
_LENGTH = struct.Struct(">I")


class Cancel(msgspec.Struct, array_like=True, tag=5):
    """Cancels a call."""

    number: Number


class Ping(msgspec.Struct, array_like=True, tag=6):
    """Requests a pong with the same number, to check the connection."""

    number: Number


class Pong(msgspec.Struct, array_like=True, tag=7):
    """Response to a ping: the connection works."""

    number: Number


class LoadReport(msgspec.Struct, array_like=True, tag=8):
    """Load of the upstream, sent unsolicited when callers should know of a change."""

    load: OwnerLoad


class AnswerChunk(msgspec.Struct, array_like=True, tag=15):
    """Chunk of a response body; the `Answer` itself carries the last chunk."""

    number: Number
    body: bytes


class Withdraw(msgspec.Struct, array_like=True, tag=9):
    """Requests the refusal of a call that has not reached the upstream yet."""

    number: Number


Message = (
    CallRequest
    | Answer
    | Refusal
    | Failure
    | Cancel
    | Ping
    | Pong
    | LoadReport
    | Withdraw
    | AnswerChunk
    | FollowRequest
    | RecordUpdate
    | PackedDelta
    | ConfigSnapshot
    | FeedHeartbeat
    | GrantRequest
    | Grant
    | VersionReport
    | VersionVerdict
    | BodyRequest
    | BodyChunk
)

_REQUEST_TAG = 1
_OUTCOME_TAGS = (2, 3, 4)


class _Envelope(msgspec.Struct, array_like=True):
    """First fields of every message about a call."""

    tag: int
    number: Number


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def _decode(data: memoryview) -> Message | None:
    """Return the message in a frame, or None if one of its fields is invalid."""
    try:
        message = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        log.warning("message of another node ignored", reason=str(error))
        return None
    if isinstance(message, RecordUpdate):
        # Undecoded parts refer to the buffer, which can't shrink meanwhile.
        message.rows = [row.copy() for row in message.rows]
    if isinstance(message, CallRequest):
        is_valid = is_valid_head(message.headers, message.method, message.target)
    else:
        is_valid = not isinstance(message, Answer) or is_valid_head(message.headers)
    if not is_valid:
        log.warning("message of another node ignored", reason="invalid head")
        return None
    return message


class FramedProtocol(asyncio.Protocol, ABC):
    """One side of a connection between nodes; splits the byte stream into messages.

    Parameters
    ----------
    meter : LinkMeter
        Counts the bytes written to the machine's network link.
    memory : MemoryAccount | None
        Counts the bodies that the connection holds; None for an account of its own.
    """

    __slots__ = (
        "_buffer",
        "_frame_bytes",
        "_meter",
        "_stall_timer",
        "_unsent",
        "last_received_s",
        "loop",
        "memory",
        "transport",
    )

    def __init__(self, meter: LinkMeter, memory: MemoryAccount | None = None) -> None:
        self._meter = meter
        self.memory = memory or MemoryAccount()
        self._unsent = UnsentBytes(self.memory.answers)
        # Size of the frame that is being received, if it is counted.
        self._frame_bytes = 0
        # Runs while a frame is unfinished.
        self._stall_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        # Monotonic time at which data last arrived.
        self.last_received_s = self.loop.time()
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Return what is counted for the connection."""
        self._unsent.resume()
        self._count_frame(0)
        if self._stall_timer is not None:
            self._stall_timer.cancel()

    def pause_writing(self) -> None:
        """Count what the other node does not read."""
        self._unsent.pause(self.transport)

    def resume_writing(self) -> None:
        """Count it no more: the other node has read most of it."""
        self._unsent.resume()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and handle each complete message."""
        self.last_received_s = self.loop.time()
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            end = start + _LENGTH.size + size
            if len(buffer) < end:
                if not self._count_frame(size):
                    log.warning("message of another node too large", size_bytes=size)
                    self.abort()
                    return
                break
            self._count_frame(0)
            frame = memoryview(buffer)[start + _LENGTH.size : end]
            start = end
            message = _decode(frame)
            if message is None:
                self._handle_invalid(frame)
            else:
                self.handle_message(message)
            frame.release()
        if start:
            del buffer[:start]
        if buffer and self._stall_timer is None:
            self._schedule_stall_check(FRAME_STALL_TIMEOUT_S)

    def _schedule_stall_check(self, delay_s: float) -> None:
        self._stall_timer = self.loop.call_later(delay_s, self._check_stall)

    def _check_stall(self) -> None:
        """Close the connection if the rest of a frame does not arrive."""
        self._stall_timer = None
        if not self._buffer:
            return
        left_s = self.last_received_s + FRAME_STALL_TIMEOUT_S - self.loop.time()
        if left_s > 0:
            self._schedule_stall_check(left_s)
            return
        log.warning("message of another node unfinished", size_bytes=len(self._buffer))
        self.abort()

    def _count_frame(self, size_bytes: int) -> bool:
        """Count the frame being received; return False if it can't be held."""
        if size_bytes <= MAX_UNCOUNTED_FRAME_BYTES:
            size_bytes = 0
        if size_bytes == self._frame_bytes:
            return True
        requests = self.memory.requests
        requests.release(self._frame_bytes)
        self._frame_bytes = 0
        if size_bytes == 0:
            return True
        if size_bytes > MAX_FRAME_BYTES or not requests.reserve(size_bytes):
            return False
        self._frame_bytes = size_bytes
        return True

    def _handle_invalid(self, frame: memoryview) -> None:
        """End the call of an invalid message, so that nobody waits for it in vain."""
        try:
            envelope = _ENVELOPE_DECODER.decode(frame)
        except DECODE_ERRORS:
            return
        if envelope.tag == _REQUEST_TAG:
            code = ResultCode.CALL_UPSTREAM_UNREACHABLE
            self.send(Refusal(envelope.number, code, 0.0, False, OwnerLoad()))
        elif envelope.tag in _OUTCOME_TAGS:
            code = ResultCode.CALL_UNKNOWN_OUTCOME
            self.handle_message(Failure(envelope.number, code, OwnerLoad()))

    def send(self, message: Message) -> bool:
        """Send a message; return False if the connection is closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        data = _ENCODER.encode(message)
        self._meter.record_write(len(data), self.loop.time())
        self._unsent.record_write(len(data))
        write_with_head(transport, _LENGTH.pack(len(data)), data)
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    @abstractmethod
    def handle_message(self, message: Message) -> None:
        """Handle one received message."""
