"""Takes calls of other nodes in, and hands them to the owner of the upstream."""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.call_sink import CallSink
from gypsumlock.mesh.feed_messages import (
    ConfigDelta,
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    RecordUpdate,
)
from gypsumlock.mesh.feed_relay import FeedRelay, FollowerConnection
from gypsumlock.mesh.frames import (
    AnswerPart,
    Cancel,
    FramedProtocol,
    LoadReport,
    Message,
    Ping,
    Pong,
    Withdraw,
)
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import Answer, CallRequest, OwnerLoad
from gypsumlock.mesh.pacer import Pacer, split_into_chunks

__all__ = ["InboundLink", "LinkServer"]


class InboundLink(FramedProtocol, FollowerConnection):
    """The owner's side of a connection."""

    __slots__ = ("_requests", "_server", "_tasks")

    def __init__(self, server: LinkServer) -> None:
        super().__init__(server.meter)
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
        self._server.relay.remove_follower(self)
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
        elif isinstance(message, FollowRequest):
            self._server.relay.add_follower(self, message)
        elif isinstance(message, Ping):
            self.send(Pong(message.number))

    def send_update(
        self, message: RecordUpdate | ConfigDelta | ConfigSnapshot | FeedHeartbeat
    ) -> None:
        """Send news to the node that follows this one."""
        self.send(message)

    async def _run(self, request: CallRequest) -> None:
        try:
            outcome = await self._server.sink.run_call(request)
            outcome.number = request.number
            if isinstance(outcome, Answer):
                await self._send_body(outcome, request.rank)
            self.send(outcome)
        finally:
            self._tasks.pop(request.number, None)
            self._requests.pop(request.number, None)

    def busy(self) -> bool:
        """Tell whether a call is still to be answered, to its last piece."""
        return bool(self._tasks)

    async def _send_body(self, answer: Answer, rank: int) -> None:
        """Send all but the last piece of a body, as the link takes them."""
        pacer = self._server.pacer
        *parts, last = split_into_chunks(answer.body)
        left_bytes = len(answer.body)
        pacer.add_pending(left_bytes)
        try:
            for part in parts:
                await pacer.wait_turn(rank)
                self.send(AnswerPart(answer.number, part))
                pacer.remove_pending(len(part))
                left_bytes -= len(part)
            if parts:
                await pacer.wait_turn(rank)
        finally:
            pacer.remove_pending(left_bytes)
        answer.body = last


class LinkServer:
    """Accepts connections of other nodes.

    Parameters
    ----------
    sink : CallSink
        Runs the calls.
    relay : FeedRelay
        Keeps those up that follow this node.
    meter : LinkMeter
        Counts what is written to the machine's link.
    pacer : Pacer
        Turns of large answers on that link.
    """

    __slots__ = ("_server", "links", "meter", "pacer", "relay", "sink")

    def __init__(
        self, sink: CallSink, relay: FeedRelay, meter: LinkMeter, pacer: Pacer
    ) -> None:
        self.pacer = pacer
        self.sink = sink
        self.meter = meter
        self.relay = relay
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

    def busy(self) -> bool:
        """Tell whether a call of another node is still to be answered."""
        return any(link.busy() for link in self.links)

    def report(self, load: OwnerLoad) -> None:
        """Tell all callers the load of the upstream."""
        for link in list(self.links):
            link.send(LoadReport(load))
