"""Table of what is kept by a name that comes from outside, such as that of a route.

Versions of the configuration come and go, and each has other routes. A node that kept
something for every name that it was ever told would grow without bound.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["MAX_NAMES", "RecentTable"]

# Names of one table.
MAX_NAMES = 1024

_KeyT = TypeVar("_KeyT", bound=Hashable)
_ValueT = TypeVar("_ValueT")
_DefaultT = TypeVar("_DefaultT")


class RecentTable(Generic[_KeyT, _ValueT]):
    """Values of the names that were set last; the others are forgotten.

    Parameters
    ----------
    max_names : int
        Names that are kept.
    """

    __slots__ = ("_max_names", "_values")

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        # In the order in which they were set.
        self._values: dict[_KeyT, _ValueT] = {}

    def __contains__(self, name: _KeyT) -> bool:
        return name in self._values

    def __len__(self) -> int:
        return len(self._values)

    def __getitem__(self, name: _KeyT) -> _ValueT:
        return self._values[name]

    def __setitem__(self, name: _KeyT, value: _ValueT) -> None:
        values = self._values
        values.pop(name, None)
        values[name] = value
        if len(values) > self._max_names:
            del values[next(iter(values))]

    def get(self, name: _KeyT, default: _DefaultT) -> _ValueT | _DefaultT:
        """Return the value of a name, or a default if it has none."""
        return self._values.get(name, default)

    def values(self) -> list[_ValueT]:
        """Return all values, the one that was set last at the end."""
        return list(self._values.values())
