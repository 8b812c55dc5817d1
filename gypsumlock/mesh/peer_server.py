"""Accepts the connections of other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumlock.mesh.call_handler import CallHandler
from gypsumlock.mesh.connection_table import ConnectionTable, choose_backlog
from gypsumlock.mesh.feed_relay import FeedRelay
from gypsumlock.mesh.frames import LoadReport
from gypsumlock.mesh.inbound_connection import InboundConnection
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import OwnerLoad
from gypsumlock.mesh.pacer import Pacer
from gypsumlock.mesh.quota_messages import Grant, GrantRequest
from gypsumlock.rollout.messages import ReportHandler

__all__ = ["InboundConnection", "PeerServer"]


class PeerServer:
    """Accepts connections from other nodes.

    Parameters
    ----------
    handler : CallHandler
        Runs the calls.
    relay : FeedRelay
        Sends updates to the nodes that follow this one.
    meter : LinkMeter
        Counts the bytes written to the machine's network link.
    pacer : Pacer
        Schedules the chunks of large responses on that link.
    memory : MemoryAccount
        Counts the bodies of the calls and of their answers.
    max_connections : int
        Most connections that are kept; 0 for no limit.
    """

    __slots__ = (
        "_server",
        "_table",
        "grant",
        "handler",
        "memory",
        "meter",
        "pacer",
        "relay",
        "report_handler",
    )

    def __init__(
        self,
        handler: CallHandler,
        relay: FeedRelay,
        meter: LinkMeter,
        pacer: Pacer,
        memory: MemoryAccount,
        max_connections: int = 0,
    ) -> None:
        self.memory = memory
        self.pacer = pacer
        self.handler = handler
        self.meter = meter
        self.relay = relay
        self._table: ConnectionTable[InboundConnection] = ConnectionTable(
            max_connections
        )
        # Receives version reports; None where there are no roll-outs.
        self.report_handler: ReportHandler | None = None
        self._server: asyncio.Server | None = None
        # Answers requests for quotas; None if this node grants none.
        self.grant: Callable[[GrantRequest], Grant] | None = None

    @property
    def connections(self) -> set[InboundConnection]:
        """All open connections."""
        return self._table.connections

    def add_connection(self, connection: InboundConnection) -> None:
        """Add a new connection, and close one if there are too many.

        One that has sent a message belongs to another node and is kept.
        """
        excess = self._table.add(connection)
        if excess is not None:
            excess.abort()

    def remove_connection(self, connection: InboundConnection) -> None:
        """Remove a connection that is closed."""
        self._table.remove(connection)

    def confirm_connection(self, connection: InboundConnection) -> None:
        """Keep a connection on which a message has arrived."""
        self._table.mark_busy(connection)

    async def start(self, address: str) -> None:
        """Listen on an address; raises OSError if it is in use."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: InboundConnection(self),
            host,
            int(port),
            backlog=choose_backlog(self._table.max_connections),
            reuse_address=True,
        )

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def busy(self) -> bool:
        """Return whether a call from another node is in flight."""
        return any(connection.busy() for connection in self.connections)

    def broadcast_load(self, load: OwnerLoad) -> None:
        """Send the load of the upstream to every connected node."""
        for connection in list(self.connections):
            connection.send(LoadReport(load))
