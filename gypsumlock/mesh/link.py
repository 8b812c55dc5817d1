"""Connections between nodes: length-prefixed messages over one TCP connection.

Many calls share a connection. gRPC carries the control messages of the product's
own mesh; a call costs several times as much there, so calls have this framing,
with msgspec as their codec.

A connection that went silent is found by a ping: whoever waits for an answer and
hears nothing for `PING_AFTER_S` asks. After `SUSPECT_S` the calls that may run twice
are given up, so that they can be sent elsewhere; after `SILENCE_S` the connection is,
and with it all others, which may have run.
"""

from __future__ import annotations

import asyncio
import struct
from abc import ABC, abstractmethod
from typing import cast

import msgspec

from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
    failure,
    refusal,
)
from gypsumlock.result_codes import ResultCode

__all__ = ["CallSink", "InboundLink", "LinkServer", "PeerLink"]

CONNECT_TIMEOUT_S = 0.4
PING_AFTER_S = 0.15
SUSPECT_S = 0.45
SILENCE_S = 1.0
TICK_S = 0.1
PROBE_STEP_S = 0.02
MAX_FRAME_BYTES = 134_217_728
_LENGTH = struct.Struct(">I")


class Cancel(msgspec.Struct, array_like=True, tag=5):
    """The caller gave a call up."""

    number: int


class Ping(msgspec.Struct, array_like=True, tag=6):
    """Asks for a pong."""


class Pong(msgspec.Struct, array_like=True, tag=7):
    """Shows that the connection works."""


class LoadReport(msgspec.Struct, array_like=True, tag=8):
    """Load of the upstream, sent without being asked when it matters."""

    load: OwnerLoad


class Withdraw(msgspec.Struct, array_like=True, tag=9):
    """Asks for the refusal of a call that has not reached the upstream yet."""

    number: int


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
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FramedProtocol(asyncio.Protocol, ABC):
    """Cuts the byte stream into messages."""

    __slots__ = ("_buffer", "heard_at_s", "loop", "transport")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.heard_at_s = self.loop.time()
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes in and handle each whole message."""
        self.heard_at_s = self.loop.time()
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            end = start + _LENGTH.size + size
            if len(buffer) < end:
                break
            try:
                message = _DECODER.decode(memoryview(buffer)[start + 4 : end])
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.abort()
                return
            start = end
            self.handle_message(message)
        if start:
            del buffer[:start]

    def send(self, message: Message) -> bool:
        """Write a message; return False if the connection is closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        data = _ENCODER.encode(message)
        transport.write(_LENGTH.pack(len(data)) + data)
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    @abstractmethod
    def handle_message(self, message: Message) -> None:
        """Handle one message."""


class _Waiting:
    """A call that waits for its outcome."""

    __slots__ = ("future", "repeatable")

    def __init__(self, future: asyncio.Future[CallOutcome], repeatable: bool) -> None:
        self.future = future
        self.repeatable = repeatable

    def settle(self, outcome: CallOutcome) -> None:
        """Hand the outcome over, unless the caller has left."""
        if not self.future.done():
            self.future.set_result(outcome)


class _ClientProtocol(FramedProtocol):
    """The calling side of a connection."""

    __slots__ = ("_link", "pinged_at_s", "waiting")

    def __init__(self, link: PeerLink) -> None:
        super().__init__()
        self._link = link
        self.waiting: dict[int, _Waiting] = {}
        self.pinged_at_s = 0.0

    def handle_message(self, message: Message) -> None:
        """Give an answer to the call that waits for it."""
        if isinstance(message, Answer | Refusal | Failure):
            waiting = self.waiting.pop(message.number, None)
            if waiting is not None:
                waiting.settle(message)
        elif isinstance(message, LoadReport):
            self._link.on_load(message.load)

    def give_up_repeatable(self) -> None:
        """Fail the calls that may be sent elsewhere."""
        for number, waiting in list(self.waiting.items()):
            if waiting.repeatable:
                del self.waiting[number]
                self.send(Cancel(number))
                waiting.settle(failure(ResultCode.CALL_UNKNOWN_OUTCOME))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail every call that waits: each of them may have run."""
        for waiting in self.waiting.values():
            waiting.settle(failure(ResultCode.CALL_UNKNOWN_OUTCOME))
        self.waiting.clear()
        self._link.drop(self)


class PeerLink:
    """Calls to one other node.

    Parameters
    ----------
    address : str
        Where the node listens for calls of other nodes, as `IP:port`.
    """

    __slots__ = ("_connecting", "_numbers", "_protocol", "_ticker", "address", "load")

    def __init__(self, address: str) -> None:
        self.address = address
        self._protocol: _ClientProtocol | None = None
        self._connecting: asyncio.Task[_ClientProtocol | None] | None = None
        self._numbers = 0
        self._ticker: asyncio.TimerHandle | None = None
        # Load that the owner reported without being asked, until it is read.
        self.load: OwnerLoad | None = None

    async def call(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for what becomes of it.

        Cancelling the caller gives the call up at the owner too.
        """
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        self._numbers += 1
        number = self._numbers
        request.number = number
        future: asyncio.Future[CallOutcome] = protocol.loop.create_future()
        if not protocol.waiting:
            # Silence counts from when somebody began to wait.
            protocol.heard_at_s = protocol.loop.time()
        protocol.waiting[number] = _Waiting(future, request.repeatable)
        if not protocol.send(request):
            protocol.waiting.pop(number, None)
            return refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        self._watch(protocol)
        try:
            return await future
        except asyncio.CancelledError:
            if protocol.waiting.pop(number, None) is not None:
                protocol.send(Cancel(number))
            raise

    async def probe(self) -> bool:
        """Tell whether the node can be reached: it must answer a ping."""
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return False
        asked_s = protocol.loop.time()
        protocol.send(Ping())
        while protocol.loop.time() < asked_s + SILENCE_S:
            await asyncio.sleep(PROBE_STEP_S)
            if protocol.heard_at_s >= asked_s:
                return True
        protocol.abort()
        return False

    def withdraw_waiting(self) -> None:
        """Ask for the refusal of every call that still waits for a slot."""
        protocol = self._protocol
        if protocol is not None:
            for number in list(protocol.waiting):
                protocol.send(Withdraw(number))

    def on_load(self, load: OwnerLoad) -> None:
        """Keep a report of load."""
        self.load = load

    def drop(self, protocol: _ClientProtocol) -> None:
        """Forget a connection that was closed."""
        if self._protocol is protocol:
            self._protocol = None

    def close(self) -> None:
        """Close the connection."""
        if self._ticker is not None:
            self._ticker.cancel()
        if self._protocol is not None:
            self._protocol.abort()

    async def _connect(self) -> _ClientProtocol | None:
        """Connect once for all calls that wait for it."""
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._open())
            self._connecting.add_done_callback(self._connected)
        return await asyncio.shield(self._connecting)

    async def _open(self) -> _ClientProtocol | None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: _ClientProtocol(self), host, int(port)
                )
        except (OSError, TimeoutError):
            return None
        self._protocol = protocol
        return protocol

    def _connected(self, task: asyncio.Task[_ClientProtocol | None]) -> None:
        self._connecting = None

    def _watch(self, protocol: _ClientProtocol) -> None:
        if self._ticker is None:
            self._ticker = protocol.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        """Look for silence while calls wait."""
        self._ticker = None
        protocol = self._protocol
        if protocol is None or not protocol.waiting:
            return
        now_s = protocol.loop.time()
        silent_s = now_s - protocol.heard_at_s
        if silent_s > SILENCE_S:
            protocol.abort()
            return
        if silent_s > SUSPECT_S:
            protocol.give_up_repeatable()
        if silent_s > PING_AFTER_S and now_s - protocol.pinged_at_s > PING_AFTER_S:
            protocol.pinged_at_s = now_s
            protocol.send(Ping())
        self._watch(protocol)


class CallSink(ABC):
    """Runs calls that other nodes send."""

    @abstractmethod
    async def run_call(self, request: CallRequest) -> CallOutcome:
        """Carry a call to its outcome; cancelled when its caller gives it up."""

    @abstractmethod
    def withdraw(self, request: CallRequest) -> None:
        """Refuse a call if it still waits for a slot."""


class InboundLink(FramedProtocol):
    """The owner's side of a connection."""

    __slots__ = ("_requests", "_server", "_tasks")

    def __init__(self, server: LinkServer) -> None:
        super().__init__()
        self._server = server
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._requests: dict[int, CallRequest] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._server.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the calls of a caller that is gone."""
        self._server.links.discard(self)
        for task in self._tasks.values():
            task.cancel()

    def handle_message(self, message: Message) -> None:
        """Start or cancel a call, or show that the connection works."""
        if isinstance(message, CallRequest):
            task = self.loop.create_task(self._run(message))
            self._tasks[message.number] = task
            self._requests[message.number] = message
        elif isinstance(message, Cancel):
            waiting = self._tasks.get(message.number)
            if waiting is not None:
                waiting.cancel()
        elif isinstance(message, Withdraw):
            request = self._requests.get(message.number)
            if request is not None:
                self._server.sink.withdraw(request)
        elif isinstance(message, Ping):
            self.send(Pong())

    async def _run(self, request: CallRequest) -> None:
        try:
            outcome = await self._server.sink.run_call(request)
            outcome.number = request.number
            self.send(outcome)
        finally:
            self._tasks.pop(request.number, None)
            self._requests.pop(request.number, None)


class LinkServer:
    """Accepts connections of other nodes.

    Parameters
    ----------
    sink : CallSink
        Runs the calls.
    """

    __slots__ = ("_server", "links", "sink")

    def __init__(self, sink: CallSink) -> None:
        self.sink = sink
        self.links: set[InboundLink] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen; raises OSError if the address is taken."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: InboundLink(self), host, int(port), backlog=1024, reuse_address=True
        )

    def stop(self) -> None:
        """Accept no further connections, and close those that there are."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.abort()

    def report(self, load: OwnerLoad) -> None:
        """Tell all callers the load of the upstream."""
        for link in list(self.links):
            link.send(LoadReport(load))
