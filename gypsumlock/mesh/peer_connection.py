"""Connections to other nodes; all calls to a node share one connection.

Pings detect a connection that went silent: while calls are pending and nothing was
received for `PING_AFTER_S`, a ping is sent. After `FAILOVER_TIMEOUT_S` of silence, the
calls that can be sent elsewhere fail. After `SILENCE_TIMEOUT_S` the connection is
closed and all other calls fail, each of which may have run. Both timeouts are extended
if recent pongs were slow, as they are behind large responses on a network link of low
bandwidth.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumlock.mesh.frames import (
    AnswerChunk,
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

__all__ = ["PeerConnection"]

CONNECT_TIMEOUT_S = 0.4
PING_AFTER_S = 0.15
FAILOVER_TIMEOUT_S = 0.45
SILENCE_TIMEOUT_S = 1.0
SILENCE_CHECK_INTERVAL_S = 0.1
# Longest extension of both timeouts for slow pongs.
MAX_EXTRA_TIMEOUT_S = 1.0
# Smoothing of the round-trip time as in TCP (RFC 6298): weights of a new sample in the
# mean and in the deviation, and number of deviations added to the mean.
ROUND_TRIP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
PROBE_POLL_INTERVAL_S = 0.02


class _PendingCall:
    """A call that has no outcome yet."""

    __slots__ = ("chunks", "future", "may_fail_over")

    def __init__(
        self, future: asyncio.Future[CallOutcome], may_fail_over: Callable[[], bool]
    ) -> None:
        self.future = future
        self.may_fail_over = may_fail_over
        # Chunks of the response body that have arrived.
        self.chunks: list[bytes] = []

    def resolve(self, outcome: CallOutcome) -> None:
        """Set the outcome, unless the caller was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


class RoundTripEstimator:
    """Moving mean and deviation of the time from a ping to its pong."""

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add_sample(self, took_s: float) -> None:
        """Add the measured time of one pong."""
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += ROUND_TRIP_WEIGHT * (took_s - self._mean_s)

    def extra_timeout_s(self) -> float:
        """Return the extension of the timeouts for slow pongs, in seconds."""
        return min(
            MAX_EXTRA_TIMEOUT_S, self._mean_s + DEVIATION_FACTOR * self._deviation_s
        )


class _CallerProtocol(FramedProtocol):
    """The caller's side of a connection."""

    __slots__ = ("_connection", "_ping_sent_at_s", "pending", "round_trip")

    def __init__(self, connection: PeerConnection, meter: LinkMeter) -> None:
        super().__init__(meter)
        self._connection = connection
        self.pending: dict[int, _PendingCall] = {}
        # When each unanswered ping was sent, by its number.
        self._ping_sent_at_s: dict[int, float] = {}
        self.round_trip = RoundTripEstimator()

    def handle_message(self, message: Message) -> None:
        """Dispatch an outcome, a chunk of a response, a load report or a pong."""
        if isinstance(message, Answer | Refusal | Failure):
            pending = self.pending.pop(message.number, None)
            if pending is not None:
                if isinstance(message, Answer) and pending.chunks:
                    message.body = b"".join([*pending.chunks, message.body])
                pending.resolve(message)
        elif isinstance(message, AnswerChunk):
            partial = self.pending.get(message.number)
            if partial is not None:
                partial.chunks.append(message.body)
        elif isinstance(message, LoadReport):
            self._connection.store_load_report(message.load)
        elif isinstance(message, Pong) and message.number in self._ping_sent_at_s:
            sent_at_s = self._ping_sent_at_s.pop(message.number)
            self.round_trip.add_sample(self.loop.time() - sent_at_s)

    def ping(self) -> None:
        """Send a ping."""
        number = self._connection.next_number()
        self._ping_sent_at_s[number] = self.loop.time()
        self.send(Ping(number))

    def has_unanswered_ping(self) -> bool:
        """Return whether a pong is still expected."""
        return bool(self._ping_sent_at_s)

    def fail_over_calls(self) -> None:
        """Cancel the calls that will be sent elsewhere; the others stay pending."""
        for number, pending in list(self.pending.items()):
            if pending.may_fail_over():
                del self.pending[number]
                self.send(Cancel(number))
                pending.resolve(peer_lost_failure(ResultCode.CALL_UNKNOWN_OUTCOME))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all pending calls with an unknown outcome: each of them may have run."""
        for pending in self.pending.values():
            pending.resolve(peer_lost_failure(ResultCode.CALL_UNKNOWN_OUTCOME))
        self.pending.clear()
        self._connection.forget_protocol(self)


class PeerConnection:
    """Sends calls to one other node over a shared connection.

    The connection is opened on first use, and reopened on first use after it was lost.

    Parameters
    ----------
    address : str
        Address on which the node listens for calls from other nodes, as `IP:port`.
    meter : LinkMeter
        Counts the bytes written to the machine's network link.
    """

    __slots__ = (
        "_connecting",
        "_last_number",
        "_meter",
        "_protocol",
        "_silence_timer",
        "address",
        "ignore_silence",
        "load",
    )

    def __init__(self, address: str, meter: LinkMeter) -> None:
        self.address = address
        self._meter = meter
        self._protocol: _CallerProtocol | None = None
        self._connecting: asyncio.Task[_CallerProtocol | None] | None = None
        self._last_number = 0
        self._silence_timer: asyncio.TimerHandle | None = None
        # Last unsolicited load report from the node; its reader resets it to None.
        self.load: OwnerLoad | None = None
        # If True, silence neither fails calls nor closes the connection.
        self.ignore_silence = False

    async def call(
        self, request: CallRequest, may_fail_over: Callable[[], bool]
    ) -> CallOutcome:
        """Send a call and wait for its outcome.

        Cancelling the caller also cancels the call at the other node.

        Parameters
        ----------
        request : CallRequest
            The call.
        may_fail_over : Callable[[], bool]
            Called while the other node is silent. If it returns True, the call fails
            at once.
        """
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        number = self.next_number()
        request.number = number
        future: asyncio.Future[CallOutcome] = protocol.loop.create_future()
        if not protocol.pending:
            # The connection was idle, not silent, before this call.
            protocol.last_received_s = protocol.loop.time()
        protocol.pending[number] = _PendingCall(future, may_fail_over)
        if not protocol.send(request):
            protocol.pending.pop(number, None)
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        self._schedule_silence_check(protocol)
        try:
            return await future
        except asyncio.CancelledError:
            if protocol.pending.pop(number, None) is not None:
                protocol.send(Cancel(number))
            raise

    async def probe(self) -> bool:
        """Return whether the node responds to a ping; if not, close the connection."""
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return False
        pinged_at_s = protocol.loop.time()
        protocol.ping()
        while protocol.loop.time() < pinged_at_s + SILENCE_TIMEOUT_S:
            await asyncio.sleep(PROBE_POLL_INTERVAL_S)
            if protocol.last_received_s >= pinged_at_s:
                return True
        protocol.abort()
        return False

    def withdraw_queued_calls(self) -> None:
        """Ask the other node to refuse every call that still waits for a slot."""
        protocol = self._protocol
        if protocol is not None:
            for number in list(protocol.pending):
                protocol.send(Withdraw(number))

    def next_number(self) -> int:
        """Return a message number that has not been used yet."""
        self._last_number += 1
        return self._last_number

    def store_load_report(self, load: OwnerLoad) -> None:
        """Store an unsolicited load report."""
        self.load = load

    def forget_protocol(self, protocol: _CallerProtocol) -> None:
        """Drop the reference to a protocol whose connection is closed."""
        if self._protocol is protocol:
            self._protocol = None

    def close(self) -> None:
        """Close the connection."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self._protocol is not None:
            self._protocol.abort()

    async def _connect(self) -> _CallerProtocol | None:
        """Open a connection, or wait for the attempt in progress."""
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._open_connection())
            self._connecting.add_done_callback(self._connect_finished)
        return await asyncio.shield(self._connecting)

    async def _open_connection(self) -> _CallerProtocol | None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: _CallerProtocol(self, self._meter), host, int(port)
                )
        except (OSError, TimeoutError):
            return None
        self._protocol = protocol
        return protocol

    def _connect_finished(self, task: asyncio.Task[_CallerProtocol | None]) -> None:
        self._connecting = None

    def _schedule_silence_check(self, protocol: _CallerProtocol) -> None:
        if self._silence_timer is None:
            self._silence_timer = protocol.loop.call_later(
                SILENCE_CHECK_INTERVAL_S, self._check_silence
            )

    def _check_silence(self) -> None:
        """Ping, fail calls or close the connection, depending on its silence."""
        self._silence_timer = None
        protocol = self._protocol
        if protocol is None or not protocol.pending:
            return
        now_s = protocol.loop.time()
        silent_s = now_s - protocol.last_received_s
        extra_s = protocol.round_trip.extra_timeout_s()
        if silent_s > SILENCE_TIMEOUT_S + extra_s and not self.ignore_silence:
            protocol.abort()
            return
        if silent_s > FAILOVER_TIMEOUT_S + extra_s and not self.ignore_silence:
            protocol.fail_over_calls()
        if silent_s > PING_AFTER_S and not protocol.has_unanswered_ping():
            protocol.ping()
        self._schedule_silence_check(protocol)
