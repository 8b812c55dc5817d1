"""A controller: a loop with one job, driven by the blackboard.

Controllers read entries, decide, and write entries. None calls another.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import anyio

from gypsumlock import defaults

__all__ = ["Backoff", "Controller"]


class Controller(ABC):
    """One long-running task of the node."""

    @abstractmethod
    async def run(self) -> None:
        """Run until cancelled; a controller that returns has failed."""


class Backoff:
    """Full-jitter exponential backoff.

    Parameters
    ----------
    base_s, max_s : float
        Bounds of the delay: the first upper bound and the last, in seconds.
    """

    __slots__ = ("_base_s", "_bound_s", "_max_s")

    def __init__(
        self,
        base_s: float = defaults.RETRY_BASE_S,
        max_s: float = defaults.RETRY_MAX_S,
    ) -> None:
        self._base_s = base_s
        self._max_s = max_s
        self._bound_s = base_s

    def reset(self) -> None:
        """Start again from the first delay."""
        self._bound_s = self._base_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = random.uniform(0, self._bound_s)
        self._bound_s = min(self._max_s, 2 * self._bound_s)
        return delay_s

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await anyio.sleep(self.next_delay_s())
