"""HTTP client of the platform's metadata store; implements `FeedStore`.

The era of the store is in a header of all its answers. Versions get the era of the
answer that they come in, and lose it in requests; a version of another era is never
sent.
"""

from __future__ import annotations

import base64
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedRow, FeedStore, TableChanges, WriteOutcome
from gypsumlock.mesh.field_types import DECODE_ERRORS, Number
from gypsumlock.mesh.store_era import (
    MAX_ERA,
    MAX_STORE_VERSION,
    StoreEra,
    add_era,
    era_of,
    store_version,
)
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.mesh.upstream_response import (
    ConnectFailed,
    ExchangeFailed,
    ReadTimeouts,
    UpstreamResponse,
)
from gypsumlock.platform.names import STORE_ERA_HEADER
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["PlatformStore"]

log = get_logger(Component.PLATFORM)

_BodyT = TypeVar("_BodyT")
_QueryParameters = dict[str, str | int]

# Longest time without received data, in addition to the time that the store is asked to
# wait, in seconds. A large response may take longer on a slow link, as long as data
# keeps arriving.
READ_TIMEOUT_S = 1.0
# Maximum number of rows in one response of the store.
MAX_PAGE_ROWS = 500
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
MAX_ERA_DIGITS = 5

_ERA_ENDED = Fault(
    ResultCode.PLATFORM_HISTORY_LOST, "the store has come back from a copy"
)


class _Row(msgspec.Struct, frozen=True):
    key: str
    # Sequence number of the transaction that wrote the row.
    ver: Number = 0
    # Encoded as Base64.
    value: str | None = None
    # True for a row that was deleted.
    removed: bool = False


class _RowsResponse(msgspec.Struct, frozen=True):
    # In a response with rows, the newest version of the whole store.
    ver: Number
    # Decoded one by one: a row that can't be decoded leaves the others valid.
    rows: list[msgspec.Raw] = []
    # True if more rows follow.
    truncated: bool = False


class _RowVersion(msgspec.Struct, frozen=True):
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
    expect: list[_RowVersion]
    upserts: list[_Upsert]
    deletes: list[_RowVersion] = []


class PlatformStore(FeedStore):
    """Client of the platform's metadata store.

    Parameters
    ----------
    address : str
        Address of the store, as `IP:port`.
    store_era : StoreEra | None
        Receives the era of the store; None if no other component needs it.
    """

    __slots__ = ("_era", "_host", "_pool", "_store_era")

    def __init__(self, address: str, store_era: StoreEra | None = None) -> None:
        self._host = address.encode()
        # Era of the last answer, and the latest that other nodes know of.
        self._era = 0
        self._store_era = store_era or StoreEra()
        # The store's responses don't echo a request identifier.
        self._pool = UpstreamPool(address, id_header=b"")

    async def read_table(self, table: str) -> Result[TableChanges, Fault]:
        """Return all rows of a table, read page by page."""
        rows: list[FeedRow] = []
        version: int | None = None
        start_key = ""
        while True:
            query: _QueryParameters = {
                "table": table,
                "part": "",
                "from": start_key,
                "limit": MAX_PAGE_ROWS,
            }
            response = await self._get_rows("/-/rows-get", query, 0.0)
            if isinstance(response, Err):
                return response
            page = response.ok_value
            if version is not None and era_of(version) != self._era:
                return Err(_ERA_ENDED)
            # Later pages are newer. The version of the first page is returned, so that
            # the caller reads again what changed in the meantime.
            version = add_era(page.ver, self._era) if version is None else version
            page_rows = self._decode_rows(page.rows)
            rows.extend(page_rows)
            if not page.truncated or not page_rows:
                return Ok(TableChanges(tuple(rows), version))
            start_key = page_rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> Result[FeedRow, Fault]:
        """Return one row; its version is 0 and its value None if it doesn't exist."""
        query: _QueryParameters = {
            "table": table,
            "part": "",
            "from": key,
            "to": key + "\0",
            "limit": 1,
        }
        response = await self._get_rows("/-/rows-get", query, 0.0)
        if isinstance(response, Err):
            return response
        rows = self._decode_rows(response.ok_value.rows)
        return Ok(rows[0] if rows else FeedRow(key, None, 0))

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, Fault]:
        """Wait up to `wait_s` seconds for rows changed after version `after`."""
        if self._era and self._is_of_other_era(after):
            return Err(_ERA_ENDED)
        query: _QueryParameters = {
            "table": table,
            "after": self._strip_era(after),
            "wait_ms": int(wait_s * 1000),
        }
        response = await self._get_rows("/-/rows-feed", query, wait_s)
        if isinstance(response, Err):
            return response
        if self._is_of_other_era(after):
            return Err(_ERA_ENDED)
        rows = self._decode_rows(response.ok_value.rows)
        version = add_era(response.ok_value.ver, self._era)
        return Ok(TableChanges(tuple(rows), version))

    async def write_row(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Result[WriteOutcome, Fault]:
        """Write a row if its version is `expected`; 0 requires that no row exists.

        The row is read instead if its expected version is of an earlier era.
        """
        if self._era < self._store_era.number or self._is_of_other_era(expected):
            current_row = await self.read_row(table, key)
            if isinstance(current_row, Err):
                return current_row
            if self._is_of_other_era(expected):
                current = current_row.ok_value
                return Ok(WriteOutcome(current.version, current))
        era = self._era
        encoded_value = base64.b64encode(value).decode()
        body = msgspec.json.encode(
            _Transaction(
                [_RowVersion(table, "", key, self._strip_era(expected))],
                [_Upsert(table, "", key, encoded_value)],
            )
        )
        response = await self._request("POST", "/-/rows-tx", body, 0.0)
        if isinstance(response, Err):
            return response
        status = response.ok_value.status
        if status not in (STATUS_OK, STATUS_CONDITION_FAILED):
            return Err(_status_fault(status))
        if era != self._era and (era or expected):
            # The row that was replaced may not be the expected one.
            return Err(_ERA_ENDED)
        decoded = _decode_body(response.ok_value.body, _RowsResponse)
        if isinstance(decoded, Err):
            return decoded
        version = add_era(decoded.ok_value.ver, self._era)
        if status == STATUS_OK:
            return Ok(WriteOutcome(version))
        rows = self._decode_rows(decoded.ok_value.rows)
        current = rows[0] if rows else FeedRow(key, None, 0)
        return Ok(WriteOutcome(version, current))

    async def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    async def _get_rows(
        self, path: str, query: _QueryParameters, wait_s: float
    ) -> Result[_RowsResponse, Fault]:
        target = f"{path}?{urlencode(query)}"
        response = await self._request("GET", target, b"", wait_s)
        if isinstance(response, Err):
            return response
        status = response.ok_value.status
        if status == STATUS_GONE:
            detail = "the requested changes are no longer available"
            return Err(Fault(ResultCode.PLATFORM_HISTORY_LOST, detail))
        if status != STATUS_OK:
            return Err(_status_fault(status))
        decoded = _decode_body(response.ok_value.body, _RowsResponse)
        if self._era and decoded.is_ok() and decoded.unwrap().ver > MAX_STORE_VERSION:
            return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, "version too large"))
        return decoded

    async def _request(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> Result[UpstreamResponse, Fault]:
        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {self._host.decode()}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        try:
            connection = await self._pool.acquire(repeatable=True)
            try:
                response = await connection.exchange(
                    method.encode(),
                    b"",
                    head.encode() + body,
                    ReadTimeouts(READ_TIMEOUT_S + wait_s, READ_TIMEOUT_S),
                )
            finally:
                self._pool.release(connection)
        except (ConnectFailed, ExchangeFailed) as error:
            # The other open connections may have gone silent with this one.
            self._pool.clear()
            detail = f"{method} {target}: {type(error).__name__} {error}"
            return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, detail))
        self._era = _read_era(response)
        self._store_era.observe(self._era)
        return Ok(response)

    def _is_of_other_era(self, version: int) -> bool:
        """Return whether a version is of another era than the last answer."""
        return version != 0 and era_of(version) != self._era

    def _strip_era(self, version: int) -> int:
        """Return a version without its era, as the store expects it."""
        return store_version(version) if self._store_era.number else version

    def _decode_rows(self, encoded_rows: list[msgspec.Raw]) -> list[FeedRow]:
        """Return the rows that can be decoded."""
        rows = []
        for encoded in encoded_rows:
            try:
                row = msgspec.json.decode(encoded, type=_Row)
            except DECODE_ERRORS as error:
                log.warning("row of the store ignored", reason=str(error))
                continue
            if self._era and row.ver > MAX_STORE_VERSION:
                log.warning("row of the store ignored", reason="version too large")
                continue
            rows.append(_to_feed_row(row, self._era))
        return rows


def _read_era(response: UpstreamResponse) -> int:
    """Return the era that an answer names; 0 if it names none."""
    value = response.header(STORE_ERA_HEADER) or b""
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS or int(value) > MAX_ERA:
        return 0
    return int(value)


def _to_feed_row(row: _Row, era: int) -> FeedRow:
    version = add_era(row.ver, era)
    if row.removed or row.value is None:
        return FeedRow(row.key, None, version)
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # Not written by a node; the reader of the row rejects what it can't decode.
        value = row.value.encode()
    return FeedRow(row.key, value, version)


def _decode_body(body: bytes, body_type: type[_BodyT]) -> Result[_BodyT, Fault]:
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    except DECODE_ERRORS as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, str(error)))


def _status_fault(status: int) -> Fault:
    return Fault(
        ResultCode.PLATFORM_REFUSED, f"the store responded with status {status}"
    )
