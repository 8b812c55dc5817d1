"""A stand-in for the platform: table service and object store over HTTP.

Run as `python -m tests.standins.platform_server PORT`. `POST /control` sets the
fault that it injects, `GET /control` returns how many requests of each kind it
received.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass
from typing import Literal
from urllib.parse import parse_qs, unquote

import anyio
import msgspec
from result import Err

from gypsumlock.http_app import listen, make_server, read_body, send_json
from gypsumlock.proxy.headers import find_header
from gypsumlock.proxy.request import Receive, Scope, Send
from gypsumlock.store import MemoryPlatform, Row
from gypsumlock.store.http_client import TransactionBody
from tests.standins.abort import abort_connection

HANG_S = 3600.0


@dataclass(frozen=True, slots=True)
class PlatformControl:
    """Fault that the platform injects from now on."""

    # `lose-answer` executes the write, then closes the connection without a response.
    mode: Literal["ok", "down", "hang", "lose-answer", "corrupt", "missing"] = "ok"
    delay_s: float = 0.0
    # Kind of request that is affected; empty for all.
    operation: Literal["", "read", "scan", "put", "fetch", "commit"] = ""


class PlatformApp:
    """Serves rows and objects from memory, and injects faults."""

    def __init__(self) -> None:
        self._platform = MemoryPlatform()
        self._control = PlatformControl()
        self._counts: Counter[str] = Counter()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = (await read_body(receive)).unwrap()
        if scope["path"] == "/control":
            await self._serve_control(scope, body, send)
            return
        kind = "reads" if scope["method"] == "GET" else "writes"
        self._counts[kind] += 1
        operation = _operation_kind(scope)
        self._counts[operation] += 1
        affected = self._control.operation in ("", operation)
        mode = self._control.mode if affected else "ok"
        if affected and self._control.delay_s:
            await asyncio.sleep(self._control.delay_s)
        if mode == "down":
            await send_json(send, 503, None)
        elif mode == "hang":
            await asyncio.sleep(HANG_S)
        else:
            await self._serve(scope, body, send, mode)

    async def _serve_control(self, scope: Scope, body: bytes, send: Send) -> None:
        if scope["method"] == "POST":
            self._control = msgspec.json.decode(body, type=PlatformControl)
        await send_json(send, 200, dict(self._counts))

    async def _serve(self, scope: Scope, body: bytes, send: Send, mode: str) -> None:
        path = scope["path"]
        if path == "/table/transactions":
            await self._transact(body, send, mode)
        elif path == "/table/rows":
            await self._scan(scope, send)
        elif path.startswith("/table/rows/"):
            key = unquote(scope["raw_path"].decode().removeprefix("/table/rows/"))
            await self._get(key, send)
        elif path.startswith("/objects/"):
            await self._serve_object(scope, body, send, mode)
        else:
            await send_json(send, 404, None)

    async def _transact(self, body: bytes, send: Send, mode: str) -> None:
        transaction = msgspec.json.decode(body, type=TransactionBody)
        committed = await self._platform.transact(
            transaction.conditions, transaction.writes
        )
        if mode == "lose-answer":
            abort_connection(send)
            return
        await send_json(send, 412 if isinstance(committed, Err) else 200, None)

    async def _scan(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        rows = await self._platform.scan(
            query["prefix"][0], query["after"][0], int(query["limit"][0])
        )
        await send_json(send, 200, rows.unwrap())

    async def _get(self, key: str, send: Send) -> None:
        row: Row | None = (await self._platform.get(key)).unwrap()
        await send_json(send, 404 if row is None else 200, row)

    async def _serve_object(
        self, scope: Scope, body: bytes, send: Send, mode: str
    ) -> None:
        name = scope["path"].removeprefix("/objects/")
        stored = await self._platform.fetch(name)
        if scope["method"] == "PUT":
            conditional = find_header(scope["headers"], b"if-none-match") == b"*"
            if conditional and stored.is_ok():
                await send_json(send, 412, None)
                return
            await self._platform.put(name, body)
            if mode == "lose-answer":
                abort_connection(send)
                return
            await send_json(send, 201, None)
        elif isinstance(stored, Err) or mode == "missing":
            await send_json(send, 404, None)
        else:
            payload = stored.ok_value
            await _send_bytes(send, payload[::-1] if mode == "corrupt" else payload)


def _operation_kind(scope: Scope) -> str:
    path = scope["path"]
    if path.startswith("/objects/"):
        return "put" if scope["method"] == "PUT" else "fetch"
    if path == "/table/transactions":
        return "commit"
    return "scan" if path == "/table/rows" else "read"


async def _send_bytes(send: Send, payload: bytes) -> None:
    headers = [(b"content-length", str(len(payload)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": payload})


def main() -> None:
    """Serve until killed."""
    sock = listen(f"127.0.0.1:{sys.argv[1]}", "").unwrap()
    anyio.run(make_server(PlatformApp()).serve, [sock])


if __name__ == "__main__":
    main()
