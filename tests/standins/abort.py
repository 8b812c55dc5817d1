"""Cuts the connection of a request without an answer."""

from __future__ import annotations

from typing import Any

from gypsumlock.proxy.request import Send

__all__ = ["abort_connection"]


def abort_connection(send: Send) -> None:
    """Abort the connection; uvicorn's `send` belongs to the object that owns it."""
    cycle: Any = getattr(send, "__self__")  # noqa: B009
    cycle.transport.abort()
