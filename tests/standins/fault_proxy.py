"""A TCP proxy in front of one node's peer address that injects faults.

It runs in a thread of the test process. Which node a connection comes from is
found from the process that owns its other end, so links can be cut one by one.
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
# Place of the inode in a line of the kernel's table of sockets, from the port on.
INODE_FIELD = 8


class _Loop:
    """One event loop in a thread, shared by all proxies."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, function: Callable[[], None]) -> None:
        """Run a function in the loop and wait for it."""
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait(5)


_shared: list[_Loop] = []


def _shared_loop() -> _Loop:
    if not _shared:
        _shared.append(_Loop())
    return _shared[0]


class FaultProxy:
    """Forwards connections to one address, and misbehaves on demand.

    Parameters
    ----------
    target : str
        Address to forward to, as `IP:port`.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        # Seconds that each chunk is held back in each direction.
        self.delay_s = 0.0
        # Bytes that went through, both ways.
        self.forwarded_bytes = 0
        # Process ids whose connections are cut; None cuts everybody's.
        self._cut_pids: set[int] | None = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._loop = _shared_loop()
        starting = asyncio.run_coroutine_threadsafe(self._start(), self._loop.loop)
        self._server = starting.result(5)

    def block(self, pids: set[int] | None) -> None:
        """Cut connections that come from some processes; None for all."""

        def apply() -> None:
            self._cut_pids = pids
            if pids == set():
                return
            for writer in list(self._connections):
                if self._is_cut(writer):
                    writer.transport.abort()

        self._loop.call(apply)

    def clear_faults(self) -> None:
        """Let everybody through again."""
        self.delay_s = 0.0
        self.block(set())

    def close(self) -> None:
        """Stop listening and cut everything."""
        self.block(None)
        self._loop.call(self._server.close)

    async def _start(self) -> asyncio.Server:
        host, _, port = self.address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut(writer):
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._connections.add(writer)
        await asyncio.gather(
            self._pipe(reader, far_writer), self._pipe(far_reader, writer)
        )
        self._connections.discard(writer)

    def _is_cut(self, writer: asyncio.StreamWriter) -> bool:
        if not self._cut_pids:
            return self._cut_pids is None
        inode = _far_inode(writer)
        return bool(inode) and any(_owns(pid, inode) for pid in self._cut_pids)

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


def _far_inode(writer: asyncio.StreamWriter) -> str:
    """Return the inode of the socket at a connection's other end, or no text."""
    near_port = writer.get_extra_info("sockname")[1]
    far_port = writer.get_extra_info("peername")[1]
    # The other end's own port stands first, both in hexadecimal.
    ends = rf":{far_port:04X} [0-9A-F]+:{near_port:04X} .*"
    for table in ("/proc/net/tcp", "/proc/net/tcp6"):
        # One search in the text: the proxy carries nothing while it looks.
        text = Path(table).read_text()
        found = re.search(ends, text)
        if found is not None:
            return found.group().split()[INODE_FIELD]
    return ""


def _owns(pid: int, inode: str) -> bool:
    """Tell whether a process has a socket open."""
    try:
        links = [os.readlink(entry) for entry in os.scandir(f"/proc/{pid}/fd")]
    except OSError:
        return False
    return f"socket:[{inode}]" in links
