"""The era of the store, and versions that carry it.

A store that comes back from a copy has lost what was written since, and issues the
same versions again. It counts its eras. A version is kept as one number of which the
upper part is the era: of two versions, the one of the later era is the newer one,
wherever they were read, and a version of one era never equals one of another. The
number travels in rows, cursors and messages between nodes like any version.

A store that reports no era has era 0; its versions are the numbers that it issues.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumlock.logs import Component, get_logger

__all__ = [
    "MAX_ERA",
    "MAX_STORE_VERSION",
    "StoreEra",
    "add_era",
    "era_of",
    "store_version",
]

log = get_logger(Component.CONFIG)

# Bits of a version that the store itself issues; 14 bits are left for the era.
VERSION_BITS: Final = 48
MAX_STORE_VERSION: Final = 2**VERSION_BITS - 1
MAX_ERA: Final = 2**14 - 1


def add_era(version: int, era: int) -> int:
    """Return a version of the store with its era; 0, for no row, has none."""
    return version + (era << VERSION_BITS) if version else 0


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> VERSION_BITS


def store_version(version: int) -> int:
    """Return a version as the store issued it, without its era."""
    return version & MAX_STORE_VERSION


class StoreEra:
    """The latest era that this node knows of, from the store or another node."""

    __slots__ = ("_listeners", "number")

    def __init__(self) -> None:
        self.number = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have a function called when a later era has begun.

        What this node has written may be lost then.
        """
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Note an era; notify the listeners if it is later than all before."""
        if era <= self.number:
            return
        before, self.number = self.number, era
        if before:
            log.warning("store came back from a copy", era=era, before=before)
        for listener in self._listeners:
            listener()
