"""An in-memory platform, for a single node and for tests.

Its rows and objects are lost when the process ends.
"""

from __future__ import annotations

from result import Err, Ok, Result

from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store.services import Condition, Platform, Row, Write

__all__ = ["MemoryPlatform"]


class MemoryPlatform(Platform):
    """Keeps rows and objects in dictionaries."""

    __slots__ = ("_objects", "_revision", "_rows")

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._revision = 0

    async def get(self, key: str) -> Result[Row | None, Fault]:
        """Return the row of a key, or None if there is none."""
        return Ok(self._rows.get(key))

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose keys have `prefix` and sort after `after`."""
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        return Ok([self._rows[key] for key in keys[:limit]])

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[None, Fault]:
        """Apply all writes if all conditions hold, otherwise none."""
        for condition in conditions:
            row = self._rows.get(condition.key)
            revision = row.revision if row else None
            if revision != condition.revision:
                detail = f"row {condition.key} is at revision {revision}"
                return Err(Fault(ResultCode.PLATFORM_CONDITION_FAILED, detail))
        for write in writes:
            self._write(write)
        return Ok(None)

    async def put(self, name: str, payload: bytes) -> Result[None, Fault]:
        """Store an object; an existing object of that name is left unchanged."""
        self._objects.setdefault(name, payload)
        return Ok(None)

    async def fetch(self, name: str) -> Result[bytes, Fault]:
        """Return an object, or `PLATFORM_NOT_FOUND`."""
        payload = self._objects.get(name)
        if payload is None:
            return Err(
                Fault(ResultCode.PLATFORM_NOT_FOUND, f"object {name} does not exist")
            )
        return Ok(payload)

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _write(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
            return
        self._revision += 1
        self._rows[write.key] = Row(write.key, write.value, self._revision)
