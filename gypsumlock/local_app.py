"""Local HTTP API of a node: announcements, readiness and metrics.

The API is bound to an address that only programs on the node's instance can reach.

- `POST /announce`: announces the upstream; see `Announcement`.
- `GET /ready`: status 200 if the node may serve calls, otherwise 503.
- `GET /metrics`: counters and histograms, as JSON.
"""

from __future__ import annotations

from result import Err

from gypsumlock.blackboard import Board
from gypsumlock.http_app import decode_body, read_body, send_faults, send_json
from gypsumlock.membership.announcements import Announcement, apply_announcement
from gypsumlock.metrics import Metrics
from gypsumlock.proxy.request import Receive, Scope, Send
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["LocalApp"]


class LocalApp:
    """ASGI application for the programs on the same instance as the node."""

    __slots__ = ("_board", "_metrics")

    def __init__(self, board: Board, metrics: Metrics) -> None:
        self._board = board
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request (ASGI entry point)."""
        if scope["type"] != "http":
            return
        match (scope["method"], scope["path"]):
            case ("POST", "/announce"):
                await self._announce(receive, send)
            case ("GET", "/ready"):
                ready = self._board.ready()
                await send_json(send, 200 if ready else 503, {"ready": ready})
            case ("GET", "/metrics"):
                await send_json(send, 200, self._metrics.report())
            case (method, path):
                fault = Fault(
                    ResultCode.OPERATOR_NOT_FOUND, f"no endpoint {method} {path}"
                )
                await send_faults(send, [fault])

    async def _announce(self, receive: Receive, send: Send) -> None:
        body = await read_body(receive)
        decoded = body.and_then(lambda raw: decode_body(raw, Announcement))
        if isinstance(decoded, Err):
            await send_faults(send, [decoded.err_value])
            return
        apply_announcement(self._board, decoded.ok_value)
        await send_json(send, 200, {"accepted": True})
