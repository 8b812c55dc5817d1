"""The gRPC server that answers calls of other nodes.

The handlers read and write only the blackboard; for probes and surveys they also call
other nodes. A call without the fleet key is rejected before its handler runs.
"""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.distribution.survey import survey_members
from gypsumlock.membership.gossip import apply_report, build_report
from gypsumlock.membership.member import Member
from gypsumlock.options import MembershipOptions
from gypsumlock.peering import codec, mesh_pb2, mesh_pb2_grpc
from gypsumlock.peering.transport import FLEET_KEY_METADATA, PeerTransport
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["PeerServer"]


class PeerServer:
    """Serves the mesh protocol on one address.

    Parameters
    ----------
    board : Board
        State of the node.
    transport : PeerTransport
        Used for probes and surveys on behalf of other nodes.
    options : MembershipOptions
        Timeouts of heartbeats.
    fleet_key : bytes
        Key that callers must present.
    """

    def __init__(
        self,
        board: Board,
        transport: PeerTransport,
        options: MembershipOptions,
        fleet_key: bytes,
    ) -> None:
        self._servicer = _MeshServicer(board, transport, options)
        self._server = grpc.aio.server(
            interceptors=[_FleetKeyInterceptor(fleet_key)],
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", defaults.MAX_SNAPSHOT_BYTES),
            ),
        )

    async def start(self, address: str) -> Result[None, Fault]:
        """Listen on `address`, or return `PORT_IN_USE`."""
        mesh_pb2_grpc.add_MeshServicer_to_server(self._servicer, self._server)
        try:
            self._server.add_insecure_port(address)
        except RuntimeError:
            detail = f"can't listen on {address}"
            return Err(Fault(ResultCode.PORT_IN_USE, detail, "listen.peers"))
        await self._server.start()
        return Ok(None)

    async def stop(self) -> None:
        """Stop listening; calls in flight have a short grace period to finish."""
        await self._server.stop(grace=0.5)


class _FleetKeyInterceptor(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Rejects calls that do not present the fleet key."""

    def __init__(self, fleet_key: bytes) -> None:
        self._fleet_key = fleet_key

        async def reject(
            _: object, context: grpc.aio.ServicerContext[Any, Any]
        ) -> None:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet key")

        self._rejecting_handler = grpc.unary_unary_rpc_method_handler(reject)

    async def intercept_service(
        self,
        continuation: Callable[
            [grpc.HandlerCallDetails], Awaitable[grpc.RpcMethodHandler[Any, Any]]
        ],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler[Any, Any]:
        """Return the handler of a call, or one that rejects it."""
        metadata = dict(handler_call_details.invocation_metadata or ())
        presented_key = metadata.get(FLEET_KEY_METADATA, b"")
        presented_key = (
            presented_key.encode() if isinstance(presented_key, str) else presented_key
        )
        if not hmac.compare_digest(presented_key, self._fleet_key):
            return self._rejecting_handler
        return await continuation(handler_call_details)


class _MeshServicer(mesh_pb2_grpc.MeshServicer):
    """Handles the calls of the mesh protocol."""

    def __init__(
        self, board: Board, transport: PeerTransport, options: MembershipOptions
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options

    async def Exchange(  # noqa: N802
        self, request: mesh_pb2.Report, context: object
    ) -> mesh_pb2.Report:
        """Apply a heartbeat and reply with one."""
        report = codec.report_from_wire(request)
        apply_report(self._board, report)
        members: list[Member] = []
        if report.members_digest != self._board.members.digest():
            members = self._records_for(report.sender)
        return codec.report_to_wire(build_report(self._board, members))

    async def Sync(  # noqa: N802
        self, request: mesh_pb2.SyncRequest, context: object
    ) -> mesh_pb2.SyncReply:
        """Return the records in the buckets whose digests differ."""
        records = self._board.members.records_in_differing_buckets(
            list(request.bucket_digests)
        )
        return mesh_pb2.SyncReply(members=codec.members_to_wire(records))

    async def Fetch(  # noqa: N802
        self, request: mesh_pb2.FetchRequest, context: object
    ) -> mesh_pb2.FetchReply:
        """Return the wanted snapshot, or an empty payload if it is not held."""
        held = self._board.held.read()
        if held is None or held.ref != codec.ref_from_wire(request.wanted):
            return mesh_pb2.FetchReply()
        return mesh_pb2.FetchReply(payload=held.payload)

    async def Probe(  # noqa: N802
        self, request: mesh_pb2.ProbeRequest, context: object
    ) -> mesh_pb2.ProbeReply:
        """Return whether this node can reach the given one, for another node."""
        report = build_report(self._board, [])
        reply = await self._transport.exchange(
            request.address, report, self._options.exchange_timeout_s / 2
        )
        return mesh_pb2.ProbeReply(reachable=reply.is_ok())

    async def Survey(  # noqa: N802
        self, request: mesh_pb2.SurveyRequest, context: object
    ) -> mesh_pb2.SurveyReply:
        """Return the state of this node and of the given members."""
        entries = await survey_members(
            self._board, self._transport, list(request.addresses)
        )
        return codec.survey_to_wire(entries)

    def _records_for(self, sender: str) -> list[Member]:
        """Return this node's record, and the sender's unless its status is ALIVE.

        The sender can then refute the record that this node has of it.
        """
        sender_record = self._board.members.get(sender)
        own = self._board.members.own
        if sender_record is not None and sender_record.status > 0:
            return [own, sender_record]
        return [own]
