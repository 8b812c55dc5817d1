"""Pool of keep-alive connections to one HTTP server, such as the local upstream.

Invariant: a pooled connection is returned only if it is reusable and has not been idle
for longer than its next call allows.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.upstream_connection import (
    DEFAULT_IDLE_LIMIT_S,
    UpstreamConnection,
)
from gypsumlock.mesh.upstream_response import ConnectFailed

__all__ = ["CONNECT_TIMEOUT_S", "UpstreamPool"]

# Time allowed to open a connection, in seconds.
CONNECT_TIMEOUT_S = 0.5
# Idle limit for calls that must not be repeated: an upstream may drop an idle
# connection earlier than announced, which leaves the outcome of the call unknown.
UNREPEATABLE_IDLE_LIMIT_S = 0.2
# After the upstream dropped an idle connection, the idle limit of all connections is at
# most this fraction of the idle time of that connection, for this duration.
REDUCED_IDLE_FRACTION = 0.5
REDUCED_IDLE_DURATION_S = 10.0


class UpstreamPool:
    """Pool of connections to one server; reuses the last used one first.

    Parameters
    ----------
    address : str
        Address of the server, as `IP:port`.
    id_header : bytes
        Name of the header with the request identifier that responses echo.
    budget : ByteBudget | None
        Limits the response bodies that are received; None for a budget of their own.
    """

    __slots__ = (
        "_budget",
        "_host",
        "_id_header",
        "_idle",
        "_port",
        "_reduced_idle_limit_s",
        "_reduced_until_s",
    )

    def __init__(
        self, address: str, id_header: bytes, budget: ByteBudget | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._id_header = id_header
        self._budget = budget or ByteBudget()
        self._idle: list[UpstreamConnection] = []
        # Idle limit after the upstream dropped an idle connection, and when it expires.
        self._reduced_idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._reduced_until_s = float("-inf")

    async def acquire(
        self, repeatable: bool, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> UpstreamConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        repeatable : bool
            False for a call that must not fail because of a stale connection.
        timeout_s : float
            Time allowed to open a connection.

        Raises
        ------
        ConnectFailed
            If no connection could be established.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = connection.idle_limit_s
            if not repeatable:
                limit_s = min(limit_s, UNREPEATABLE_IDLE_LIMIT_S)
            if now_s < self._reduced_until_s:
                limit_s = min(limit_s, self._reduced_idle_limit_s)
            connection.idle_before_call_s = idle_s
            if idle_s < limit_s and connection.reusable():
                return connection
            connection.close()
        return await self.open(timeout_s)

    async def open(self, timeout_s: float = CONNECT_TIMEOUT_S) -> UpstreamConnection:
        """Open a new connection.

        Parameters
        ----------
        timeout_s : float
            Time allowed for it.

        Raises
        ------
        ConnectFailed
            If the connection could not be established.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._id_header, self._budget),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(type(error).__name__) from error
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; close it unless it is reusable."""
        if not connection.reusable():
            if connection.closed_unanswered and connection.idle_before_call_s > 0:
                self._reduce_idle_limit(connection.idle_before_call_s)
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def _reduce_idle_limit(self, idle_before_call_s: float) -> None:
        """Reduce the idle limit after a connection was dropped by the upstream."""
        now_s = asyncio.get_running_loop().time()
        self._reduced_idle_limit_s = REDUCED_IDLE_FRACTION * idle_before_call_s
        self._reduced_until_s = now_s + REDUCED_IDLE_DURATION_S

    def clear(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
