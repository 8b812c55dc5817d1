"""Allocates ports that no other test process on the machine allocates.

A port that is free at allocation can be taken by another process before its user
binds it. Ports are therefore allocated from blocks: a process owns a block while it
listens on the block's first port, which is never allocated.
"""

from __future__ import annotations

import contextlib
import os
import socket

__all__ = ["PortAllocator", "free_ports"]

# All blocks are below the ephemeral ports, from which the system assigns the local
# ports of outgoing connections.
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 100
BLOCK_COUNT = 220


class PortAllocator:
    """Allocates ports from the blocks that it owns, and claims blocks as needed.

    Parameters
    ----------
    first_block : int
        Number of the block to try to claim first.
    """

    def __init__(self, first_block: int) -> None:
        self._next_block = first_block % BLOCK_COUNT
        # Listening sockets on the first ports of the owned blocks.
        self._guard_sockets: list[socket.socket] = []
        self._unallocated: list[int] = []
        self._allocated: list[int] = []

    def allocate(self) -> int:
        """Return a port that is free now.

        Once no block is left to claim, earlier ports are allocated again, oldest first.
        """
        while True:
            if not self._unallocated and not self._claim_block():
                self._unallocated, self._allocated = self._allocated, []
            port = self._unallocated.pop(0)
            self._allocated.append(port)
            if _is_free(port):
                return port

    def close(self) -> None:
        """Release all blocks."""
        while self._guard_sockets:
            self._guard_sockets.pop().close()
        self._unallocated.clear()
        self._allocated.clear()

    def _claim_block(self) -> bool:
        """Claim one more block; return False if all blocks are owned."""
        for offset in range(BLOCK_COUNT):
            block = (self._next_block + offset) % BLOCK_COUNT
            port = FIRST_PORT + block * PORTS_PER_BLOCK
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", port))
                guard.listen()
            except OSError:
                guard.close()
                continue
            self._guard_sockets.append(guard)
            self._unallocated.extend(range(port + 1, port + PORTS_PER_BLOCK))
            self._next_block = (block + 1) % BLOCK_COUNT
            return True
        return False


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other test process allocates."""
    return [_allocator.allocate() for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        return True
    return False


_allocator = PortAllocator(os.getpid())
