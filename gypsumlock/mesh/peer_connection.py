"""Connections to other nodes; all calls to a node share one connection.

Pings detect a connection that went silent: while calls are pending and nothing was
received for `PING_AFTER_S`, a ping is sent. After `FAILOVER_TIMEOUT_S` of silence, the
calls that can be sent elsewhere fail. After `SILENCE_TIMEOUT_S` all repeatable calls
fail, and further calls use a new connection. Calls that can't be repeated keep waiting
on the silent one: the node may only be paused, and without its response their outcome
stays unknown. Both timeouts are extended if recent pongs were slow, as they are behind
large responses on a network link of low bandwidth.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.caller_protocol import (
    CallerProtocol,
    PendingCall,
    ProtocolListener,
)
from gypsumlock.mesh.frames import Cancel, Withdraw
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import (
    EXPIRED_S,
    CallOutcome,
    CallRequest,
    OwnerLoad,
    peer_unreachable_refusal,
)
from gypsumlock.mesh.pacer import Pacer
from gypsumlock.mesh.quota_messages import Grant, GrantRequest
from gypsumlock.mesh.request_body import OutgoingBody, split_off_body
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.messages import VersionReport, VersionVerdict

__all__ = ["PeerConnection"]

CONNECT_TIMEOUT_S = 0.4
PING_AFTER_S = 0.15
FAILOVER_TIMEOUT_S = 0.45
SILENCE_TIMEOUT_S = 1.0
SILENCE_CHECK_INTERVAL_S = 0.1
PROBE_POLL_INTERVAL_S = 0.02


class PeerConnection(ProtocolListener):
    """Sends calls to one other node over a shared connection.

    The connection is opened on first use, and reopened on first use after it was lost.

    Parameters
    ----------
    address : str
        Address on which the node listens for calls from other nodes, as `IP:port`.
    meter : LinkMeter
        Counts the bytes written to the machine's network link.
    memory : MemoryAccount | None
        Counts the parts of answers that have arrived; None for an account of its own.
    pacer : Pacer | None
        Schedules the chunks of large bodies on the link; None for one of its own.
    """

    __slots__ = (
        "_connecting",
        "_last_number",
        "_memory",
        "_meter",
        "_pacer",
        "_protocol",
        "_silence_timer",
        "_silent_protocols",
        "_unsent_posts",
        "address",
        "ignore_silence",
        "load",
        "on_grant",
        "unresponsive",
    )

    def __init__(
        self,
        address: str,
        meter: LinkMeter,
        memory: MemoryAccount | None = None,
        pacer: Pacer | None = None,
    ) -> None:
        self.address = address
        self._meter = meter
        self._pacer = pacer or Pacer(meter)
        self._memory = memory
        self._protocol: CallerProtocol | None = None
        # Silent connections on which calls still wait for their responses.
        self._silent_protocols: set[CallerProtocol] = set()
        self._connecting: asyncio.Task[CallerProtocol | None] | None = None
        self._last_number = 0
        self._silence_timer: asyncio.TimerHandle | None = None
        # Last unsolicited load report from the node; its reader resets it to None.
        self.load: OwnerLoad | None = None
        # True once a connection was given up as silent; its reader resets it to False.
        self.unresponsive = False
        # Messages that wait for the connection to be opened.
        self._unsent_posts: set[asyncio.Task[None]] = set()
        # Receives the grants of the node; None if they are ignored.
        self.on_grant: Callable[[Grant], None] | None = None
        # If True, silence neither fails calls nor closes the connection.
        self.ignore_silence = False

    async def call(
        self,
        request: CallRequest,
        may_fail_over: Callable[[], bool],
        attempt: Attempt | None = None,
        requests_bodies: bool = True,
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
        attempt : Attempt | None
            Records whether the other node has received the call.
        requests_bodies : bool
            Whether the other node requests large bodies; if not, they are sent with
            their calls.
        """
        attempt = attempt or Attempt(self.address, request)
        now_s = asyncio.get_running_loop().time()
        body = None
        if requests_bodies:
            body = split_off_body(request, now_s, self._pacer)
        attempt.outgoing_body = body
        try:
            return await self._call(request, may_fail_over, attempt, body)
        finally:
            if body is not None:
                body.discard()

    async def _call(
        self,
        request: CallRequest,
        may_fail_over: Callable[[], bool],
        attempt: Attempt,
        body: OutgoingBody | None,
    ) -> CallOutcome:
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        number = self.next_number()
        request.number = number
        future: asyncio.Future[CallOutcome] = protocol.loop.create_future()
        if not protocol.pending:
            # The connection was idle, not silent, before this call.
            protocol.last_received_s = protocol.loop.time()
        protocol.pending[number] = PendingCall(
            future, request.repeatable, may_fail_over, attempt, body
        )
        attempt.is_with_owner = True
        if not protocol.send(request):
            attempt.is_with_owner = False
            protocol.remove_pending(number)
            return peer_unreachable_refusal(ResultCode.CALL_UPSTREAM_UNREACHABLE)
        self._schedule_silence_check(protocol)
        try:
            return await future
        except asyncio.CancelledError:
            if protocol.remove_pending(number) is not None:
                protocol.send(Cancel(number))
            raise

    def post(self, message: GrantRequest) -> None:
        """Send a message that is not a call; it is lost if that is not possible."""
        if self._protocol is not None:
            self._protocol.send(message)
            return
        task = asyncio.get_running_loop().create_task(self._connect_and_post(message))
        self._unsent_posts.add(task)
        task.add_done_callback(self._unsent_posts.discard)

    async def _connect_and_post(self, message: GrantRequest) -> None:
        protocol = await self._connect()
        if protocol is not None:
            protocol.send(message)

    async def probe(self) -> bool:
        """Return whether the node responds to a ping; if not, drop the connection."""
        protocol = self._protocol or await self._connect()
        if protocol is None:
            return False
        pinged_at_s = protocol.loop.time()
        protocol.ping()
        while protocol.loop.time() < pinged_at_s + SILENCE_TIMEOUT_S:
            await asyncio.sleep(PROBE_POLL_INTERVAL_S)
            if protocol.last_received_s >= pinged_at_s:
                return True
        if protocol is self._protocol:
            self._give_up_connection(protocol)
        return False

    def withdraw(self, request: CallRequest) -> None:
        """Ask the other node to refuse a call, if it still waits for a slot."""
        if request.number == 0:
            # It waits for the connection; the other node refuses it once it is sent.
            request.deadline_left_s = EXPIRED_S
        for protocol in self.protocols():
            if request.number in protocol.pending:
                protocol.send(Withdraw(request.number))

    async def send_report(self, report: VersionReport) -> bool:
        """Send a version report; return False if the node can't be reached."""
        protocol = self._protocol or await self._connect()
        return protocol is not None and protocol.send(report)

    def take_verdict(self) -> VersionVerdict | None:
        """Return the answer to a version report that arrived since the last call."""
        protocol = self._protocol
        if protocol is None:
            return None
        verdict, protocol.verdict = protocol.verdict, None
        return verdict

    def withdraw_queued_calls(self) -> None:
        """Ask the other node to refuse every call that still waits for a slot."""
        for protocol in self.protocols():
            for number in list(protocol.pending):
                protocol.send(Withdraw(number))

    def next_number(self) -> int:
        """Return a message number that has not been used yet."""
        self._last_number += 1
        return self._last_number

    def store_load_report(self, load: OwnerLoad) -> None:
        """Store an unsolicited load report."""
        self.load = load

    def forget_protocol(self, protocol: CallerProtocol) -> None:
        """Drop the reference to a protocol whose connection is closed."""
        self._silent_protocols.discard(protocol)
        if self._protocol is protocol:
            self._protocol = None

    def close(self) -> None:
        """Close the connection."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        for protocol in self.protocols():
            protocol.abort()

    def protocols(self) -> list[CallerProtocol]:
        """Return the connection in use and the silent ones."""
        in_use = [] if self._protocol is None else [self._protocol]
        return [*in_use, *self._silent_protocols]

    async def _connect(self) -> CallerProtocol | None:
        """Open a connection, or wait for the attempt in progress."""
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._open_connection())
            self._connecting.add_done_callback(self._connect_finished)
        return await asyncio.shield(self._connecting)

    async def _open_connection(self) -> CallerProtocol | None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: CallerProtocol(self, self._meter, self._memory),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError):
            return None
        protocol.on_grant = self.on_grant
        self._protocol = protocol
        return protocol

    def _connect_finished(self, task: asyncio.Task[CallerProtocol | None]) -> None:
        self._connecting = None

    def _schedule_silence_check(self, protocol: CallerProtocol) -> None:
        if self._silence_timer is None:
            self._silence_timer = protocol.loop.call_later(
                SILENCE_CHECK_INTERVAL_S, self._check_silence
            )

    def _check_silence(self) -> None:
        """Check the connection in use, and close silent ones without calls."""
        self._silence_timer = None
        if self._protocol is not None and self._protocol.pending:
            self._check_protocol(self._protocol)
        for protocol in list(self._silent_protocols):
            if not protocol.pending:
                protocol.abort()
        for protocol in self.protocols():
            if protocol.pending:
                self._schedule_silence_check(protocol)

    def _check_protocol(self, protocol: CallerProtocol) -> None:
        """Ping, fail calls or give up the connection, depending on its silence."""
        now_s = protocol.loop.time()
        silent_s = now_s - protocol.last_received_s
        extra_s = protocol.round_trip.extra_timeout_s()
        if not self.ignore_silence:
            if silent_s > SILENCE_TIMEOUT_S + extra_s:
                self._give_up_connection(protocol)
                return
            if silent_s > FAILOVER_TIMEOUT_S + extra_s:
                protocol.fail_over_calls()
        if silent_s > PING_AFTER_S and not protocol.has_unanswered_ping():
            protocol.ping()

    def _give_up_connection(self, protocol: CallerProtocol) -> None:
        """Use a new connection for further calls instead of the one in use.

        The silent one stays open while calls that can't be repeated wait on it.
        """
        self.unresponsive = True
        protocol.fail_repeatable_calls()
        if not protocol.pending:
            protocol.abort()
            return
        self._silent_protocols.add(protocol)
        self._protocol = None
