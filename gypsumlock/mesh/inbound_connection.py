"""Server side of one connection from another node: receives calls for the upstream."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    PackedDelta,
    RecordUpdate,
)
from gypsumlock.mesh.feed_relay import FollowerConnection
from gypsumlock.mesh.frames import (
    AnswerChunk,
    Cancel,
    FramedProtocol,
    Message,
    Ping,
    Pong,
    Withdraw,
)
from gypsumlock.mesh.model import Answer, CallRequest, OwnerLoad, Refusal
from gypsumlock.mesh.pacer import split_into_chunks
from gypsumlock.mesh.quota_messages import GrantRequest
from gypsumlock.mesh.request_body import BodyChunk, BodyRequest, IncomingBody
from gypsumlock.mesh.write_buffer import has_unsent_bytes
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.messages import VersionReport

if TYPE_CHECKING:
    from gypsumlock.mesh.peer_server import PeerServer

__all__ = ["InboundConnection"]

log = get_logger(Component.MEMBERS)

# Shortest wait for the link that is logged, in seconds.
MIN_LOGGED_WAIT_S = 0.5


class InboundConnection(FramedProtocol, FollowerConnection):
    """Server side of a connection from another node."""

    __slots__ = (
        "_begun",
        "_bodies",
        "_is_confirmed",
        "_requests",
        "_reserved_bytes",
        "_server",
        "_tasks",
    )

    def __init__(self, server: PeerServer) -> None:
        super().__init__(server.meter, server.memory)
        self._server = server
        # True once a message has arrived.
        self._is_confirmed = False
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._requests: dict[int, CallRequest] = {}
        # Bodies that were requested and are not complete yet.
        self._bodies: dict[int, IncomingBody] = {}
        # Bytes that are counted for the body of each call.
        self._reserved_bytes: dict[int, int] = {}
        # Numbers of the calls whose tasks have begun.
        self._begun: set[int] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the disconnected node, and send it no more updates."""
        super().connection_lost(exc)
        self._server.remove_connection(self)
        self._server.relay.remove_follower(self)
        for task in self._tasks.values():
            task.cancel()

    def handle_message(self, message: Message) -> None:
        """Start, cancel or refuse a call, register a follower, or respond to a ping."""
        if not self._is_confirmed:
            self._is_confirmed = True
            self._server.confirm_connection(self)
        if isinstance(message, CallRequest):
            self._start_call(message)
        elif isinstance(message, BodyChunk):
            body = self._bodies.get(message.number)
            if body is not None:
                body.add(message.body)
        elif isinstance(message, Cancel):
            self._cancel_call(message.number)
        elif isinstance(message, Withdraw):
            request = self._requests.get(message.number)
            if request is not None:
                self._server.handler.withdraw(request)
        elif isinstance(message, FollowRequest):
            self._server.relay.add_follower(self, message)
        elif isinstance(message, GrantRequest):
            if self._server.grant is not None:
                self.send(self._server.grant(message))
        elif isinstance(message, Ping):
            self.send(Pong(message.number))
        elif isinstance(message, VersionReport):
            handler = self._server.report_handler
            verdict = handler.handle_report(message) if handler else None
            if verdict is not None:
                self.send(verdict)

    def send_update(
        self, message: RecordUpdate | PackedDelta | ConfigSnapshot | FeedHeartbeat
    ) -> None:
        """Send an update to the node that follows this one."""
        self.send(message)

    def _start_call(self, request: CallRequest) -> None:
        """Run a call, unless its body can't be held."""
        number = request.number
        size_bytes = len(request.body) + request.body_bytes
        if not self.memory.requests.reserve(size_bytes):
            code = ResultCode.CALL_NO_MEMORY
            self.send(Refusal(number, code, 0.0, False, OwnerLoad()))
            return
        task = self.loop.create_task(self._run_call(request))
        self._tasks[number] = task
        self._requests[number] = request
        self._reserved_bytes[number] = size_bytes
        # A task that is cancelled before it has begun runs no code of its own.
        task.add_done_callback(lambda _: self._end_call(request))

    def _cancel_call(self, number: int) -> None:
        """End a call; tell the caller if it certainly did not run."""
        request = self._requests.get(number)
        # The refusal of a withdrawn call is sent like any other.
        if request is not None and not self._server.handler.withdraw(request):
            self._tasks[number].cancel()

    def _end_call(self, request: CallRequest) -> None:
        self.memory.requests.release(self._reserved_bytes.pop(request.number))
        if request.number not in self._begun:
            code = ResultCode.CALL_OVERLOADED
            self.send(Refusal(request.number, code, 0.0, False, OwnerLoad()))
        self._begun.discard(request.number)
        self._tasks.pop(request.number, None)
        self._requests.pop(request.number, None)

    async def _run_call(self, request: CallRequest) -> None:
        self._begun.add(request.number)
        target_at_s = self.loop.time() + request.target_left_s
        receive_body = partial(self._receive_body, request)
        outcome = await self._server.handler.run_call(
            request, receive_body if request.body_bytes else None
        )
        outcome.number = request.number
        if isinstance(outcome, Answer):
            body_bytes = len(outcome.body)
            self.memory.answers.hold(body_bytes)
            began_s = self.loop.time()
            try:
                await self._send_body(outcome, request.rank, target_at_s)
            finally:
                self.memory.answers.release(body_bytes)
            self._log_wait(request, body_bytes, self.loop.time() - began_s)
        self.send(outcome)

    async def _receive_body(self, request: CallRequest) -> None:
        """Request the body of an accepted call, and wait until it is complete."""
        body = IncomingBody(request.body_bytes)
        self._bodies[request.number] = body
        try:
            self.send(BodyRequest(request.number))
            request.body = await body.wait()
        finally:
            del self._bodies[request.number]

    def _log_wait(self, request: CallRequest, body_bytes: int, wait_s: float) -> None:
        """Log that an answer waited longer for the link than its own bytes take."""
        own_s = self._server.meter.transmission_s(body_bytes)
        if wait_s - own_s > MIN_LOGGED_WAIT_S:
            log.info(
                "answer waited for the link",
                call=request.request_id.decode("latin-1"),
                rank=request.rank,
                size_bytes=body_bytes,
                wait_s=round(wait_s, 3),
                own_s=round(own_s, 3),
            )

    def busy(self) -> bool:
        """Return whether a call is in flight, up to the last byte of its response."""
        return bool(self._tasks) or has_unsent_bytes(self.transport)

    async def _send_body(self, answer: Answer, rank: int, target_at_s: float) -> None:
        """Send all chunks of a body but the last, at the rate of the network link."""
        pacer = self._server.pacer
        chunks = split_into_chunks(answer.body)
        chunk = next(chunks)
        remaining_bytes = len(answer.body)
        is_split = len(chunk) < remaining_bytes
        pacer.add_pending(remaining_bytes)
        try:
            for next_chunk in chunks:
                await pacer.wait_turn(rank, target_at_s)
                self.send(AnswerChunk(answer.number, chunk))
                pacer.remove_pending(len(chunk))
                remaining_bytes -= len(chunk)
                chunk = next_chunk
            if is_split:
                await pacer.wait_turn(rank, target_at_s)
        finally:
            pacer.remove_pending(remaining_bytes)
        answer.body = chunk
