"""In-memory table store with the failure modes of the real one.

Its versions carry its era, as those of `FeedStore` do.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, TypeVar

from result import Err, Ok, Result

from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges, WriteOutcome
from gypsumlock.mesh.store_era import StoreEra, add_era, era_of, store_version
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["MemoryFeedStore", "StoreAccess"]

_AnswerT = TypeVar("_AnswerT")


class MemoryFeedStore(FeedStore):
    """Stores rows in dictionaries; flags and counters inject failures."""

    def __init__(self) -> None:
        self.version = 0
        # Times at which it came back from a copy, and 1; 0 if it tells no era.
        self.era = 0
        self.tables: dict[str, dict[str, FeedRow]] = defaultdict(dict)
        self.history: list[tuple[str, FeedRow]] = []
        # While True, every call fails without effect.
        self.down = False
        # While True, waits for changes return no changes: they hang past their
        # timeout, then fail.
        self.hang_waits = False
        # Number of further writes that take effect, but whose response is lost.
        self.responses_to_lose = 0
        # Changes up to this version are no longer in the history.
        self.history_start_version = 0
        self.call_count = 0
        self._changed = asyncio.Event()
        self._copy: tuple[int, dict[str, dict[str, FeedRow]]] = (0, {})

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row unconditionally, as another client of the store would."""
        self.version = add_era(store_version(self.version) + 1, self.era)
        row = FeedRow(key, value, self.version)
        if value is None:
            self.tables[table].pop(key, None)
        else:
            self.tables[table][key] = row
        self.history.append((table, row))
        self._notify_waiters()

    def begin_eras(self) -> None:
        """Tell an era from now on; called before anything is written."""
        self.era = 1

    def copy(self) -> None:
        """Keep a copy of all rows."""
        rows = {table: dict(rows) for table, rows in self.tables.items()}
        self._copy = (store_version(self.version), rows)

    def restore(self) -> None:
        """Come back from the copy: what was written since is lost."""
        self.era += 1
        version, tables = self._copy
        self.version = add_era(version, self.era)
        self.tables.clear()
        self.history = []
        for table, rows in tables.items():
            for row in rows.values():
                row_version = add_era(store_version(row.version), self.era)
                restored = FeedRow(row.key, row.value, row_version)
                self.tables[table][row.key] = restored
                self.history.append((table, restored))
        self._notify_waiters()

    def forget_history(self) -> None:
        """Drop all changes made so far from the history."""
        self.history_start_version = self.version
        self._notify_waiters()

    def set_down(self, down: bool) -> None:
        """Take the store down, or bring it back."""
        self.down = down
        self._notify_waiters()

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        self.call_count += 1
        if self.down:
            return _unreachable()
        return Ok(TableChanges(tuple(self.tables[table].values()), self.version))

    async def read_row(self, table: str, key: str) -> Result[FeedRow, Fault]:
        self.call_count += 1
        if self.down:
            return _unreachable()
        return Ok(self.tables[table].get(key, FeedRow(key, None, 0)))

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        self.call_count += 1
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
            is_lost = after < self.history_start_version or after > self.version
            if is_lost or (after and era_of(after) != self.era):
                message = "history no longer available"
                return Err(Fault(ResultCode.PLATFORM_HISTORY_LOST, message))
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
        self.call_count += 1
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

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class StoreAccess(FeedStore):
    """One node's access to a store; records its calls and can be disconnected."""

    def __init__(self, store: MemoryFeedStore) -> None:
        self._store = store
        # Of the node; it hears of the era with each answer.
        self.store_era = StoreEra()
        # While True, every call of this node fails.
        self.disconnected = False
        # Table of each call, in order: reads, waits and writes.
        self.called_tables: list[str] = []

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        return await self._call(table, self._store.read_table(table))

    async def read_row(self, table: str, key: str) -> Result[FeedRow, Fault]:
        return await self._call(table, self._store.read_row(table, key))

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        changes = self._store.wait_for_changes(table, after, wait_s)
        return await self._call(table, changes)

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        outcome = self._store.write_row(table, key, value, expected)
        return await self._call(table, outcome)

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _call(
        self, table: str, answer: Coroutine[Any, Any, Result[_AnswerT, Fault]]
    ) -> Result[_AnswerT, Fault]:
        """Return the answer of the store, if it can be reached before and after."""
        self.called_tables.append(table)
        if self.disconnected:
            answer.close()
            return _unreachable()
        result = await answer
        if self.disconnected:
            return _unreachable()
        self.store_era.observe(self._store.era)
        return result


def _unreachable() -> Err[Fault]:
    return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, "stand-in store is down"))
