"""Writes log lines without ever waiting, and not more than a budget of them.

A reader that doesn't read must not stop a node, so a line goes out only if the
descriptor takes it at once. Each part of the node has a budget of lines a second;
warnings have one of their own, so that a flood of decisions can't hide them. What was
left out is told by a line of its own as soon as there is room.
"""

from __future__ import annotations

import os
import select
from collections import Counter
from collections.abc import Callable

import msgspec

__all__ = ["BoundedSink", "LineBudget"]

# Lines that one part may write in a second, and warnings besides.
LINES_PER_S = 400
WARNINGS_PER_S = 100
WINDOW_S = 1.0

_JSON = msgspec.json.Encoder(enc_hook=str)


class LineBudget:
    """Counts the lines of each part in windows of a second.

    Parameters
    ----------
    lines, warnings : int
        Lines and warnings that a part may write in a window.
    """

    __slots__ = ("_left_out", "_lines", "_spent", "_warnings", "_window_s")

    def __init__(
        self, lines: int = LINES_PER_S, warnings: int = WARNINGS_PER_S
    ) -> None:
        self._lines = lines
        self._warnings = warnings
        self._window_s = float("-inf")
        self._spent: Counter[tuple[str, bool]] = Counter()
        self._left_out: Counter[str] = Counter()

    def take(self, part: str, warning: bool, now_s: float) -> bool:
        """Spend one line of a part; return False if there is none left."""
        if now_s - self._window_s >= WINDOW_S:
            self._window_s = now_s
            self._spent.clear()
        bound = self._warnings if warning else self._lines
        if self._spent[part, warning] >= bound:
            self.leave_out(part)
            return False
        self._spent[part, warning] += 1
        return True

    def leave_out(self, part: str) -> None:
        """Count a line that isn't written."""
        self._left_out[part] += 1

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines were left out by part, and start anew."""
        left_out = dict(self._left_out)
        self._left_out.clear()
        return left_out


class BoundedSink:
    """Writes JSON lines to a descriptor.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    clock : Callable[[], float]
        Monotonic clock, in seconds.
    budget : LineBudget
        Bound on the lines of each part.
    """

    __slots__ = ("_budget", "_clock", "_descriptor", "_poll", "_rest", "_window_s")

    def __init__(
        self, descriptor: int, clock: Callable[[], float], budget: LineBudget
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._budget = budget
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._window_s = clock()
        # End of a line that the descriptor took only in part.
        self._rest = b""

    def write(self, part: str, warning: bool, line: dict[str, object]) -> None:
        """Write one line, or count it as left out."""
        now_s = self._clock()
        if now_s - self._window_s >= WINDOW_S:
            self._window_s = now_s
            self._report(line.get("time"))
        if not self._budget.take(part, warning, now_s):
            return
        if not self._put(_JSON.encode(line) + b"\n"):
            self._budget.leave_out(part)

    def _report(self, time: object) -> None:
        """Tell how many lines were left out lately."""
        left_out = self._budget.take_left_out()
        if not left_out:
            return
        line = {
            "time": time,
            "level": "WARNING",
            "part": "log",
            "message": "lines left out",
            "fields": left_out,
        }
        if not self._put(_JSON.encode(line) + b"\n"):
            for part, count in left_out.items():
                for _ in range(count):
                    self._budget.leave_out(part)

    def _put(self, data: bytes) -> bool:
        """Write without waiting; return False if nothing was taken."""
        if self._rest:
            self._rest = self._rest[self._write_some(self._rest) :]
            if self._rest:
                return False
        written = self._write_some(data)
        if written:
            self._rest = data[written:]
        return written > 0

    def _write_some(self, data: bytes) -> int:
        # A pipe that is ready takes PIPE_BUF bytes without waiting.
        if not self._poll.poll(0):
            return 0
        try:
            return os.write(self._descriptor, data[: select.PIPE_BUF])
        except OSError:
            # Nobody reads any more; the node goes on.
            return 0
