"""Clients that send more than they may, or leave their requests unfinished.

Each client sends a start, then a part again and again, and then waits until its
connection is closed. What it sends is bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from types import TracebackType

import psutil

__all__ = ["Crowd", "HostileClient", "ProcessWatch"]

WATCH_INTERVAL_S = 0.01
# Time in which clients may send before the test goes on beside them, in seconds.
SETTLE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class HostileClient:
    """What one client sends."""

    start: bytes
    part: bytes = b""
    # Bytes of all parts together.
    part_bytes: int = 0
    # Pause between two parts, in seconds.
    pause_s: float = 0.0

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Send everything, unless the server closes the connection."""
        with contextlib.suppress(ConnectionError):
            writer.write(self.start)
            await writer.drain()
            for _ in range(self.part_bytes // max(1, len(self.part))):
                writer.write(self.part)
                await writer.drain()
                await asyncio.sleep(self.pause_s)


class Crowd:
    """Copies of one client; their connections stay open until the end of the block.

    Parameters
    ----------
    address : str
        Address of the server, as `IP:port`.
    client : HostileClient
        What each of them sends.
    size : int
        Number of clients.
    """

    def __init__(self, address: str, client: HostileClient, size: int) -> None:
        self._address = address
        self._client = client
        self._size = size
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Crowd:
        """Connect all clients, and wait a while until they have sent what they can."""
        self._tasks = [
            asyncio.create_task(self._run_client()) for _ in range(self._size)
        ]
        await asyncio.wait(self._tasks, timeout=SETTLE_TIMEOUT_S)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self) -> None:
        host, _, port = self._address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            return
        self._writers.append(writer)
        await self._client.send(writer)


class ProcessWatch:
    """Samples memory and open descriptors of a process during a block.

    Parameters
    ----------
    pid : int
        The process.
    """

    def __init__(self, pid: int) -> None:
        self._process = psutil.Process(pid)
        self._task: asyncio.Task[None] | None = None
        self.max_rss_bytes = 0
        self.max_descriptors = 0

    async def __aenter__(self) -> ProcessWatch:
        self._sample()
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._task is not None
        self._task.cancel()

    async def _watch(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _sample(self) -> None:
        with contextlib.suppress(psutil.NoSuchProcess):
            rss_bytes = self._process.memory_info().rss
            self.max_rss_bytes = max(self.max_rss_bytes, rss_bytes)
            self.max_descriptors = max(self.max_descriptors, self._process.num_fds())
