"""What gypsumlock needs of the platform, as abstract services.

Every call can fail with `PLATFORM_UNREACHABLE`, and a write whose answer is
lost may have taken effect. Callers settle such a write by reading.
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
    """Demands that a row has a revision; None demands that it is absent."""

    key: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class Write:
    """Puts a value under a key; None deletes the row."""

    key: str
    value: str | None


class TableService(ABC):
    """A transactional table of small rows, ordered by key."""

    @abstractmethod
    async def get(self, key: str) -> Result[Row | None, Fault]:
        """Return the row under a key, or None when there is none."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows with keys of `prefix` greater than `after`."""

    @abstractmethod
    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[None, Fault]:
        """Make all writes if all conditions hold, else none.

        Errors are `PLATFORM_CONDITION_FAILED`, and `PLATFORM_UNREACHABLE` when
        the outcome is not known.
        """


class ObjectStore(ABC):
    """A store of immutable objects, named by their content."""

    @abstractmethod
    async def put(self, name: str, payload: bytes) -> Result[None, Fault]:
        """Store an object; storing the same name again changes nothing."""

    @abstractmethod
    async def fetch(self, name: str) -> Result[bytes, Fault]:
        """Return an object, or `PLATFORM_NOT_FOUND`."""


class Platform(TableService, ObjectStore, ABC):
    """Both services of the platform behind one object."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
