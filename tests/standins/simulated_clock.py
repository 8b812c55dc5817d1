"""Event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_simulated"]

_T = TypeVar("_T")


class _JumpingSelector(selectors.SelectSelector):
    """Adds each timeout to the time of the clock, and returns at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now_s


def run_simulated(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine that does no I/O; its waits take no time."""
    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        return runner.run(main)
