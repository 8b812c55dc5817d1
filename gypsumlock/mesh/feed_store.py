"""A table that can be followed: read whole, then wait for what changes.

Every call can fail with `PLATFORM_UNREACHABLE`. A write whose answer is lost may
have taken effect, or take effect later if its condition still holds.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from gypsumlock.result_codes import Fault

__all__ = ["FeedRow", "FeedStore", "TableChanges", "WriteOutcome"]


@dataclass(frozen=True, slots=True)
class FeedRow:
    """One row; `value` is None once the row was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows of a table, and the version of the store that they are as of."""

    rows: tuple[FeedRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """What became of a conditional write.

    `current` is None if the write was made, else the row that stood against it.
    """

    version: int
    current: FeedRow | None = None


class FeedStore(ABC):
    """Tables of small rows with one growing version counter."""

    @abstractmethod
    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        """Return all rows of a table."""

    @abstractmethod
    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        """Wait for rows changed after a version.

        Errors include `PLATFORM_HISTORY_LOST` when the table must be read anew.
        """

    @abstractmethod
    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        """Write a row if its version is the expected one; 0 means no row."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
