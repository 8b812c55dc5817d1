"""Reads accepted versions from the platform: author, time, reason and content."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from gypsumlock.distribution.payload import SnapshotReader
from gypsumlock.distribution.rows import (
    VERSION_PREFIX,
    decode_version_row,
    version_key,
)
from gypsumlock.model import EMPTY_SNAPSHOT, Origin, Snapshot
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import TableService

__all__ = ["History", "HistoryEntry"]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted version, without its content."""

    version: int
    parent: int
    digest_hex: str
    origin: Origin


class History:
    """Reads the accepted versions from the platform."""

    __slots__ = ("_reader", "_table")

    def __init__(self, table: TableService, reader: SnapshotReader) -> None:
        self._table = table
        self._reader = reader

    async def newest(self, limit: int) -> Result[list[HistoryEntry], Fault]:
        """Return up to `limit` versions, newest first."""
        rows = await self._table.scan(VERSION_PREFIX, "", limit)
        if isinstance(rows, Err):
            return rows
        entries = []
        for row in rows.ok_value:
            decoded = decode_version_row(row)
            if isinstance(decoded, Err):
                return decoded
            version_row = decoded.ok_value
            entries.append(
                HistoryEntry(
                    version_row.version,
                    version_row.parent,
                    version_row.digest_hex,
                    version_row.origin,
                )
            )
        return Ok(entries)

    async def snapshot(self, version: int) -> Result[Snapshot, Fault]:
        """Return the content of a version, or `CONFIG_UNKNOWN_VERSION`."""
        if version == 0:
            return Ok(EMPTY_SNAPSHOT)
        row = await self._table.get(version_key(version))
        if isinstance(row, Err):
            return row
        if row.ok_value is None:
            detail = f"version {version} does not exist"
            return Err(Fault(ResultCode.CONFIG_UNKNOWN_VERSION, detail))
        decoded = decode_version_row(row.ok_value)
        if isinstance(decoded, Err):
            return decoded
        return await self._reader.read(decoded.ok_value.ref())
