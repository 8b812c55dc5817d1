"""Aborts the connection of a request without sending a response."""

from __future__ import annotations

from typing import Any

from gypsumlock.proxy.request import Send

__all__ = ["abort_connection"]


def abort_connection(send: Send) -> None:
    """Abort the connection of a request.

    uvicorn's `send` is a bound method of the object that owns the transport.
    """
    cycle: Any = getattr(send, "__self__")  # noqa: B009
    cycle.transport.abort()
