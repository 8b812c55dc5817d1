"""Connections to the upstream beside the node, kept for further calls.

Invariant: a connection is handed out only if it may be used again and has not rested
for longer than its next call allows.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.upstream_connection import (
    DEFAULT_IDLE_S,
    ConnectFailed,
    UpstreamConnection,
)

__all__ = ["UpstreamPool"]

CONNECT_TIMEOUT_S = 0.5
# Idle time allowed for a call that can't be repeated: an upstream may forget an idle
# connection sooner than it announced, which leaves the outcome of the call open.
UNREPEATABLE_IDLE_S = 0.2
# Share of the idle time of a connection that turned out to be forgotten that others
# may reach, and the time for which that holds, in seconds.
FORGOTTEN_SHARE = 0.5
FORGOTTEN_MEMORY_S = 10.0


class UpstreamPool:
    """Connections to the upstream beside the node, the last used one first.

    Parameters
    ----------
    address : str
        Address of the upstream, as `IP:port`.
    id_header : bytes
        Name of the header that answers echo.
    """

    __slots__ = (
        "_forgotten_limit_s",
        "_forgotten_until_s",
        "_host",
        "_id_name",
        "_idle",
        "_port",
    )

    def __init__(self, address: str, id_header: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._id_name = id_header
        self._idle: list[UpstreamConnection] = []
        # Idle time that connections may reach after one was forgotten, for a while.
        self._forgotten_limit_s = DEFAULT_IDLE_S
        self._forgotten_until_s = float("-inf")

    async def acquire(self, repeatable: bool) -> UpstreamConnection:
        """Return a connection that carries no call.

        Parameters
        ----------
        repeatable : bool
            False for a call that must not be lost to a stale connection.

        Raises
        ------
        ConnectFailed
            If no connection could be made.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = connection.idle_limit_s
            if not repeatable:
                limit_s = min(limit_s, UNREPEATABLE_IDLE_S)
            if now_s < self._forgotten_until_s:
                limit_s = min(limit_s, self._forgotten_limit_s)
            connection.rested_s = idle_s
            if idle_s < limit_s and connection.reusable():
                return connection
            connection.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._id_name), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(type(error).__name__) from error
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Take a connection back; it is kept only if it may be used again."""
        if not connection.reusable():
            if connection.forgotten and connection.rested_s > 0:
                self._note_forgotten(connection.rested_s)
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def _note_forgotten(self, rested_s: float) -> None:
        """Let connections rest for less time than one that was forgotten."""
        now_s = asyncio.get_running_loop().time()
        self._forgotten_limit_s = FORGOTTEN_SHARE * rested_s
        self._forgotten_until_s = now_s + FORGOTTEN_MEMORY_S

    def clear(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
