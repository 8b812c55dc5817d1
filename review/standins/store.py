"""Stand-in for the platform's metadata store: tables of rows with a feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Message, encode_message, serve

__all__ = ["Store"]

Row = dict[str, Any]

MAX_ROWS = 500


class Store:
    """Keeps rows in memory, and serves the store's calls on one address."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._changed = asyncio.Event()

    async def start(self, address: str) -> None:
        """Listen on an address."""
        self._server = await serve(address, self._respond)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as the operator does."""
        self.version += 1
        self._rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.version,
        }
        self._changed.set()
        self._changed = asyncio.Event()

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None."""
        row = self._rows.get((table, key))
        return None if row is None else base64.b64decode(row["value"])

    async def _respond(self, request: Message, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            status, body = self._get(query)
        elif url.path == "/-/rows-feed":
            status, body = await self._feed(query)
        elif url.path == "/-/rows-tx":
            status, body = self._transact(json.loads(request.body))
        else:
            status, body = 404, {}
        body.update(ver=body.get("ver", self.version), now_s=time.monotonic())
        headers = {"Content-Type": "application/json"}
        writer.write(
            encode_message(
                f"HTTP/1.1 {status} Status", headers, json.dumps(body).encode()
            )
        )

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        start, end = query.get("from", ""), query.get("to")
        rows = sorted(
            (
                row
                for (table, key), row in self._rows.items()
                if table == query["table"]
                and key >= start
                and (end is None or key < end)
            ),
            key=lambda row: str(row["key"]),
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return 200, {"rows": rows[:limit], "truncated": len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            rows = [
                row
                for (table, _), row in self._rows.items()
                if table == query["table"] and row["ver"] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: int(row["ver"]))
                return 200, {"rows": rows}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = [
            (self._rows.get((row["table"], row["key"])), row) for row in call["expect"]
        ]
        if any((now["ver"] if now else 0) != row["ver"] for now, row in expected):
            return 412, {"rows": [now for now, _ in expected if now]}
        for row in call["upserts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {}
