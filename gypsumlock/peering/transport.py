"""Calls from a node to its peers: an abstract transport and its gRPC implementation.

Every call has a timeout and returns a fault instead of raising an exception.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import Any, Final

import grpc
import grpc.aio
from anyio.lowlevel import checkpoint_if_cancelled
from google.protobuf.message import Message
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.membership.member import Member
from gypsumlock.model import VersionRef
from gypsumlock.peering import codec, mesh_pb2, mesh_pb2_grpc
from gypsumlock.peering.messages import Report, SurveyEntry
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["FLEET_KEY_METADATA", "GrpcTransport", "PeerTransport"]

FLEET_KEY_METADATA: Final = "gypsumlock-fleet-key-bin"
# Channels kept open, besides closing ones that still have calls in flight.
MAX_CHANNELS: Final = 24
CHANNEL_OPTIONS: Final = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", defaults.MAX_SNAPSHOT_BYTES),
)


class PeerTransport(ABC):
    """Transport for calls to other nodes."""

    __slots__ = ()

    @abstractmethod
    async def exchange(
        self, address: str, report: Report, timeout_s: float
    ) -> Result[Report, Fault]:
        """Send a heartbeat and return the reply."""

    @abstractmethod
    async def sync(
        self, address: str, bucket_digests: list[int], timeout_s: float
    ) -> Result[list[Member], Fault]:
        """Return the peer's records in the buckets whose digests differ."""

    @abstractmethod
    async def fetch(
        self, address: str, wanted: VersionRef, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Return a compressed snapshot that the peer holds."""

    @abstractmethod
    async def probe(
        self, address: str, target: str, timeout_s: float
    ) -> Result[bool, Fault]:
        """Ask a peer whether it can reach `target`."""

    @abstractmethod
    async def survey(
        self, address: str, member_addresses: list[str], timeout_s: float
    ) -> Result[list[SurveyEntry], Fault]:
        """Ask a peer for its own state and that of the given members."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class GrpcTransport(PeerTransport):
    """Transport for calls to other nodes over gRPC.

    Parameters
    ----------
    fleet_key : bytes
        Key that all nodes of the fleet share; sent with each call.
    """

    __slots__ = ("_channels", "_metadata")

    def __init__(self, fleet_key: bytes) -> None:
        self._metadata = ((FLEET_KEY_METADATA, fleet_key),)
        self._channels: OrderedDict[str, grpc.aio.Channel] = OrderedDict()

    async def exchange(
        self, address: str, report: Report, timeout_s: float
    ) -> Result[Report, Fault]:
        """Send a heartbeat and return the reply."""
        request = codec.report_to_wire(report)
        reply = await self._call(address, "Exchange", request, timeout_s)
        return reply.map(codec.report_from_wire)

    async def sync(
        self, address: str, bucket_digests: list[int], timeout_s: float
    ) -> Result[list[Member], Fault]:
        """Return the peer's records in the buckets whose digests differ."""
        request = mesh_pb2.SyncRequest(bucket_digests=bucket_digests)
        reply = await self._call(address, "Sync", request, timeout_s)
        return reply.map(lambda message: codec.members_from_wire(message.members))

    async def fetch(
        self, address: str, wanted: VersionRef, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Return a compressed snapshot that the peer holds."""
        request = mesh_pb2.FetchRequest(wanted=codec.ref_to_wire(wanted))
        reply = await self._call(address, "Fetch", request, timeout_s)
        if isinstance(reply, Ok) and not reply.ok_value.payload:
            detail = f"{address} does not hold version {wanted.version}"
            return Err(Fault(ResultCode.SNAPSHOT_UNAVAILABLE, detail))
        return reply.map(lambda message: bytes(message.payload))

    async def probe(
        self, address: str, target: str, timeout_s: float
    ) -> Result[bool, Fault]:
        """Ask a peer whether it can reach `target`."""
        request = mesh_pb2.ProbeRequest(address=target)
        reply = await self._call(address, "Probe", request, timeout_s)
        return reply.map(lambda message: bool(message.reachable))

    async def survey(
        self, address: str, member_addresses: list[str], timeout_s: float
    ) -> Result[list[SurveyEntry], Fault]:
        """Ask a peer for its own state and that of the given members."""
        request = mesh_pb2.SurveyRequest(addresses=member_addresses)
        reply = await self._call(address, "Survey", request, timeout_s)
        return reply.map(codec.survey_from_wire)

    async def close(self) -> None:
        """Close all connections."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close(None)

    async def _stub(self, address: str) -> mesh_pb2_grpc.MeshStub:
        """Return the stub of a peer, opening or reusing its channel."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        while len(self._channels) > MAX_CHANNELS:
            _, evicted_channel = self._channels.popitem(last=False)
            # Lets calls in flight on the least recently used channel finish.
            await evicted_channel.close(grace=defaults.SURVEY_TIMEOUT_S)
        return mesh_pb2_grpc.MeshStub(channel)

    async def _call(
        self, address: str, method: str, request: Message, timeout_s: float
    ) -> Result[Any, Fault]:
        """Call a method of a peer and return the reply message of that method."""
        stub = await self._stub(address)
        call = getattr(stub, method)
        try:
            return Ok(await call(request, timeout=timeout_s, metadata=self._metadata))
        except grpc.aio.AioRpcError as error:
            return Err(_fault_from_error(error, address))
        except asyncio.CancelledError:
            # gRPC raises a CancelledError of its own here. A cancel scope would not
            # recognise it as its own cancellation and would let it propagate. If the
            # scope is cancelled, the checkpoint raises the scope's own error;
            # otherwise the call ended because its channel was closed.
            await checkpoint_if_cancelled()
            detail = f"the call to {address} ended because its channel was closed"
            return Err(Fault(ResultCode.PEER_UNREACHABLE, detail))


def _fault_from_error(error: grpc.aio.AioRpcError, address: str) -> Fault:
    if error.code() is grpc.StatusCode.UNAUTHENTICATED:
        return Fault(
            ResultCode.PEER_TOKEN_WRONG, f"{address} uses a different fleet key"
        )
    detail = f"{address} did not answer: {error.code().name}"
    return Fault(ResultCode.PEER_UNREACHABLE, detail)
