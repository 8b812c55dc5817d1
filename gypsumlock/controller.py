"""Controllers, the long-running tasks of a node, and the backoff of their retries.

A controller reads entries of the blackboard, the current state of the node, and writes
others. Controllers never call one another.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import anyio

from gypsumlock import defaults

__all__ = ["Backoff", "Controller"]


class Controller(ABC):
    """A long-running task with a single responsibility, driven by the blackboard."""

    @abstractmethod
    async def run(self) -> None:
        """Run until cancelled; a controller that returns has failed."""


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    base_s, max_s : float
        Upper bound of the first delay, and the maximum that the upper bound grows to,
        in seconds.
    """

    __slots__ = ("_base_s", "_upper_bound_s", "_max_s")

    def __init__(
        self,
        base_s: float = defaults.RETRY_BASE_S,
        max_s: float = defaults.RETRY_MAX_S,
    ) -> None:
        self._base_s = base_s
        self._max_s = max_s
        self._upper_bound_s = base_s

    def reset(self) -> None:
        """Return to the upper bound of the first delay."""
        self._upper_bound_s = self._base_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = random.uniform(0, self._upper_bound_s)
        self._upper_bound_s = min(self._max_s, 2 * self._upper_bound_s)
        return delay_s

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await anyio.sleep(self.next_delay_s())
