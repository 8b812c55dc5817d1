"""The platform over HTTP, with conditional requests as in RFC 9110.

Rows are read from `/table/rows`, transactions posted to
`/table/transactions`, and objects kept under `/objects`. A failed condition is
answered with status 412.
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
class _Answer:
    status: int
    body: bytes


class HttpPlatform(Platform):
    """Talks to the platform's services over HTTP.

    Parameters
    ----------
    base_url : str
        Where the services are, such as `http://127.0.0.1:9000`.
    timeout_s : float
        Bound on one request, connection included, in seconds.
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
        """Return the row under a key, or None when there is none."""
        answer = await self._request("GET", f"/table/rows/{quote(key, safe='')}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        return _decoded(answer.ok_value, Row)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows with keys of `prefix` greater than `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = await self._request("GET", f"/table/rows?{query}")
        if isinstance(answer, Err):
            return answer
        return _decoded(answer.ok_value, list[Row])

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[None, Fault]:
        """Make all writes if all conditions hold, else none."""
        body = msgspec.json.encode(TransactionBody(conditions, writes))
        answer = await self._request("POST", "/table/transactions", body)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_CONDITION_FAILED:
            found = "a row changed before the transaction"
            return Err(Fault(ResultCode.PLATFORM_CONDITION_FAILED, found))
        return _expect(answer.ok_value, (STATUS_OK,))

    async def put(self, name: str, payload: bytes) -> Result[None, Fault]:
        """Store an object; storing the same name again changes nothing."""
        headers = [(b"if-none-match", b"*")]
        answer = await self._request("PUT", f"/objects/{name}", payload, headers)
        if isinstance(answer, Err):
            return answer
        allowed = (STATUS_OK, STATUS_CREATED, STATUS_CONDITION_FAILED)
        return _expect(answer.ok_value, allowed)

    async def fetch(self, name: str) -> Result[bytes, Fault]:
        """Return an object, or `PLATFORM_NOT_FOUND`."""
        answer = await self._request("GET", f"/objects/{name}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_NOT_FOUND:
            return Err(Fault(ResultCode.PLATFORM_NOT_FOUND, f"no object {name}"))
        return _expect(answer.ok_value, (STATUS_OK,)).map(
            lambda _: answer.ok_value.body
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
    ) -> Result[_Answer, Fault]:
        try:
            with anyio.fail_after(self._timeout_s):
                return await self._exchange(method, target, body, headers or [])
        except (TimeoutError, OSError, httpcore.TimeoutException) as error:
            return Err(_unreachable(method, error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Err(_unreachable(method, error))

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes | None,
        headers: list[tuple[bytes, bytes]],
    ) -> Result[_Answer, Fault]:
        url = self._base_url + target
        async with self._pool.stream(
            method, url, headers=headers, content=body
        ) as answer:
            chunks = bytearray()
            async for chunk in answer.aiter_stream():
                chunks += chunk
                if len(chunks) > defaults.MAX_PLATFORM_RESPONSE_BYTES:
                    found = "the platform's answer is too large"
                    return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, found))
            return Ok(_Answer(answer.status, bytes(chunks)))


def _decoded(answer: _Answer, kind: type[T]) -> Result[T, Fault]:
    checked = _expect(answer, (STATUS_OK,))
    if isinstance(checked, Err):
        return checked
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.PLATFORM_BAD_ANSWER, str(error)))


def _expect(answer: _Answer, allowed: tuple[int, ...]) -> Result[None, Fault]:
    if answer.status in allowed:
        return Ok(None)
    # The platform reports its own outages with server errors.
    if answer.status >= 500:
        found = f"the platform answered {answer.status}"
        return Err(Fault(ResultCode.PLATFORM_UNREACHABLE, found))
    found = f"the platform answered {answer.status}"
    return Err(Fault(ResultCode.PLATFORM_REFUSED, found))


def _unreachable(method: str, error: Any) -> Fault:
    found = f"{method} to the platform failed: {type(error).__name__}"
    return Fault(ResultCode.PLATFORM_UNREACHABLE, found)
