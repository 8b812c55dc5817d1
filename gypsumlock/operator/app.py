"""ASGI application of the operator API.

Every request must carry the operator token as a bearer token. Bodies are JSON, with the
types of `gypsumlock.operator.messages`; an error is a list of faults with result codes.
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

BEARER_PREFIX = b"Bearer "


class OperatorApp:
    """Authenticates requests and dispatches them to their handlers.

    Parameters
    ----------
    token : bytes
        Token that every request must carry.
    queries : QueryHandlers
        Handlers of read-only requests.
    changes : ChangeHandlers
        Handlers of requests that change the configuration.
    """

    __slots__ = ("_changes", "_queries", "_token")

    def __init__(
        self, token: bytes, queries: QueryHandlers, changes: ChangeHandlers
    ) -> None:
        self._token = token
        self._queries = queries
        self._changes = changes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request; ASGI entry point."""
        if scope["type"] != "http":
            return
        fault = self._check_token(scope)
        if fault is not None:
            log.warning("request rejected", path=scope["path"], code=fault.code.value)
            await send_faults(send, [fault])
            return
        result = await self._dispatch(scope, receive)
        if isinstance(result, Err):
            await send_faults(send, result.err_value)
        else:
            await send_json(send, 200, result.ok_value)

    def _check_token(self, scope: Scope) -> Fault | None:
        authorization = find_header(scope["headers"], b"authorization")
        if authorization is None or not authorization.startswith(BEARER_PREFIX):
            detail = "the bearer token is missing"
            return Fault(ResultCode.OPERATOR_TOKEN_MISSING, detail)
        if not hmac.compare_digest(
            authorization.removeprefix(BEARER_PREFIX), self._token
        ):
            return Fault(ResultCode.OPERATOR_TOKEN_WRONG, "the operator token is wrong")
        return None

    async def _dispatch(
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
            parameters = {name: values[0] for name, values in query.items()}
            return await self._queries.handle(path, parameters)
        return Err(
            [Fault(ResultCode.OPERATOR_NOT_FOUND, f"no endpoint {method} {path}")]
        )
