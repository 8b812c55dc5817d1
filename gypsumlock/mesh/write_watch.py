"""Closes connections whose peer reads nothing of what waits for it.

A client that sends requests and reads no answers would otherwise hold them in memory
for good. A slow client goes on reading, and is left alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["WriteWatch"]


class WriteWatch:
    """Checks at intervals that a connection's unsent bytes become fewer.

    Parameters
    ----------
    interval_s : Callable[[], float]
        Returns the time in which the peer must read something, in seconds.
    """

    __slots__ = ("_interval_s", "_last_bytes", "_timer", "_transport")

    def __init__(self, interval_s: Callable[[], float]) -> None:
        self._interval_s = interval_s
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Bytes that the peer had not read at the last check, and those added since.
        self._last_bytes = 0

    def start(self, transport: asyncio.Transport | None) -> None:
        """Watch what waits now, unless it is watched already."""
        if transport is not None and self._timer is None:
            self._transport = transport
            self._last_bytes = transport.get_write_buffer_size()
            self._schedule()

    def record_write(self, size_bytes: int) -> None:
        """Count bytes that are about to be written."""
        self._last_bytes += size_bytes

    def stop(self) -> None:
        """Stop: the peer has read most of it, or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval_s(), self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport is None:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes >= self._last_bytes > 0:
            self._transport.abort()
        elif unsent_bytes > 0:
            self._last_bytes = unsent_bytes
            self._schedule()
