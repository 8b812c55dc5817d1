"""Writes to connections, and tells whether written bytes still wait."""

from __future__ import annotations

import asyncio

__all__ = ["has_unsent_bytes", "write_with_head"]

# Size up to which a body is copied behind its head, so that both leave in one write.
MAX_JOINED_BYTES = 65_536


def has_unsent_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether written bytes wait for the peer; they are lost at a process exit.

    Parameters
    ----------
    transport : asyncio.Transport | None
        Transport of the connection; None before it is established.
    """
    return transport is not None and transport.get_write_buffer_size() > 0


def write_with_head(transport: asyncio.Transport, head: bytes, body: bytes) -> None:
    """Write a head and a body, without a second copy of a large body.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    head, body : bytes
        What is written.
    """
    if len(body) <= MAX_JOINED_BYTES:
        transport.write(head + body)
        return
    transport.write(head)
    transport.write(body)
