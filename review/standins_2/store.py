"""The platform's store: rows, changes of them, and conditional writes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins_2.wire import Message, encode_response, read_message

__all__ = ["Store"]


class Store:
    """Tables of rows in memory; only the empty part is used."""

    def __init__(self) -> None:
        self.address = ""
        # By table and key: value, or None for a removed row, and version.
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**24
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, as the operator does; return its version."""
        self.version += 1
        self.rows[table, key] = (base64.b64encode(value).decode(), self.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, answer = await self._handle(request)
                body = json.dumps({**answer, "now_s": time.monotonic()}).encode()
                writer.write(
                    encode_response(status, body, {"Content-Type": "application/json"})
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, dict[str, object]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            return 200, self._get(query)
        if url.path == "/-/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/-/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        first, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for (table, key), (value, _) in self.rows.items()
            if table == query["table"]
            and value is not None
            and key >= first
            and (not end or key < end)
        )
        limit = int(query.get("limit", "500"))
        rows = [self._encode(query["table"], key) for key in keys[:limit]]
        return {"rows": rows, "truncated": len(keys) > limit, "ver": self.version}

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        ends_at_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = [
                (version, key)
                for (table, key), (_, version) in self.rows.items()
                if table == query["table"] and version > int(query["after"])
            ]
            left_s = ends_at_s - time.monotonic()
            if changed or left_s <= 0:
                rows = [self._encode(query["table"], key) for _, key in sorted(changed)]
                return {"rows": rows, "ver": self.version}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, list[dict]]) -> tuple[int, dict[str, object]]:
        for row in body.get("expect", []):
            known = self.rows.get((row["table"], row["key"]), (None, 0))
            if (known[1] if known[0] is not None else 0) != row["ver"]:
                rows = [
                    self._encode(x["table"], x["key"])
                    for x in body["expect"]
                    if self.rows.get((x["table"], x["key"]), (None, 0))[0] is not None
                ]
                return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for row in body.get("upserts", []):
            self.rows[row["table"], row["key"]] = (row["value"], self.version)
        for row in body.get("deletes", []):
            self.rows[row["table"], row["key"]] = (None, self.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"ver": self.version}

    def _encode(self, table: str, key: str) -> dict[str, object]:
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "removed": True} if value is None else {**row, "value": value}
