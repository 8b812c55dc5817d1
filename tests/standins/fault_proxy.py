"""A TCP proxy in front of one node's peer address that injects faults.

The proxy runs in a thread of the test process. It identifies the node that opened a
connection by the process that owns the client's socket, so each link between two
nodes can be blocked on its own.
"""

from __future__ import annotations

import asyncio
import os
import re
import threading
from collections.abc import Callable
from pathlib import Path

from tests.standins.ports import free_ports

__all__ = ["FaultProxy"]

CHUNK_BYTES = 65_536
# Index of the inode in a row of /proc/net/tcp, counted from the local port.
INODE_FIELD_INDEX = 8


class _LoopThread:
    """An event loop in a daemon thread, shared by all proxies."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run_and_wait(self, function: Callable[[], None]) -> None:
        """Run a function in the loop and wait at most 5 s for its return."""
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait(5)


_loop_threads: list[_LoopThread] = []


def _shared_loop() -> _LoopThread:
    if not _loop_threads:
        _loop_threads.append(_LoopThread())
    return _loop_threads[0]


class FaultProxy:
    """Forwards connections to one address, and delays or blocks them on request.

    Parameters
    ----------
    target : str
        Address to forward to, as `IP:port`.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        # Delay before each chunk is forwarded, in either direction.
        self.delay_s = 0.0
        # Bytes forwarded, in both directions together.
        self.forwarded_bytes = 0
        # Ids of the processes whose connections are blocked; None blocks all.
        self._blocked_pids: set[int] | None = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._loop = _shared_loop()
        start_future = asyncio.run_coroutine_threadsafe(self._start(), self._loop.loop)
        self._server = start_future.result(5)

    def block(self, pids: set[int] | None) -> None:
        """Abort and reject connections from these processes; None means all.

        Each call replaces the processes of the previous one.
        """

        def apply() -> None:
            self._blocked_pids = pids
            if pids == set():
                return
            for writer in list(self._connections):
                if self._is_blocked(writer):
                    writer.transport.abort()

        self._loop.run_and_wait(apply)

    def clear_faults(self) -> None:
        """Remove the delay and accept connections from all processes again."""
        self.delay_s = 0.0
        self.block(set())

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.block(None)
        self._loop.run_and_wait(self._server.close)

    async def _start(self) -> asyncio.Server:
        host, _, port = self.address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_blocked(writer):
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._connections.add(writer)
        await asyncio.gather(
            self._pipe(reader, target_writer), self._pipe(target_reader, writer)
        )
        self._connections.discard(writer)

    def _is_blocked(self, writer: asyncio.StreamWriter) -> bool:
        if not self._blocked_pids:
            return self._blocked_pids is None
        inode = _client_inode(writer)
        return bool(inode) and any(
            _has_socket(pid, inode) for pid in self._blocked_pids
        )

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


def _client_inode(writer: asyncio.StreamWriter) -> str:
    """Return the inode of a connection's client socket; empty if it isn't found."""
    proxy_port = writer.get_extra_info("sockname")[1]
    client_port = writer.get_extra_info("peername")[1]
    # In the row of the client's socket the client's port is the local one and comes
    # first. Both ports are hexadecimal.
    row_pattern = rf":{client_port:04X} [0-9A-F]+:{proxy_port:04X} .*"
    for table in ("/proc/net/tcp", "/proc/net/tcp6"):
        # A single search over the whole table, as the search blocks the event loop and
        # with it all forwarding.
        text = Path(table).read_text()
        row = re.search(row_pattern, text)
        if row is not None:
            return row.group().split()[INODE_FIELD_INDEX]
    return ""


def _has_socket(pid: int, inode: str) -> bool:
    """Return whether a process has the socket with this inode open."""
    try:
        links = [os.readlink(entry) for entry in os.scandir(f"/proc/{pid}/fd")]
    except OSError:
        return False
    return f"socket:[{inode}]" in links
