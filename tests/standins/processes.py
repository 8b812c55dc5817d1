"""Starts, signals and stops the processes of a test fleet, by pid."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import TypeVar

__all__ = ["Process", "wait_until"]

T = TypeVar("T")

POLL_S = 0.02


def wait_until(
    check: Callable[[], T],
    timeout_s: float,
    what: str,
    explain: Callable[[], object] = lambda: "",
) -> T:
    """Return the first true value of `check`, or raise after a time.

    Parameters
    ----------
    check : Callable[[], T]
        Called again and again.
    timeout_s : float
        Time after which to give up, in seconds.
    what : str
        What was waited for, for the error.
    explain : Callable[[], object]
        Called for more about the state when time has run out.
    """
    give_up_at_s = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > give_up_at_s:
            raise TimeoutError(
                f"{what}: not within {timeout_s} s (last: {value!r}) {explain()}"
            )
        time.sleep(POLL_S)


class Process:
    """One child process whose output goes to a file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self._arguments = arguments
        self.log_path = log
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        with self.log_path.open("ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._child is not None
        return self._child.pid

    def running(self) -> bool:
        """Tell whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        self.wait(10)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Freeze the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._child is not None
        return self._child.wait(timeout_s)

    def __enter__(self) -> Process:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.running():
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.running() and self._child is not None:
            self._child.send_signal(number)
