"""A TCP proxy whose connections can go silent, the open ones or all of them."""

from __future__ import annotations

import asyncio

from standins_2.wire import split_address

__all__ = ["SilentProxy"]


class _Link:
    """One connection through the proxy."""

    def __init__(self, is_silent: bool) -> None:
        self.is_silent = is_silent
        self.sent_bytes = 0

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, count: bool
    ) -> None:
        """Forward bytes until one side closes; a silent link drops them."""
        try:
            while data := await reader.read(65536):
                if self.is_silent:
                    continue
                if count:
                    self.sent_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.is_silent:
            writer.close()


class SilentProxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self._target = target
        # True while new connections are silent, too.
        self._is_cut = False
        self._links: list[_Link] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def sent_bytes(self) -> int:
        """Return the number of bytes forwarded to the target."""
        return sum(link.sent_bytes for link in self._links)

    def silence_open_connections(self) -> int:
        """Forward nothing more on the open connections; return their number."""
        open_links = [link for link in self._links if not link.is_silent]
        for link in open_links:
            link.is_silent = True
        return len(open_links)

    def cut(self) -> None:
        """Forward nothing more, on new connections neither."""
        self._is_cut = True
        self.silence_open_connections()

    def heal(self) -> None:
        """Forward what comes on new connections."""
        self._is_cut = False

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(self._is_cut)
        self._links.append(link)
        to_reader, to_writer = await asyncio.open_connection(
            *split_address(self._target)
        )
        self._writers += [writer, to_writer]
        for forward in (
            link.forward(reader, to_writer, count=True),
            link.forward(to_reader, writer, count=False),
        ):
            task = asyncio.create_task(forward)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
