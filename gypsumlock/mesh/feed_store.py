"""Interface of a table store whose changes can be followed.

A reader reads a complete table once, then waits for changes. Every call can fail with
`PLATFORM_UNREACHABLE`. A write whose response is lost may have taken effect, or may
take effect later if its condition still holds.

All versions carry the era of the store (`mesh/store_era.py`). A call that began in
another era than it ended in has the error `PLATFORM_HISTORY_LOST`.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from gypsumlock.result_codes import Fault

__all__ = ["FeedRow", "FeedStore", "TableChanges", "WriteOutcome"]


@dataclass(frozen=True, slots=True)
class FeedRow:
    """One row; `value` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows of a table, and the version of the store at which they were read."""

    rows: tuple[FeedRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of a conditional write.

    `current` is None if the row was written. Otherwise it is the current row, whose
    version is not the expected one.
    """

    version: int
    current: FeedRow | None = None


class FeedStore(ABC):
    """Tables of small rows that share one increasing version counter."""

    @abstractmethod
    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        """Return all rows of a table."""

    @abstractmethod
    async def read_row(self, table: str, key: str) -> Result[FeedRow, Fault]:
        """Return one row; its version is 0 and its value None if it doesn't exist."""

    @abstractmethod
    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        """Return the rows changed after a version; wait up to `wait_s` for a change.

        The error is `PLATFORM_HISTORY_LOST` if the complete table must be read again.
        """

    @abstractmethod
    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        """Write a row if its version is the expected one; 0 means no such row.

        A version of an earlier era is never the expected one.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
