"""HTTP client of the platform, with conditional requests as in RFC 9110.

Rows are read from `/table/rows`, transactions are posted to
`/table/transactions`, and objects are stored under `/objects`. The response to a
request whose condition failed has status 412.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import anyio
import httpcore
import msgspec
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store.services import Condition, Platform, Row, Write

__all__ = ["HttpPlatform", "TransactionBody"]

T = TypeVar("T")

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_CONDITION_FAILED = 412


@dataclass(frozen=True, slots=True)
class TransactionBody:
    """Body of a transaction request."""

    conditions: list[Condition]
    writes: list[Write]


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes


class HttpPlatform(Platform):
    """Accesses the platform's services over HTTP.

    Parameters
    ----------
    base_url : str
        URL of the services, such as `http://127.0.0.1:9000`.
    timeout_s : float
        Timeout of one request in seconds, including the time to connect.
    """

    __slots__ = ("_base_url", "_pool", "_timeout_s")

    def __init__(
        self, base_url: str, timeout_s: float = defaults.PLATFORM_TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, max_keepalive_connections=1, keepalive_expiry=30.0
        )

    async def get(self, key: str) -> Result[Row | None, Fault]:
        """Return the row of a key, or None if there is none."""
        response = await self._request("GET", f"/table/rows/{quote(key, safe='')}")
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        return _decode_body(response.ok_value, Row)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose keys have `prefix` and sort after `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._request("GET", f"/table/rows?{query}")
        if isinstance(response, Err):
            return response
        return _decode_body(response.ok_value, list[Row])

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[None, Fault]:
        """Apply all writes if all conditions hold, otherwise none."""
        body = msgspec.json.encode(TransactionBody(conditions, writes))
        response = await self._request("POST", "/table/transactions", body)
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_CONDITION_FAILED:
            detail = "a row changed before the transaction was applied"
            return Err(Fault(ResultCode.PLATFORM_CONDITION_FAILED, detail))
        return _check_status(response.ok_value, (STATUS_OK,))

    async def put(self, name: str, payload: bytes) -> Result[None, Fault]:
        """Store an object; an existing object of that name is left unchanged."""
        headers = [(b"if-none-match", b"*")]
        response = await self._request("PUT", f"/objects/{name}", payload, headers)
        if isinstance(response, Err):
            return response
        allowed = (STATUS_OK, STATUS_CREATED, STATUS_CONDITION_FAILED)
        return _check_status(response.ok_value, allowed)

    async def fetch(self, name: str) -> Result[bytes, Fault]:
        """Return an object, or `PLATFORM_NOT_FOUND`."""
        response = await self._request("GET", f"/objects/{name}")
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_NOT_FOUND:
            return Err(
                Fault(ResultCode.PLATFORM_NOT_FOUND, f"object {name} does not exist")
            )
        return _check_status(response.ok_value, (STATUS_OK,)).map(
            lambda _: response.ok_value.body
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> Result[_Response, Fault]:
        try:
            with anyio.fail_after(self._timeout_s):
                return await self._exchange(method, target, body, headers or [])
        except (TimeoutError, OSError, httpcore.TimeoutException) as error:
            return Err(_unreachable_fault(method, error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Err(_unreachable_fault(method, error))

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes | None,
        headers: list[tuple[bytes, bytes]],
    ) -> Result[_Response, Fault]:
        url = self._base_url + target
        async with self._pool.stream(
            method, url, headers=headers, content=body
        ) as response:
            received = bytearray()
            async for chunk in response.aiter_stream():
                received += chunk
                if len(received) > defaults.MAX_PLATFORM_RESPONSE_BYTES:
                    detail = "the platform's response is too large"
                    return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, detail))
            return Ok(_Response(response.status, bytes(received)))


def _decode_body(response: _Response, body_type: type[T]) -> Result[T, Fault]:
    checked = _check_status(response, (STATUS_OK,))
    if isinstance(checked, Err):
        return checked
    try:
        return Ok(msgspec.json.decode(response.body, type=body_type))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, str(error)))


def _check_status(response: _Response, allowed: tuple[int, ...]) -> Result[None, Fault]:
    if response.status in allowed:
        return Ok(None)
    # The platform reports its own outages as server errors.
    if response.status >= 500:
        detail = f"the platform responded with status {response.status}"
        return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, detail))
    detail = f"the platform responded with status {response.status}"
    return Err(Fault(ResultCode.PLATFORM_REFUSED, detail))


def _unreachable_fault(method: str, error: Any) -> Fault:
    detail = f"{method} request to the platform failed: {type(error).__name__}"
    return Fault(ResultCode.PLATFORM_UNREACHABLE, detail)
