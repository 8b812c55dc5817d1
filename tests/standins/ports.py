"""Hands out ports that no other test process on the machine hands out.

A port that is free now can be taken before its user listens on it. So ports come in
blocks, and a process owns a block while it holds the block's first port, which it
never hands out.
"""

from __future__ import annotations

import contextlib
import os
import socket

__all__ = ["PortAllocator", "free_ports"]

# Below the range that the system gives to outgoing connections.
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 100
BLOCKS = 220


class PortAllocator:
    """Ports of the blocks that this object owns.

    Parameters
    ----------
    first_block : int
        Number of the block that is tried first.
    """

    def __init__(self, first_block: int) -> None:
        self._next_block = first_block % BLOCKS
        # Held for as long as their blocks are owned.
        self._guards: list[socket.socket] = []
        self._unused: list[int] = []
        self._used: list[int] = []

    def allocate(self) -> int:
        """Return a port that is free now; one of the oldest again at the end."""
        while True:
            if not self._unused and not self._claim_block():
                self._unused, self._used = self._used, []
            port = self._unused.pop(0)
            self._used.append(port)
            if _is_free(port):
                return port

    def close(self) -> None:
        """Give all blocks up."""
        while self._guards:
            self._guards.pop().close()
        self._unused.clear()
        self._used.clear()

    def _claim_block(self) -> bool:
        """Own one more block; return False if every block has an owner."""
        for step in range(BLOCKS):
            number = (self._next_block + step) % BLOCKS
            port = FIRST_PORT + number * PORTS_PER_BLOCK
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", port))
                guard.listen()
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            self._unused.extend(range(port + 1, port + PORTS_PER_BLOCK))
            self._next_block = (number + 1) % BLOCKS
            return True
        return False


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that nobody else is given."""
    return [_blocks.allocate() for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        return True
    return False


_blocks = PortAllocator(os.getpid())
