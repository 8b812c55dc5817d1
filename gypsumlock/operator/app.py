"""The operator API over HTTP.

Every request shows the operator token. Bodies are JSON, typed by
`gypsumlock.operator.messages`; errors are lists of numbered faults.
"""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

from result import Err, Result

from gypsumlock.http_app import send_faults, send_json
from gypsumlock.logs import Component, get_logger
from gypsumlock.operator.changes import ChangeHandlers
from gypsumlock.operator.queries import QueryHandlers
from gypsumlock.proxy.headers import find_header
from gypsumlock.proxy.request import Receive, Scope, Send
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["OperatorApp"]

log = get_logger(Component.OPERATOR)

BEARER = b"Bearer "


class OperatorApp:
    """Checks the token and finds the handler of a request.

    Parameters
    ----------
    token : bytes
        Token that every request must show.
    queries : QueryHandlers
        Answer requests that change nothing.
    changes : ChangeHandlers
        Answer requests that change the configuration.
    """

    __slots__ = ("_changes", "_queries", "_token")

    def __init__(
        self, token: bytes, queries: QueryHandlers, changes: ChangeHandlers
    ) -> None:
        self._token = token
        self._queries = queries
        self._changes = changes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; the entry point of ASGI."""
        if scope["type"] != "http":
            return
        fault = self._check_token(scope)
        if fault is not None:
            log.warning("request refused", path=scope["path"], code=fault.code.value)
            await send_faults(send, [fault])
            return
        answer = await self._answer(scope, receive)
        if isinstance(answer, Err):
            await send_faults(send, answer.err_value)
        else:
            await send_json(send, 200, answer.ok_value)

    def _check_token(self, scope: Scope) -> Fault | None:
        shown = find_header(scope["headers"], b"authorization")
        if shown is None or not shown.startswith(BEARER):
            found = "found no bearer token"
            return Fault(ResultCode.OPERATOR_TOKEN_MISSING, found)
        if not hmac.compare_digest(shown.removeprefix(BEARER), self._token):
            return Fault(ResultCode.OPERATOR_TOKEN_WRONG, "the token does not fit")
        return None

    async def _answer(
        self, scope: Scope, receive: Receive
    ) -> Result[object, list[Fault]]:
        method: str = scope["method"]
        path: str = scope["path"]
        query = parse_qs(scope["query_string"].decode("latin-1"))
        changes = self._changes
        handlers: dict[
            tuple[str, str], Callable[[Receive], Awaitable[Result[object, list[Fault]]]]
        ] = {
            ("POST", "/v1/defaults"): changes.set_default,
            ("PUT", "/v1/defaults"): changes.load_defaults,
            ("POST", "/v1/exceptions"): changes.put_exception,
            ("POST", "/v1/restore"): changes.restore,
        }
        handler = handlers.get((method, path))
        if handler is not None:
            return await handler(receive)
        if method == "DELETE" and path.startswith("/v1/exceptions/"):
            return await changes.remove_exception(path.rpartition("/")[2], receive)
        if method == "GET":
            first = {name: values[0] for name, values in query.items()}
            return await self._queries.answer(path, first)
        return Err([Fault(ResultCode.OPERATOR_NOT_FOUND, f"no {method} {path}")])
