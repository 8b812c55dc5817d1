"""Interfaces of the platform services that gypsumlock uses.

Every call can fail with `PLATFORM_UNREACHABLE`, and a write whose response is
lost may have taken effect. Callers determine the outcome of such a write by
reading.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from gypsumlock.result_codes import Fault

__all__ = ["Condition", "ObjectStore", "Platform", "Row", "TableService", "Write"]


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table. Its revision changes with every write."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has a revision; None requires that it does not exist."""

    key: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class Write:
    """Sets the value of a key; None deletes the row."""

    key: str
    value: str | None


class TableService(ABC):
    """A transactional table of small rows, ordered by key."""

    @abstractmethod
    async def get(self, key: str) -> Result[Row | None, Fault]:
        """Return the row of a key, or None if there is none."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose keys have `prefix` and sort after `after`."""

    @abstractmethod
    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[None, Fault]:
        """Apply all writes if all conditions hold, otherwise none.

        Errors are `PLATFORM_CONDITION_FAILED`, and `PLATFORM_UNREACHABLE` if the
        outcome is unknown.
        """


class ObjectStore(ABC):
    """A store of immutable objects, named by the digests of their content."""

    @abstractmethod
    async def put(self, name: str, payload: bytes) -> Result[None, Fault]:
        """Store an object; an existing object of that name is left unchanged."""

    @abstractmethod
    async def fetch(self, name: str) -> Result[bytes, Fault]:
        """Return an object, or `PLATFORM_NOT_FOUND`."""


class Platform(TableService, ObjectStore, ABC):
    """The platform's table service and object store in one interface."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
