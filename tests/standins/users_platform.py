"""The users' platform for real processes: store, settings, operator, heartbeats.

The store speaks the platform's HTTP over the rows of `MemoryFeedStore`, with its
failures; the bodies are written out here, not taken from the adapter under test.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httpcore
import yaml
from result import Err

from gypsumlock.mesh.feed_store import FeedRow
from gypsumlock.mesh.http_server import (
    CallServer,
    HttpHandler,
    HttpRequest,
    ServerConnection,
)
from gypsumlock.result_codes import ResultCode
from tests.standins.feed_store import MemoryFeedStore
from tests.standins.mesh_fleet import free_address
from tests.standins.mesh_upstream import MeshUpstream

__all__ = ["PlatformNode", "UsersPlatform", "route_entry"]

ROOT = Path(__file__).parents[2]
JSON = [(b"content-type", b"application/json")]


class _Store(HttpHandler):
    """Answers the store's calls."""

    def __init__(self, rows: MemoryFeedStore) -> None:
        self._rows = rows

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        parts = urlsplit(request.target.decode())
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-get":
            status, body = await self._get(query)
        elif parts.path == "/-/rows-feed":
            status, body = await self._feed(query)
        elif parts.path == "/-/rows-tx":
            status, body = await self._write(json.loads(request.body))
        else:
            status, body = 404, {}
        connection.answer(status, JSON, json.dumps(body).encode())

    async def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table = query["table"]
        read = await self._rows.read_table(table)
        if isinstance(read, Err):
            return 503, {}
        kept = sorted(
            (row for row in read.ok_value.rows if row.key >= query.get("from", "")),
            key=lambda row: row.key,
        )
        limit = int(query.get("limit", 500))
        rows = [_encode(table, row) for row in kept[:limit]]
        more = len(kept) > limit
        return 200, {"rows": rows, "truncated": more, "ver": read.ok_value.version}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        wait_s = int(query["wait_ms"]) / 1000
        table = query["table"]
        read = await self._rows.wait_for_changes(table, int(query["after"]), wait_s)
        if isinstance(read, Err):
            gone = read.err_value.code is ResultCode.PLATFORM_HISTORY_LOST
            return (410 if gone else 503), {}
        rows = [_encode(table, row) for row in read.ok_value.rows]
        return 200, {"rows": rows, "ver": read.ok_value.version}

    async def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        (expect,), (upsert,) = body["expect"], body["upserts"]
        value = base64.b64decode(upsert["value"])
        written = await self._rows.write_row(
            upsert["table"], upsert["key"], value, expect["ver"]
        )
        if isinstance(written, Err):
            return 503, {}
        current = written.ok_value.current
        if current is None:
            return 200, {"ver": written.ok_value.version, "now_s": 1.0}
        rows = [] if current.value is None else [_encode(upsert["table"], current)]
        return 412, {"rows": rows, "ver": written.ok_value.version}


def _encode(table: str, row: FeedRow) -> dict[str, Any]:
    found = {"table": table, "part": "", "key": row.key, "ver": row.version}
    if row.value is None:
        return {**found, "removed": True}
    return {**found, "value": base64.b64encode(row.value).decode()}


def route_entry(name: str, service: str, kind: str = "idempotent") -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "resource_type": "routes",
        "metadata": {"name": f"r-{name}"},
        "spec": {
            "host": "a.example",
            "prefix": f"/{name}/",
            "route_kind": kind,
            "timeout_s": 3,
            "target_latency_s": 1.0,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        },
    }


class PlatformNode:
    """One node as a process of its own, and the upstream beside it."""

    def __init__(self, folder: Path, name: str, service: str, store: str) -> None:
        self.name = name
        self.service = service
        self.upstream = MeshUpstream(f"i-{name}")
        self.settings_path = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self.addresses = {
            listener: free_address()
            for listener in ("inbound", "outbound", "ready", "control")
        }
        self._store = store
        self.process: subprocess.Popen[bytes] | None = None
        self.sequence = 0

    async def start(self) -> None:
        """Start the upstream and the node."""
        await self.upstream.start()
        self.write_settings()
        self.start_process()

    def write_settings(self) -> None:
        """Write the settings as the platform does."""
        settings = {
            "self_node": {
                "node_name": self.name,
                "zone": "a",
                "app_addr": self.upstream.address,
                "service": self.service,
            },
            "network": {"listen": self.addresses, "seeds": []},
            "platform": {"heartbeat_s": 1.5, "platform": {"address": self._store}},
            "terms": {
                "bounds": {
                    "grace_s": 6,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 56,
                }
            },
        }
        self.settings_path.write_text(yaml.safe_dump(settings))

    def start_process(self) -> None:
        """Start the node."""
        environment = {**os.environ, "GYPSUMLOCK_CONFIG": str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumlock.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, timeout_s)

    async def beat(self, state: str = "ready", born_ms: int = 1000) -> int:
        """Report the upstream as it does itself; return the status."""
        self.sequence += 1
        body = {
            "address": self.upstream.address,
            "info": {"service": self.service, "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": state, "sequence": self.sequence, "cold_left_s": 0},
            "born": born_ms,
        }
        target = f"/-/Instances.Heartbeat/{self.upstream.instance}"
        return (await self.ask("control", "POST", target, json.dumps(body))).status

    async def ask(
        self, listener: str, method: str, target: str, body: str = "", **headers: str
    ) -> httpcore.Response:
        """Send one request on a connection of its own."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{self.addresses[listener]}{target}",
                headers=list(sent.items()),
                content=body.encode() or None,
            )

    async def call(
        self, number: int, path: str = "/search/x", method: str = "GET"
    ) -> httpcore.Response:
        """Send one call as a client."""
        return await self.ask(
            "outbound",
            method,
            path,
            "body" if method == "POST" else "",
            Host="a.example",
            Request_Id=f"{number:08x}",
            Deadline_Ms="3000",
        )

    async def ready(self) -> bool:
        """Tell whether the node says that it is ready."""
        try:
            return (await self.ask("ready", "GET", "/-/readyz")).status == 200
        except httpcore.NetworkError:
            return False

    def kill(self) -> None:
        """End the process that this object started."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.upstream.stop()


class UsersPlatform:
    """The store, and the nodes that were started; an asynchronous context."""

    def __init__(self, folder: Path) -> None:
        self.rows = MemoryFeedStore()
        self.nodes: list[PlatformNode] = []
        self._folder = folder
        self._address = free_address()
        self._server: CallServer | None = None

    async def __aenter__(self) -> UsersPlatform:
        self._server = CallServer(_Store(self.rows))
        await self._server.start(self._address)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            node.kill()
        if self._server is not None:
            self._server.stop_listening()

    def configure(self, version: int, *routes: dict[str, Any]) -> None:
        """Write a version as the operator."""
        service = {"health_path": "/healthz", "max_conns": 100}
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        resources = [
            *routes,
            {
                "resource_type": "services",
                "metadata": {"name": "finder"},
                "spec": service,
            },
            {"resource_type": "limits", "metadata": {}, "spec": limits},
        ]
        document = {"version": f"r{version}", "resources": resources}
        self.rows.put("op", "config", json.dumps(document).encode())

    async def add(self, name: str, service: str = "finder") -> PlatformNode:
        """Start a node."""
        node = PlatformNode(self._folder, name, service, self._address)
        self.nodes.append(node)
        await node.start()
        return node
