"""Talks to a node's operator API."""

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
        Bound on one request, in seconds.
    """

    __slots__ = ("_base_url", "_headers", "_timeout_s")

    def __init__(self, base_url: str, token: str, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = [("authorization", f"Bearer {token}")]
        self._timeout_s = timeout_s

    def get(self, path: str, kind: type[T]) -> Result[T, list[Fault]]:
        """Ask a question; the answer is decoded as `kind`."""
        return self._request("GET", path, None, kind)

    def send(
        self, method: str, path: str, body: object, kind: type[T]
    ) -> Result[T, list[Fault]]:
        """Ask for a change; the answer is decoded as `kind`."""
        return self._request(method, path, body, kind)

    def _request(
        self, method: str, path: str, body: object, kind: type[T]
    ) -> Result[T, list[Fault]]:
        content = None if body is None else msgspec.json.encode(body)
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), self._timeout_s)
        try:
            answer = httpcore.request(
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
            found = f"no answer from {self._base_url}: {type(error).__name__}"
            return Err([Fault(ResultCode.OPERATOR_UNREACHABLE, found)])
        return _decoded(answer.status, answer.content, kind)


def _decoded(status: int, content: bytes, kind: Any) -> Result[Any, list[Fault]]:
    try:
        if status == STATUS_OK and not content.startswith(b'{"faults"'):
            return Ok(msgspec.json.decode(content, type=kind))
        report = msgspec.json.decode(content, type=FaultsReport)
        return Err([Fault(ResultCode(x.code), x.detail, x.path) for x in report.faults])
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        found = f"the node's answer can't be read: {error}"
        return Err([Fault(ResultCode.OPERATOR_UNREACHABLE, found)])
