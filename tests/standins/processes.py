"""Starts, signals and stops the processes of a test fleet, each by its pid."""

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

POLL_INTERVAL_S = 0.02


def wait_until(
    check: Callable[[], T],
    timeout_s: float,
    description: str,
    diagnostics: Callable[[], object] = lambda: "",
) -> T:
    """Return the first true value of `check`; raise `TimeoutError` if none comes.

    Parameters
    ----------
    check : Callable[[], T]
        Condition that is polled.
    timeout_s : float
        Timeout in seconds.
    description : str
        The expected condition, for the error message.
    diagnostics : Callable[[], object]
        Called on a timeout; returns more about the state for the error message.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"{description}: timed out after {timeout_s} s "
                f"(last value: {value!r}) {diagnostics()}"
            )
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A child process whose output is appended to a log file."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self._arguments = arguments
        self.log_path = log_path
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with its output appended to the log."""
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
        """Return whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        self.wait(10)

    def terminate(self) -> None:
        """Ask the process to stop, with SIGTERM."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Wait until the process has exited and return its exit code."""
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
