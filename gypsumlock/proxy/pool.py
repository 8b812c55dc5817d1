"""Connections to upstreams and nodes, kept between calls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import defaultdict

from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.proxy.connection import RawConnection, UpstreamConnection
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ConnectionPool", "RawPool"]


class ConnectionPool(ABC):
    """Hands out connections and takes them back."""

    @abstractmethod
    async def acquire(
        self, address: str, limit: int
    ) -> Result[UpstreamConnection, Fault]:
        """Return a connection that carries no call.

        Parameters
        ----------
        address : str
            Target as `IP:port`.
        limit : int
            Connections to the target that may exist at once.
        """

    @abstractmethod
    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Take a connection back; it is kept only if it may be used again."""

    @abstractmethod
    def close(self) -> None:
        """Close every idle connection."""


class RawPool(ConnectionPool):
    """Keeps `RawConnection` objects, the last used one first."""

    __slots__ = ("_idle", "_open")

    def __init__(self) -> None:
        self._idle: dict[str, list[RawConnection]] = defaultdict(list)
        # Connections that exist or are being made, by address.
        self._open: dict[str, int] = defaultdict(int)

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
            self._drop(address, connection)
        if self._open[address] >= limit:
            found = f"{address} already has {limit} connections"
            return Err(Fault(ResultCode.CALL_OVERLOADED, found))
        return await self._connect(address)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Take a connection back; it is kept only if it may be used again."""
        assert isinstance(connection, RawConnection)
        if connection.reusable():
            connection.rest()
            self._idle[address].append(connection)
        else:
            self._drop(address, connection)

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            connections = self._idle[address]
            while connections:
                self._drop(address, connections.pop())

    def prune(self) -> None:
        """Close connections that were idle for too long."""
        for address in list(self._idle):
            old = [
                c
                for c in self._idle[address]
                if c.idle_s() > defaults.POOL_IDLE_TIMEOUT_S
            ]
            for connection in old:
                self._idle[address].remove(connection)
                self._drop(address, connection)

    async def _connect(self, address: str) -> Result[UpstreamConnection, Fault]:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._open[address] += 1
        try:
            async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    RawConnection, host.strip("[]"), int(port)
                )
        except (OSError, TimeoutError) as error:
            self._forget(address)
            found = f"no connection to {address}: {type(error).__name__}"
            return Err(Fault(ResultCode.CALL_UPSTREAM_UNREACHABLE, found))
        except BaseException:
            self._forget(address)
            raise
        return Ok(connection)

    def _drop(self, address: str, connection: RawConnection) -> None:
        connection.close()
        self._forget(address)

    def _forget(self, address: str) -> None:
        self._open[address] -= 1
        if self._open[address] == 0:
            del self._open[address]
            self._idle.pop(address, None)
