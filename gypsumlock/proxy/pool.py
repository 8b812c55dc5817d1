"""Connection pool: reuses connections to upstreams and nodes between calls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import defaultdict

from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.proxy.connection import Http1Connection, UpstreamConnection
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ConnectionPool", "Http1ConnectionPool"]


class ConnectionPool(ABC):
    """Lends connections to calls and keeps those that can be reused."""

    @abstractmethod
    async def acquire(
        self, address: str, limit: int
    ) -> Result[UpstreamConnection, Fault]:
        """Return a connection that no other call uses.

        Parameters
        ----------
        address : str
            Address of the peer, as `IP:port`.
        limit : int
            Largest number of connections to this address, including busy ones.
        """

    @abstractmethod
    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, which keeps it only if it is reusable."""

    @abstractmethod
    def close(self) -> None:
        """Close every idle connection."""


class Http1ConnectionPool(ConnectionPool):
    """Pools `Http1Connection` objects; the most recently used one is reused first."""

    __slots__ = ("_idle", "_open_counts")

    def __init__(self) -> None:
        self._idle: dict[str, list[Http1Connection]] = defaultdict(list)
        # Number of connections that are open or being opened, by address.
        self._open_counts: dict[str, int] = defaultdict(int)

    async def acquire(
        self, address: str, limit: int
    ) -> Result[UpstreamConnection, Fault]:
        """Return an idle connection that is still open, or a new one."""
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            fresh = connection.idle_s() < defaults.POOL_IDLE_TIMEOUT_S
            if fresh and connection.reusable():
                return Ok(connection)
            self._discard(address, connection)
        if self._open_counts[address] >= limit:
            detail = f"{address} already has {limit} connections"
            return Err(Fault(ResultCode.CALL_OVERLOADED, detail))
        return await self._connect(address)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, which keeps it only if it is reusable."""
        assert isinstance(connection, Http1Connection)
        if connection.reusable():
            connection.mark_idle()
            self._idle[address].append(connection)
        else:
            self._discard(address, connection)

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            connections = self._idle[address]
            while connections:
                self._discard(address, connections.pop())

    def prune(self) -> None:
        """Close connections idle for longer than `POOL_IDLE_TIMEOUT_S`."""
        for address in list(self._idle):
            expired = [
                c
                for c in self._idle[address]
                if c.idle_s() > defaults.POOL_IDLE_TIMEOUT_S
            ]
            for connection in expired:
                self._idle[address].remove(connection)
                self._discard(address, connection)

    async def _connect(self, address: str) -> Result[UpstreamConnection, Fault]:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._open_counts[address] += 1
        try:
            async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    Http1Connection, host.strip("[]"), int(port)
                )
        except (OSError, TimeoutError) as error:
            self._decrement_open_count(address)
            detail = f"no connection to {address}: {type(error).__name__}"
            return Err(Fault(ResultCode.CALL_UPSTREAM_UNREACHABLE, detail))
        except BaseException:
            self._decrement_open_count(address)
            raise
        return Ok(connection)

    def _discard(self, address: str, connection: Http1Connection) -> None:
        connection.close()
        self._decrement_open_count(address)

    def _decrement_open_count(self, address: str) -> None:
        self._open_counts[address] -= 1
        if self._open_counts[address] == 0:
            del self._open_counts[address]
            self._idle.pop(address, None)
