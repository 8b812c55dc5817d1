"""Decides which unfinished request bodies are given up when memory runs short.

Designed for many clients whose bodies stop just before their end, or go on a byte
at a time, and stay open: together they hold all memory for requests, and keep out
everyone else. While there is room, nothing is given up here.

A body makes progress with each `PROGRESS_BYTES` that arrive. When bytes can't be held,
bodies are given up in the order of their last progress, unless it was a moment ago:
a client that sends steadily loses its body only to memory that is really in use.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

__all__ = ["UnfinishedBodies", "UnfinishedBody"]

PROGRESS_BYTES: Final = 16_384
# Time without progress after which a body may be given up, in seconds. A client on a
# link of 0.1 Mbit/s still makes progress in this time.
MIN_STALL_S: Final = 2.0


class UnfinishedBody(ABC):
    """A request body that is being received."""

    __slots__ = ()

    @abstractmethod
    def give_up(self) -> None:
        """Refuse the request, and release what is held of it."""


class UnfinishedBodies:
    """The unfinished bodies of one server, in the order of their last progress."""

    __slots__ = ("_progress",)

    def __init__(self) -> None:
        # Time of the last progress, and the bytes received until then.
        self._progress: dict[UnfinishedBody, tuple[float, int]] = {}

    def begin(self, body: UnfinishedBody, now_s: float) -> None:
        """Add a body whose head was read."""
        self._progress[body] = (now_s, 0)

    def record(self, body: UnfinishedBody, received_bytes: int, now_s: float) -> None:
        """Record how much of a body has arrived."""
        progress = self._progress.get(body)
        if progress is None or received_bytes < progress[1] + PROGRESS_BYTES:
            return
        del self._progress[body]
        self._progress[body] = (now_s, received_bytes)

    def end(self, body: UnfinishedBody) -> None:
        """Remove a body that is complete, or will not be."""
        self._progress.pop(body, None)

    def take_stalled(self, now_s: float) -> UnfinishedBody | None:
        """Remove and return the body that is given up next; None if none may be."""
        body = next(iter(self._progress), None)
        if body is None or now_s - self._progress[body][0] < MIN_STALL_S:
            return None
        del self._progress[body]
        return body
