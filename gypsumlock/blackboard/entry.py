"""A single value on the blackboard whose changes can be awaited.

Invariants: the revision increases by one with each write, and a value is
replaced as a whole, never modified in place. All access is from one event loop.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

__all__ = ["Entry"]

T = TypeVar("T")


class Entry(Generic[T]):
    """Holds one typed value with a revision.

    Parameters
    ----------
    value : T
        Initial value, at revision 0.
    """

    __slots__ = ("_changed", "_revision", "_value")

    def __init__(self, value: T) -> None:
        self._value = value
        self._revision = 0
        self._changed: anyio.Event | None = None

    @property
    def revision(self) -> int:
        """Number of writes so far."""
        return self._revision

    def read(self) -> T:
        """Return the current value."""
        return self._value

    def write(self, value: T) -> None:
        """Replace the value and wake all tasks that wait on the entry."""
        self._value = value
        self._revision += 1
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def wait_past(self, revision: int) -> int:
        """Wait until the revision exceeds `revision`; return the new revision."""
        while self._revision <= revision:
            if self._changed is None:
                self._changed = anyio.Event()
            await self._changed.wait()
        return self._revision

    async def wait_until(self, predicate: Callable[[T], bool]) -> T:
        """Wait until `predicate` is true for the value, and return that value."""
        while not predicate(self._value):
            await self.wait_past(self._revision)
        return self._value
