"""A table store in memory that can fail in the ways the real one does."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from result import Err, Ok, Result

from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges, WriteOutcome
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["MemoryFeedStore", "StoreAccess"]


class MemoryFeedStore(FeedStore):
    """Keeps rows in dictionaries; the flags bring failures about."""

    def __init__(self) -> None:
        self.version = 0
        self.tables: dict[str, dict[str, FeedRow]] = defaultdict(dict)
        self.history: list[tuple[str, FeedRow]] = []
        # While True, every call fails and does nothing.
        self.down = False
        # While True, changes are told to nobody who waits already.
        self.hang_waits = False
        # Number of writes that are made, but whose answer is lost.
        self.responses_to_lose = 0
        # Changes up to this version are forgotten.
        self.history_from = 0
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as somebody else, without a condition."""
        self.version += 1
        row = FeedRow(key, value, self.version)
        if value is None:
            self.tables[table].pop(key, None)
        else:
            self.tables[table][key] = row
        self.history.append((table, row))
        self._wake()

    def forget_history(self) -> None:
        """Drop all changes that were made so far."""
        self.history_from = self.version
        self._wake()

    def set_down(self, down: bool) -> None:
        """Take the store down, or bring it back."""
        self.down = down
        self._wake()

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        self.calls += 1
        if self.down:
            return _unreachable()
        return Ok(TableChanges(tuple(self.tables[table].values()), self.version))

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        self.calls += 1
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        if self.hang_waits:
            await asyncio.sleep(wait_s + 1.0)
            return _unreachable()
        while True:
            if self.hang_waits:
                await asyncio.sleep(max(0.0, end_s - loop.time()) + 1.0)
                return _unreachable()
            if self.down:
                return _unreachable()
            if after < self.history_from:
                found = "history is gone"
                return Err(Fault(ResultCode.PLATFORM_HISTORY_LOST, found))
            rows = tuple(
                row
                for name, row in self.history
                if name == table and row.version > after
            )
            if rows or loop.time() >= end_s:
                return Ok(TableChanges(rows, self.version))
            changed = self._changed
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        self.calls += 1
        if self.down:
            return _unreachable()
        current = self.tables[table].get(key)
        if (current.version if current else 0) != expected:
            return Ok(WriteOutcome(self.version, current or FeedRow(key, None, 0)))
        self.put(table, key, value)
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            return _unreachable()
        return Ok(WriteOutcome(self.version))

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class StoreAccess(FeedStore):
    """One node's way to a store, which counts calls and can be cut."""

    def __init__(self, store: FeedStore) -> None:
        self._store = store
        # While True, every call of this node fails.
        self.cut = False
        # Tables that were read whole or waited for, and written, call by call.
        self.called: list[str] = []

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        self.called.append(table)
        return _unreachable() if self.cut else await self._store.read_table(table)

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        self.called.append(table)
        if self.cut:
            return _unreachable()
        found = await self._store.wait_for_changes(table, after, wait_s)
        return _unreachable() if self.cut else found

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        self.called.append(table)
        if self.cut:
            return _unreachable()
        return await self._store.write_row(table, key, value, expected)

    async def close(self) -> None:
        """Do nothing; there are no connections."""


def _unreachable() -> Err[Fault]:
    return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, "the stand-in is down"))
