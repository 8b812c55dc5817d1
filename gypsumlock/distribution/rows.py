"""Rows of the configuration in the platform's table.

`head` identifies the newest accepted version; `version/…` rows hold the history,
newest first in key order; `operation/…` rows make operators' requests idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec
from result import Err, Ok, Result

from gypsumlock.model import EMPTY_REF, Origin, VersionRef
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import Row, TableService

__all__ = [
    "HEAD_KEY",
    "VERSION_PREFIX",
    "Head",
    "VersionRow",
    "decode_version_row",
    "operation_key",
    "read_head",
    "version_key",
]

HEAD_KEY: Final = "head"
VERSION_PREFIX: Final = "version/"
# Larger than any version: subtracting the version makes the newest key sort first.
_VERSION_KEY_BASE: Final = 10**12


@dataclass(frozen=True, slots=True)
class VersionRow:
    """One accepted version, as stored in the table."""

    version: int
    digest_hex: str
    parent: int = 0
    origin: Origin = Origin()

    def ref(self) -> VersionRef:
        """Return the reference of the version."""
        return VersionRef(self.version, bytes.fromhex(self.digest_hex))


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted head and the revision of its row."""

    ref: VersionRef
    # None if the table has no head row yet.
    revision: int | None


def version_key(version: int) -> str:
    """Return the key of a version's row."""
    return f"{VERSION_PREFIX}{_VERSION_KEY_BASE - version:012d}"


def operation_key(operation_id: str) -> str:
    """Return the key of an operation's row."""
    return f"operation/{operation_id}"


def decode_version_row(row: Row) -> Result[VersionRow, Fault]:
    """Decode a head, version or operation row."""
    try:
        decoded = msgspec.json.decode(row.value, type=VersionRow)
        decoded.ref()
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        detail = f"row {row.key} can't be decoded: {error}"
        return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, detail))
    return Ok(decoded)


async def read_head(table: TableService) -> Result[Head, Fault]:
    """Read the accepted head, or the empty version if there is none yet."""
    result = await table.get(HEAD_KEY)
    if isinstance(result, Err):
        return result
    row = result.ok_value
    if row is None:
        return Ok(Head(EMPTY_REF, None))
    return decode_version_row(row).map(
        lambda version_row: Head(version_row.ref(), row.revision)
    )
