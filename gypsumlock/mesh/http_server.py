"""HTTP/1.1 server for calls, with one protocol object per connection.

uvicorn serves the operator API. Calls need what its interface hides: to learn at once
that a client has disconnected, to abort a connection in the middle of a response, and
to tell whether a request was read. Both use the same parser.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.connection_table import choose_backlog
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.server_connection import (
    HttpHandler,
    ServerConnection,
    ServerState,
)

__all__ = ["CallServer", "HttpHandler", "ServerConnection"]


class CallServer(ServerState):
    """Listens on one address and keeps track of its connections.

    Parameters
    ----------
    handler : HttpHandler
        Handles the requests.
    memory : MemoryAccount | None
        Counts the bodies that the connections hold; None for an account of their own.
    max_connections : int
        Most connections that are kept; 0 for no limit.
    """

    __slots__ = ("_server",)

    def __init__(
        self,
        handler: HttpHandler,
        memory: MemoryAccount | None = None,
        max_connections: int = 0,
    ) -> None:
        super().__init__(handler, memory, max_connections)
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> set[ServerConnection]:
        """All open connections."""
        return self.table.connections

    async def start(self, address: str) -> None:
        """Listen on an address; raises OSError if it is in use."""
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=choose_backlog(self.table.max_connections),
            reuse_address=True,
        )

    def close_idle_connections(self) -> None:
        """Close all connections that have had no request for a moment."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.busy)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()
