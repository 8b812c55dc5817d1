"""Calls to other nodes; many of them share one connection.

A connection that went silent is found by a ping: whoever waits for an answer and
hears nothing for `PING_AFTER_S` asks. After `SUSPECT_S` those calls are given up that
can be sent elsewhere; after `SILENCE_S` the connection is,
and with it all others, which may have run. Where pongs have lately taken long, behind
large answers on a narrow link, both times are longer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    CallRequest,
    Failure,
    OwnerLoad,
    Refusal,
    peer_lost_failure,
    peer_unreachable_refusal,
)
from gypsumlock.result_codes import ResultCode

__all__ = ["PeerLink"]

CONNECT_TIMEOUT_S = 0.4
PING_AFTER_S = 0.15
SUSPECT_S = 0.45
SILENCE_S = 1.0
TICK_S = 0.1
# Longest time added for slow pongs, in seconds.
MAX_PATIENCE_S = 1.0
# Weights of the newest sample in the moving mean of the round trip and in its moving
# deviation, and deviations added to the mean: those of TCP (RFC 6298).
ROUND_TRIP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
PROBE_STEP_S = 0.02


class _Waiting:
    """A call that waits for its outcome."""

    __slots__ = ("future", "may_give_up", "parts")

    def __init__(
        self, future: asyncio.Future[CallOutcome], may_give_up: Callable[[], bool]
    ) -> None:
        self.future = future
        self.may_give_up = may_give_up
        # Pieces of the answer's body that have arrived.
        self.parts: list[bytes] = []

    def settle(self, outcome: CallOutcome) -> None:
        """Hand the outcome over, unless the caller has left."""
        if not self.future.done():
            self.future.set_result(outcome)


class RoundTrip:
    """Moving mean and deviation of the time that pongs take, in seconds."""

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def note(self, took_s: float) -> None:
        """Take one sample in."""
        off_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (off_s - self._deviation_s)
        self._mean_s += ROUND_TRIP_WEIGHT * (took_s - self._mean_s)

    def patience_s(self) -> float:
        """Return the time that a pong may take beyond the usual, in seconds."""
        return min(MAX_PATIENCE_S, self._mean_s + DEVIATIONS * self._deviation_s)


class _ClientProtocol(FramedProtocol):
    """The calling side of a connection."""

    __slots__ = ("_link", "_pings", "round_trip", "waiting")

    def __init__(self, link: PeerLink, meter: LinkMeter) -> None:
        super().__init__(meter)
        self._link = link
        self.waiting: dict[int, _Waiting] = {}
        # Times at which pings were sent, by number, until their pongs arrive.
        self._pings: dict[int, float] = {}
        self.round_trip = RoundTrip()

    def handle_message(self, message: Message) -> None:
        """Give an answer to the call that waits for it."""
        if isinstance(message, Answer | Refusal | Failure):
            waiting = self.waiting.pop(message.number, None)
            if waiting is not None:
                if isinstance(message, Answer) and waiting.parts:
                    message.body = b"".join([*waiting.parts, message.body])
                waiting.settle(message)
        elif isinstance(message, AnswerPart):
            receiving = self.waiting.get(message.number)
            if receiving is not None:
                receiving.parts.append(message.body)
        elif isinstance(message, LoadReport):
            self._link.on_load(message.load)
        elif isinstance(message, Pong) and message.number in self._pings:
            sent_at_s = self._pings.pop(message.number)
            self.round_trip.note(self.loop.time() - sent_at_s)

    def ping(self) -> None:
        """Ask for a pong."""
        number = self._link.next_number()
        self._pings[number] = self.loop.time()
        self.send(Ping(number))

    def awaits_pong(self) -> bool:
        """Tell whether a ping has not been answered yet."""
        return bool(self._pings)

    def give_up_silent(self) -> None:
        """Fail the calls that will be sent elsewhere; the others go on waiting."""
        for number, waiting in list(self.waiting.items()):
            if waiting.may_give_up():
                del self.waiting[number]
                self.send(Cancel(number))
                waiting.settle(peer_lost_failure(ResultCode.CALL_UNKNOWN_OUTCOME))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail every call that waits: each of them may have run."""
        for waiting in self.waiting.values():
            waiting.settle(peer_lost_failure(ResultCode.CALL_UNKNOWN_OUTCOME))
        self.waiting.clear()
        self._link.drop(self)


class PeerLink:
    """Calls to one other node.

    Parameters
    ----------
    address : str
        Where the node listens for calls of other nodes, as `IP:port`.
    meter : LinkMeter
        Counts what is written to the machine's link.
    """

    __slots__ = (
        "_connecting",
        "_meter",
        "_numbers",
        "_protocol",
        "_ticker",
        "address",
        "load",
        "patient",
    )

    def __init__(self, address: str, meter: LinkMeter) -> None:
        self.address = address
        self._meter = meter
        self._protocol: _ClientProtocol | None = None
        self._connecting: asyncio.Task[_ClientProtocol | None] | None = None
        self._numbers = 0
        self._ticker: asyncio.TimerHandle | None = None
        # Load that the owner reported without being asked, until it is read.
        self.load: OwnerLoad | None = None
        # True while silence is no reason to give a call up.
        self.patient = False

    async def call(
        self, request: CallRequest, may_give_up: Callable[[], bool]
    ) -> CallOutcome:
        """Send a call and wait for what becomes of it.

        Cancelling the caller gives the call up at the owner too.

        Parameters
        ----------
        request : CallRequest
            The call.
        may_give_up : Callable[[], bool]
            Asked while the other node is silent; True fails the call at once.
        """
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        number = self.next_number()
        request.number = number
        future: asyncio.Future[CallOutcome] = protocol.loop.create_future()
        if not protocol.waiting:
            # Silence counts from when somebody began to wait.
            protocol.heard_at_s = protocol.loop.time()
        protocol.waiting[number] = _Waiting(future, may_give_up)
        if not protocol.send(request):
            protocol.waiting.pop(number, None)
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
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
        protocol.ping()
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

    def next_number(self) -> int:
        """Return a number that no message of this link has."""
        self._numbers += 1
        return self._numbers

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
                    lambda: _ClientProtocol(self, self._meter), host, int(port)
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
        patience_s = protocol.round_trip.patience_s()
        if silent_s > SILENCE_S + patience_s and not self.patient:
            protocol.abort()
            return
        if silent_s > SUSPECT_S + patience_s and not self.patient:
            protocol.give_up_silent()
        if silent_s > PING_AFTER_S and not protocol.awaits_pong():
            protocol.ping()
        self._watch(protocol)
