"""Non-blocking, rate-limited output of log lines.

A stalled reader must not block a node, so a line is written only if the file descriptor
accepts it immediately; otherwise it is dropped. Each component of the node has a rate
limit. Warnings have a separate limit, so that a flood of log lines about decisions
can't hide them. The number of dropped lines is logged as soon as there is room again.
"""

from __future__ import annotations

import os
import select
from collections import Counter
from collections.abc import Callable

import msgspec

__all__ = ["BoundedSink", "LogRateLimiter"]

# Lines that a component may write per second; warnings have a limit of their own.
LINES_PER_S = 400
WARNINGS_PER_S = 100
WINDOW_S = 1.0

_JSON_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LogRateLimiter:
    """Limits the lines of each component in fixed windows of one second.

    Parameters
    ----------
    max_lines, max_warnings : int
        Lines and, separately, warnings that a component may write in a window.
    """

    __slots__ = (
        "_dropped",
        "_max_lines",
        "_line_counts",
        "_max_warnings",
        "_window_start_s",
    )

    def __init__(
        self, max_lines: int = LINES_PER_S, max_warnings: int = WARNINGS_PER_S
    ) -> None:
        self._max_lines = max_lines
        self._max_warnings = max_warnings
        self._window_start_s = float("-inf")
        self._line_counts: Counter[tuple[str, bool]] = Counter()
        self._dropped: Counter[str] = Counter()

    def allow(self, component: str, is_warning: bool, now_s: float) -> bool:
        """Count a line of a component; return False if it exceeds the limit."""
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._line_counts.clear()
        limit = self._max_warnings if is_warning else self._max_lines
        if self._line_counts[component, is_warning] >= limit:
            self.record_dropped(component)
            return False
        self._line_counts[component, is_warning] += 1
        return True

    def record_dropped(self, component: str) -> None:
        """Count a line that was not written."""
        self._dropped[component] += 1

    def pop_dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by component, and reset it."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped


class BoundedSink:
    """Writes JSON lines to a file descriptor; drops lines rather than block.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    clock : Callable[[], float]
        Monotonic clock, in seconds.
    rate_limiter : LogRateLimiter
        Rate limiter for the lines of each component.
    """

    __slots__ = (
        "_rate_limiter",
        "_clock",
        "_descriptor",
        "_poll",
        "_remainder",
        "_window_start_s",
    )

    def __init__(
        self, descriptor: int, clock: Callable[[], float], rate_limiter: LogRateLimiter
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._window_start_s = clock()
        # Remainder of a line that was only partially written.
        self._remainder = b""

    def write(self, component: str, is_warning: bool, line: dict[str, object]) -> None:
        """Write one line, or count it as dropped."""
        now_s = self._clock()
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._report_dropped(line.get("time"))
        if not self._rate_limiter.allow(component, is_warning, now_s):
            return
        if not self._write_line(_JSON_ENCODER.encode(line) + b"\n"):
            self._rate_limiter.record_dropped(component)

    def _report_dropped(self, time: object) -> None:
        """Log the number of lines dropped since the last such report."""
        dropped = self._rate_limiter.pop_dropped()
        if not dropped:
            return
        line = {
            "time": time,
            "level": "WARNING",
            "part": "log",
            "message": "log lines dropped",
            "fields": dropped,
        }
        if not self._write_line(_JSON_ENCODER.encode(line) + b"\n"):
            for component, count in dropped.items():
                for _ in range(count):
                    self._rate_limiter.record_dropped(component)

    def _write_line(self, data: bytes) -> bool:
        """Write a line without blocking; return False if none of it was written."""
        if self._remainder:
            self._remainder = self._remainder[self._try_write(self._remainder) :]
            if self._remainder:
                return False
        written = self._try_write(data)
        if written:
            self._remainder = data[written:]
        return written > 0

    def _try_write(self, data: bytes) -> int:
        # A pipe that poll reports as writable accepts PIPE_BUF bytes without blocking.
        if not self._poll.poll(0):
            return 0
        try:
            return os.write(self._descriptor, data[: select.PIPE_BUF])
        except OSError:
            # The reader is gone; the node keeps running.
            return 0
