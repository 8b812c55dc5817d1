"""The platform's metadata store, behind the project's `FeedStore`."""

from __future__ import annotations

import base64
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges, WriteOutcome
from gypsumlock.mesh.upstream_connection import (
    ConnectFailed,
    ExchangeFailed,
    SilenceBound,
    UpstreamAnswer,
)
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["PlatformStore"]

T = TypeVar("T")
_Query = dict[str, str | int]

# Longest silence of the store beside the time that it is asked to wait, in seconds.
# A large answer may take longer on a narrow link, as long as it goes on arriving.
SILENCE_S = 1.0
# Rows that the store gives in one answer.
PAGE_ROWS = 500
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412


class _Row(msgspec.Struct, frozen=True):
    key: str
    # Counter of the transaction that wrote the row.
    ver: int = 0
    # Base64.
    value: str | None = None
    # True for a row that was deleted.
    removed: bool = False


class _Rows(msgspec.Struct, frozen=True):
    # In an answer about rows, the newest version of the whole store.
    ver: int
    rows: list[_Row] = []
    # True if more rows follow.
    truncated: bool = False


class _Expect(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    ver: int


class _Upsert(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    value: str


class _Transaction(msgspec.Struct, frozen=True):
    expect: list[_Expect]
    upserts: list[_Upsert]
    deletes: list[_Expect] = []


class PlatformStore(FeedStore):
    """Calls the store over HTTP.

    Parameters
    ----------
    address : str
        Address of the store, as `IP:port`.
    """

    __slots__ = ("_host", "_pool")

    def __init__(self, address: str) -> None:
        self._host = address.encode()
        # Answers of the store echo no identifier.
        self._pool = UpstreamPool(address, id_name=b"")

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        """Return all rows of a table, page by page."""
        rows: list[FeedRow] = []
        version: int | None = None
        start = ""
        while True:
            query: _Query = {
                "table": table,
                "part": "",
                "from": start,
                "limit": PAGE_ROWS,
            }
            page = await self._read("/-/rows-get", query, 0.0)
            if isinstance(page, Err):
                return page
            found = page.ok_value
            # Later pages are newer; what changed meanwhile is read again.
            version = found.ver if version is None else version
            rows.extend(_feed_row(row) for row in found.rows)
            if not found.truncated or not found.rows:
                return Ok(TableChanges(tuple(rows), version))
            start = found.rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        """Wait for rows changed after a version."""
        query: _Query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        page = await self._read("/-/rows-feed", query, wait_s)
        if isinstance(page, Err):
            return page
        rows = tuple(_feed_row(row) for row in page.ok_value.rows)
        return Ok(TableChanges(rows, page.ok_value.ver))

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        """Write a row if its version is the expected one; 0 means no row."""
        text = base64.b64encode(value).decode()
        body = msgspec.json.encode(
            _Transaction(
                [_Expect(table, "", key, expected)], [_Upsert(table, "", key, text)]
            )
        )
        answer = await self._request("POST", "/-/rows-tx", body, 0.0)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value.status
        if status not in (STATUS_OK, STATUS_CONDITION_FAILED):
            return Err(_refused(status))
        decoded = _decoded(answer.ok_value.body, _Rows)
        if isinstance(decoded, Err):
            return decoded
        rows = decoded.ok_value.rows
        if status == STATUS_OK:
            return Ok(WriteOutcome(decoded.ok_value.ver))
        current = _feed_row(rows[0]) if rows else FeedRow(key, None, 0)
        return Ok(WriteOutcome(decoded.ok_value.ver, current))

    async def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    async def _read(
        self, path: str, query: _Query, wait_s: float
    ) -> Result[_Rows, Fault]:
        target = f"{path}?{urlencode(query)}"
        answer = await self._request("GET", target, b"", wait_s)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value.status
        if status == STATUS_GONE:
            found = "the changes asked for are no longer there"
            return Err(Fault(ResultCode.PLATFORM_HISTORY_LOST, found))
        if status != STATUS_OK:
            return Err(_refused(status))
        return _decoded(answer.ok_value.body, _Rows)

    async def _request(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> Result[UpstreamAnswer, Fault]:
        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {self._host.decode()}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        try:
            connection = await self._pool.acquire(repeatable=True)
            try:
                answer = await connection.exchange(
                    method.encode(),
                    b"",
                    head.encode() + body,
                    SilenceBound(SILENCE_S + wait_s, SILENCE_S),
                )
            finally:
                self._pool.release(connection)
        except (ConnectFailed, ExchangeFailed) as error:
            found = f"{method} {target}: {type(error).__name__} {error}"
            return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, found))
        return Ok(answer)


def _feed_row(row: _Row) -> FeedRow:
    if row.removed or row.value is None:
        return FeedRow(row.key, None, row.ver)
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # Not a value of ours; whoever reads the row refuses what can't be decoded.
        value = row.value.encode()
    return FeedRow(row.key, value, row.ver)


def _decoded(body: bytes, kind: type[T]) -> Result[T, Fault]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, str(error)))


def _refused(status: int) -> Fault:
    return Fault(ResultCode.PLATFORM_REFUSED, f"the store answered {status}")
