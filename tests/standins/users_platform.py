"""Fake of the users' platform for tests with real node processes.

It provides the store, the settings files, the operator's configuration and heartbeats.
The store serves the platform's HTTP protocol from a `MemoryFeedStore`, including its
failures. Message bodies are written out here, not taken from the adapter under test.
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
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import CallServer, HttpHandler, ServerConnection
from gypsumlock.mesh.store_era import add_era, store_version
from gypsumlock.result_codes import ResultCode
from tests.standins.feed_store import MemoryFeedStore
from tests.standins.mesh_fleet import free_address
from tests.standins.mesh_upstream import MeshUpstream

__all__ = ["PlatformNode", "UsersPlatform", "route_resource"]

REPOSITORY_ROOT = Path(__file__).parents[2]
JSON_HEADERS = [(b"content-type", b"application/json")]


class _StoreHandler(HttpHandler):
    """Serves the HTTP protocol of the store."""

    def __init__(self, store: MemoryFeedStore) -> None:
        self._store = store

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            status, body = await self._get_rows(query)
        elif url.path == "/-/rows-feed":
            status, body = await self._wait_for_changes(query)
        elif url.path == "/-/rows-tx":
            status, body = await self._write_row(json.loads(request.body))
        else:
            status, body = 404, {}
        headers = list(JSON_HEADERS)
        if self._store.era:
            headers.append((b"store-era", b"%d" % self._store.era))
        connection.send_response(status, headers, json.dumps(body).encode())

    async def _get_rows(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table = query["table"]
        result = await self._store.read_table(table)
        if isinstance(result, Err):
            return 503, {}
        matching = sorted(
            (row for row in result.ok_value.rows if row.key >= query.get("from", "")),
            key=lambda row: row.key,
        )
        limit = int(query.get("limit", 500))
        rows = [_encode_row(table, row) for row in matching[:limit]]
        truncated = len(matching) > limit
        return 200, {
            "rows": rows,
            "truncated": truncated,
            "ver": store_version(result.ok_value.version),
        }

    async def _wait_for_changes(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        wait_s = int(query["wait_ms"]) / 1000
        table = query["table"]
        after = add_era(int(query["after"]), self._store.era)
        result = await self._store.wait_for_changes(table, after, wait_s)
        if isinstance(result, Err):
            history_lost = result.err_value.code is ResultCode.PLATFORM_HISTORY_LOST
            return (410 if history_lost else 503), {}
        rows = [_encode_row(table, row) for row in result.ok_value.rows]
        return 200, {"rows": rows, "ver": store_version(result.ok_value.version)}

    async def _write_row(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        (expect,), (upsert,) = body["expect"], body["upserts"]
        value = base64.b64decode(upsert["value"])
        result = await self._store.write_row(
            upsert["table"],
            upsert["key"],
            value,
            add_era(expect["ver"], self._store.era),
        )
        if isinstance(result, Err):
            return 503, {}
        current = result.ok_value.current
        version = store_version(result.ok_value.version)
        if current is None:
            return 200, {"ver": version, "now_s": 1.0}
        rows = [] if current.value is None else [_encode_row(upsert["table"], current)]
        return 412, {"rows": rows, "ver": version}


def _encode_row(table: str, row: FeedRow) -> dict[str, Any]:
    version = store_version(row.version)
    encoded = {"table": table, "part": "", "key": row.key, "ver": version}
    if row.value is None:
        return {**encoded, "removed": True}
    return {**encoded, "value": base64.b64encode(row.value).decode()}


def route_resource(
    name: str, service: str, route_kind: str = "idempotent"
) -> dict[str, Any]:
    """Return a route as a resource of the operator's configuration."""
    return {
        "resource_type": "routes",
        "metadata": {"name": f"r-{name}"},
        "spec": {
            "host": "a.example",
            "prefix": f"/{name}/",
            "route_kind": route_kind,
            "timeout_s": 3,
            "target_latency_s": 1.0,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        },
    }


class PlatformNode:
    """A node that runs as a separate process, and its upstream."""

    def __init__(
        self, directory: Path, name: str, service: str, store_address: str
    ) -> None:
        self.name = name
        self.service = service
        self.upstream = MeshUpstream(f"i-{name}")
        self.settings_path = directory / f"{name}.yaml"
        self.log_path = directory / f"{name}.log"
        self.addresses = {
            listener: free_address()
            for listener in ("inbound", "outbound", "ready", "control")
        }
        self._store_address = store_address
        self.process: subprocess.Popen[bytes] | None = None
        self.sequence = 0
        # Limits of the machine, as the settings name them; none by default.
        self.limits: dict[str, float] = {}
        # Version of the upstream's software, and further bounds in the settings.
        self.version = "v1"
        self.more_bounds: dict[str, float] = {}

    async def start(self) -> None:
        """Start the upstream and the node."""
        await self.upstream.start()
        self.write_settings()
        self.start_process()

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        settings = {
            "self_node": {
                "node_name": self.name,
                "zone": "a",
                "app_addr": self.upstream.address,
                "service": self.service,
                "limits": self.limits,
            },
            "network": {"listen": self.addresses, "seeds": []},
            "platform": {
                "heartbeat_s": 1.5,
                "platform": {"address": self._store_address},
            },
            "terms": {
                "bounds": {
                    "grace_s": 6,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 56,
                    **self.more_bounds,
                }
            },
        }
        self.settings_path.write_text(yaml.safe_dump(settings))

    def start_process(self) -> None:
        """Start the process of the node."""
        environment = {**os.environ, "GYPSUMLOCK_CONFIG": str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumlock.platform"],
                cwd=REPOSITORY_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self.process.send_signal(signal_number)

    async def wait_for_exit(self, timeout_s: float) -> int:
        """Wait until the process has exited and return its exit code."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, timeout_s)

    async def send_heartbeat(self, state: str = "ready", born_ms: int = 1000) -> int:
        """Send a heartbeat as the upstream does and return the response status."""
        self.sequence += 1
        body = {
            "address": self.upstream.address,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": "a",
                "slots": 4,
            },
            "status": {"state": state, "sequence": self.sequence, "cold_left_s": 0},
            "born": born_ms,
        }
        target = f"/-/Instances.Heartbeat/{self.upstream.instance}"
        return (await self.request("control", "POST", target, json.dumps(body))).status

    async def request(
        self, listener: str, method: str, target: str, body: str = "", **headers: str
    ) -> httpcore.Response:
        """Send one request on a new connection."""
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{self.addresses[listener]}{target}",
                headers=list(request_headers.items()),
                content=body.encode() or None,
            )

    async def call(
        self, request_number: int, path: str = "/search/x", method: str = "GET"
    ) -> httpcore.Response:
        """Send one call as a client."""
        return await self.request(
            "outbound",
            method,
            path,
            "body" if method == "POST" else "",
            Host="a.example",
            Request_Id=f"{request_number:08x}",
            Deadline_Ms="3000",
        )

    async def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            return (await self.request("ready", "GET", "/-/readyz")).status == 200
        except httpcore.NetworkError:
            return False

    def kill(self) -> None:
        """Kill the process of the node and stop the upstream."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.upstream.stop()


class UsersPlatform:
    """The store and the nodes of the platform, as an asynchronous context manager."""

    def __init__(self, directory: Path) -> None:
        self.store = MemoryFeedStore()
        self.nodes: list[PlatformNode] = []
        # Limits on clients in the configurations that are written from now on.
        self.client_limits: dict[str, float] = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        self._directory = directory
        self._store_address = free_address()
        self._store_server: CallServer | None = None

    async def __aenter__(self) -> UsersPlatform:
        self._store_server = CallServer(_StoreHandler(self.store))
        await self._store_server.start(self._store_address)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            node.kill()
        if self._store_server is not None:
            self._store_server.stop_listening()

    def configure(self, version: int, *routes: dict[str, Any]) -> None:
        """Write a version of the configuration as the operator does."""
        service = {"health_path": "/healthz", "max_conns": 100}
        resources = [
            *routes,
            {
                "resource_type": "services",
                "metadata": {"name": "finder"},
                "spec": service,
            },
            {"resource_type": "limits", "metadata": {}, "spec": self.client_limits},
        ]
        document = {"version": f"r{version}", "resources": resources}
        self.store.put("op", "config", json.dumps(document).encode())

    async def add_node(
        self,
        name: str,
        service: str = "finder",
        limits: dict[str, float] | None = None,
        version: str = "v1",
        more_bounds: dict[str, float] | None = None,
    ) -> PlatformNode:
        """Add a node, on a machine with some limits, and start it with its upstream."""
        node = PlatformNode(self._directory, name, service, self._store_address)
        node.limits = limits or {}
        node.version = version
        node.more_bounds = more_bounds or {}
        self.nodes.append(node)
        await node.start()
        return node
