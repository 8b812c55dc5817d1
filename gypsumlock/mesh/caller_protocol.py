"""The caller's side of a connection to another node, and its pending calls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.frames import (
    AnswerChunk,
    Cancel,
    FramedProtocol,
    LoadReport,
    Message,
    Ping,
    Pong,
)
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    Failure,
    OwnerLoad,
    Refusal,
    peer_lost_failure,
    peer_unreachable_refusal,
)
from gypsumlock.mesh.quota_messages import Grant
from gypsumlock.mesh.recent_table import RecentTable
from gypsumlock.mesh.request_body import BodyChunk, BodyRequest, OutgoingBody
from gypsumlock.mesh.round_trip import RoundTripEstimator
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.messages import VersionVerdict

__all__ = ["CallerProtocol", "PendingCall", "ProtocolListener"]


class PendingCall:
    """A call that has no outcome yet."""

    __slots__ = (
        "attempt",
        "body",
        "future",
        "may_fail_over",
        "outgoing_body",
        "repeatable",
    )

    def __init__(
        self,
        future: asyncio.Future[CallOutcome],
        repeatable: bool,
        may_fail_over: Callable[[], bool],
        attempt: Attempt | None = None,
        outgoing_body: OutgoingBody | None = None,
    ) -> None:
        self.attempt = attempt
        # A request body that is sent once the other node requests it.
        self.outgoing_body = outgoing_body
        self.future = future
        self.repeatable = repeatable
        self.may_fail_over = may_fail_over
        # The part of the response body that has arrived.
        self.body = bytearray()

    def resolve_lost(self) -> None:
        """Set the outcome of a call whose other node can't be reached any more.

        It may have run, unless its body was not sent completely.
        """
        if self.outgoing_body is not None and not self.outgoing_body.is_sent:
            code = ResultCode.CALL_UPSTREAM_UNREACHABLE
            self.resolve(peer_unreachable_refusal(code))
        else:
            self.resolve(peer_lost_failure(ResultCode.CALL_UNKNOWN_OUTCOME))

    def resolve(self, outcome: CallOutcome) -> None:
        """Set the outcome, unless the caller was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


class ProtocolListener(ABC):
    """Receives what concerns the other node, and not a single call."""

    __slots__ = ()

    @abstractmethod
    def next_number(self) -> int:
        """Return a message number that has not been used yet."""

    @abstractmethod
    def store_load_report(self, load: OwnerLoad) -> None:
        """Store an unsolicited load report."""

    @abstractmethod
    def forget_protocol(self, protocol: CallerProtocol) -> None:
        """Drop the reference to a protocol whose connection is closed."""


class CallerProtocol(FramedProtocol):
    """The caller's side of a connection.

    Parameters
    ----------
    listener : ProtocolListener
        Receives load reports and the end of the connection.
    meter : LinkMeter
        Counts the bytes written to the machine's network link.
    memory : MemoryAccount | None
        Counts the parts of answers that have arrived; None for an account of its own.
    """

    __slots__ = (
        "_body_tasks",
        "_given_up",
        "_listener",
        "_ping_sent_at_s",
        "on_grant",
        "pending",
        "round_trip",
        "verdict",
    )

    def __init__(
        self,
        listener: ProtocolListener,
        meter: LinkMeter,
        memory: MemoryAccount | None = None,
    ) -> None:
        super().__init__(meter, memory)
        self._listener = listener
        # Request bodies that are being sent.
        self._body_tasks: set[asyncio.Task[None]] = set()
        self.pending: dict[int, PendingCall] = {}
        # Attempts that were given up; the other node may still refuse them.
        self._given_up: RecentTable[int, Attempt] = RecentTable()
        # When each unanswered ping was sent, by its number.
        self._ping_sent_at_s: dict[int, float] = {}
        self.round_trip = RoundTripEstimator()
        # Receives the grants of the node; None if they are ignored.
        self.on_grant: Callable[[Grant], None] | None = None
        # Last answer to a version report; its reader resets it to None.
        self.verdict: VersionVerdict | None = None

    def handle_message(self, message: Message) -> None:
        """Dispatch an outcome, a chunk of a response, a load report or a pong."""
        if isinstance(message, Answer | Refusal | Failure):
            pending = self.remove_pending(message.number)
            if pending is not None:
                if isinstance(message, Answer) and pending.body:
                    pending.body += message.body
                    message.body = bytes(pending.body)
                pending.resolve(message)
            elif isinstance(message, Refusal):
                self._record_refusal(message.number)
        elif isinstance(message, AnswerChunk):
            partial = self.pending.get(message.number)
            if partial is not None:
                partial.body += message.body
                self.memory.answers.hold(len(message.body))
        elif isinstance(message, BodyRequest):
            self._send_body(message.number)
        elif isinstance(message, LoadReport):
            self._listener.store_load_report(message.load)
        elif isinstance(message, Grant):
            if self.on_grant is not None:
                self.on_grant(message)
        elif isinstance(message, VersionVerdict):
            self.verdict = message
        elif isinstance(message, Pong) and message.number in self._ping_sent_at_s:
            sent_at_s = self._ping_sent_at_s.pop(message.number)
            self.round_trip.add_sample(self.loop.time() - sent_at_s)

    def _send_body(self, number: int) -> None:
        """Send the body of a call for as long as the call is pending."""
        pending = self.pending.get(number)
        if pending is None or pending.outgoing_body is None:
            return

        def write(chunk: bytes) -> bool:
            return number in self.pending and self.send(BodyChunk(number, chunk))

        body = pending.outgoing_body
        task = self.loop.create_task(body.send(self.loop.time(), write))
        self._body_tasks.add(task)
        task.add_done_callback(self._body_tasks.discard)

    def remove_pending(self, number: int) -> PendingCall | None:
        """Stop waiting for the outcome of a call; return the call if it was pending."""
        pending = self.pending.pop(number, None)
        if pending is not None:
            self.memory.answers.release(len(pending.body))
        return pending

    def _record_refusal(self, number: int) -> None:
        """Record that a call that was given up did not run."""
        attempt = self._given_up.get(number, None)
        if attempt is not None:
            attempt.is_refused = True

    def ping(self) -> None:
        """Send a ping."""
        number = self._listener.next_number()
        self._ping_sent_at_s[number] = self.loop.time()
        self.send(Ping(number))

    def has_unanswered_ping(self) -> bool:
        """Return whether a pong is still expected."""
        return bool(self._ping_sent_at_s)

    def fail_over_calls(self) -> None:
        """Cancel the calls that will be sent elsewhere; the others stay pending."""
        for number, pending in list(self.pending.items()):
            if pending.may_fail_over():
                self._fail_call(number, pending)

    def fail_repeatable_calls(self) -> None:
        """Cancel all repeatable calls; the others stay pending."""
        for number, pending in list(self.pending.items()):
            if pending.repeatable:
                self._fail_call(number, pending)

    def _fail_call(self, number: int, pending: PendingCall) -> None:
        self.remove_pending(number)
        if pending.attempt is not None:
            self._given_up[number] = pending.attempt
        self.send(Cancel(number))
        pending.resolve_lost()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all pending calls with an unknown outcome: each of them may have run."""
        super().connection_lost(exc)
        for task in self._body_tasks:
            task.cancel()
        for number, pending in list(self.pending.items()):
            self.remove_pending(number)
            pending.resolve_lost()
        self._listener.forget_protocol(self)
