"""Client of a node's operator API."""

from __future__ import annotations

from typing import Any, TypeVar

import httpcore
import msgspec
from result import Err, Ok, Result

from gypsumlock.operator.messages import FaultsReport
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["OperatorClient"]

T = TypeVar("T")

STATUS_OK = 200


class OperatorClient:
    """Sends typed requests to one node.

    Parameters
    ----------
    base_url : str
        Operator address of the node, such as `http://127.0.0.1:7004`.
    token : str
        Operator token.
    timeout_s : float
        Timeout of each step of a request (connect, read, write), in seconds.
    """

    __slots__ = ("_base_url", "_headers", "_timeout_s")

    def __init__(self, base_url: str, token: str, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = [("authorization", f"Bearer {token}")]
        self._timeout_s = timeout_s

    def get(self, path: str, response_type: type[T]) -> Result[T, list[Fault]]:
        """Send a query; the response is decoded as `response_type`."""
        return self._request("GET", path, None, response_type)

    def send(
        self, method: str, path: str, body: object, response_type: type[T]
    ) -> Result[T, list[Fault]]:
        """Send a change; the response is decoded as `response_type`."""
        return self._request(method, path, body, response_type)

    def _request(
        self, method: str, path: str, body: object, response_type: type[T]
    ) -> Result[T, list[Fault]]:
        content = None if body is None else msgspec.json.encode(body)
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), self._timeout_s)
        try:
            response = httpcore.request(
                method,
                self._base_url + path,
                headers=[*self._headers],
                content=content,
                extensions={"timeout": timeout},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
        ) as error:
            detail = f"no response from {self._base_url}: {type(error).__name__}"
            return Err([Fault(ResultCode.OPERATOR_UNREACHABLE, detail)])
        return _decode_response(response.status, response.content, response_type)


def _decode_response(
    status: int, content: bytes, response_type: Any
) -> Result[Any, list[Fault]]:
    try:
        # Faults can have status 200 too, such as `CONFIG_NO_CHANGE`.
        if status == STATUS_OK and not content.startswith(b'{"faults"'):
            return Ok(msgspec.json.decode(content, type=response_type))
        report = msgspec.json.decode(content, type=FaultsReport)
        return Err(
            [
                Fault(ResultCode(entry.code), entry.detail, entry.path)
                for entry in report.faults
            ]
        )
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        detail = f"the node's response can't be decoded: {error}"
        return Err([Fault(ResultCode.OPERATOR_UNREACHABLE, detail)])
