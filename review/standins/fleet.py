"""Starts the nodes of a small deployment as processes, beside their servers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import TracebackType
from typing import Any

from review.standins.http import Message, encode_message, read_message
from review.standins.server import AppServer
from review.standins.store import Store

__all__ = [
    "Client",
    "Fleet",
    "Node",
    "enforce_memory_limit",
    "main",
    "route",
    "send_while_kept",
    "trouble_enabled",
]

REPOSITORY = Path(__file__).parents[2]
READY_TIMEOUT_S = 20.0
CASE_TIMEOUT_S = 110.0
HOST = "a.example"
# `memory_mb` of the machines: the platform kills a process that exceeds it.
MEMORY_LIMIT_MB = float(os.environ.get("MEMORY_LIMIT_MB", "150"))
MEMORY_POLL_INTERVAL_S = 0.02
PAUSE_S = 0.02
# Range of the ports that the fleet listens on.
FIRST_PORT = 12_000
LAST_PORT = 30_000
_used_ports: set[int] = set()


def trouble_enabled() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address() -> str:
    """Return a loopback address with a free port, below the ephemeral ports."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def route(
    name: str,
    service: str,
    kind: str = "idempotent",
    timeout_s: float = 4.0,
    target_s: float = 2.0,
) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    spec = {
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_s": timeout_s,
        "target_latency_s": target_s,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }
    return {"resource_type": "routes", "metadata": {"name": f"r-{name}"}, "spec": spec}


class Node:
    """One node process, and the addresses that its settings name."""

    def __init__(self, name: str, service: str, fleet: Fleet) -> None:
        self.name = name
        self.service = service
        self._fleet = fleet
        self.app_address = free_address()
        self.listen = {
            key: free_address() for key in ("inbound", "outbound", "ready", "control")
        }
        self.process: subprocess.Popen[bytes] | None = None
        self._settings_path = fleet.directory / f"{name}.yaml"
        self.log_path = fleet.directory / f"{name}.log"

    def write_settings(self) -> None:
        """Write the settings as the platform does; JSON is YAML, too."""
        settings = {
            "self_node": {
                "node_name": self.name,
                "role": "node",
                "machine_class": "sidecar",
                "serves": ["sidecar"],
                "ip": "127.0.0.1",
                "zone": "rennes",
                "region": "bretagne",
                "loss_counts": False,
                "bootstrap": False,
                "data_dir": None,
                "limits": {"cores": 1, "memory_mb": 150, "link_mbps": 1000.0},
                "app_addr": self.app_address,
                "service": self.service,
            },
            "network": {"listen": self.listen, "seeds": []},
            "platform": {
                "heartbeat_s": 1.5,
                "platform": {"address": self._fleet.store_address, "form": "table"},
            },
            "terms": {
                "bounds": {
                    "reuse_after_s": 2,
                    "stable_s": 3,
                    "drain_s": 2,
                    "grace_s": 6,
                    "config_apply_s": 2,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 60,
                }
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "GYPSUMLOCK_CONFIG": str(self._settings_path),
        }
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=output, stderr=output
            )
        self._fleet.log(f"platform starts node {self.name}")

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self._fleet.log(f"node {self.name} killed")

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None:
            return 0.0
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def wait_until_ready(self) -> None:
        """Wait until the readiness probe returns 200."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            client = Client(self.listen["ready"])
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await client.send("GET /-/readyz HTTP/1.1", {})).status == 200:
                    return
            client.close()
            await asyncio.sleep(0.05)
        raise TimeoutError(f"node {self.name} is not ready")


class Client:
    """A client with one kept connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, line: str, headers: dict[str, str], body: bytes = b""
    ) -> Message:
        """Send a request on the kept connection, and return the response."""
        if self._reader is None or self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._writer.write(encode_message(line, {"Host": HOST, **headers}, body))
        return await read_message(self._reader)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Fleet:
    """The store, the nodes, the servers and the record of what happened."""

    def __init__(self, record_path: Path) -> None:
        self._record = record_path.open("w")  # noqa: SIM115
        self._began_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._temporary.name)
        self.store = Store()
        self.store_address = free_address()
        self.nodes: list[Node] = []
        self._last_request = 0

    async def __aenter__(self) -> Fleet:
        await self.store.start(self.store_address)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for node in self.nodes:
            node.kill()
            self.log(f"--- last lines of node {node.name}")
            lines = node.log_path.read_text(errors="replace").splitlines()
            for line in lines[-12:]:
                self._record.write(f"    {line[:300]}\n")
        self._record.close()
        self._temporary.cleanup()

    def log(self, message: str) -> None:
        """Write a line to the record."""
        now_s = time.monotonic() - self._began_s
        self._record.write(f"{now_s:8.3f} {message}\n")
        self._record.flush()

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a version of the configuration, as the operator does."""
        names = sorted({resource["spec"]["service"] for resource in routes})
        spec = {"health_path": "/healthz", "max_conns": 120}
        services = [
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
            for name in names
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        resources = [
            *routes,
            *services,
            {"resource_type": "limits", "metadata": {}, "spec": limits},
        ]
        document = {"version": f"r{version}", "resources": resources}
        self.store.put("op", "config", json.dumps(document).encode())

    def add_node(self, name: str, service: str) -> Node:
        """Add a node and start its process."""
        node = Node(name, service, self)
        self.nodes.append(node)
        node.start()
        return node

    async def add_server(self, node: Node, instance: str) -> AppServer:
        """Start the server beside a node."""
        server = AppServer(
            instance, node.service, node.app_address, node.listen["control"], self.log
        )
        await server.start()
        return server

    async def call(
        self,
        client: Client,
        path: str,
        method: str = "GET",
        deadline_ms: int = 4000,
        body: bytes = b"",
    ) -> tuple[str, int]:
        """Send a client's request; return its id and the status, 0 without answer."""
        self._last_request += 1
        request_id = f"{self._last_request:016x}"
        headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        self.log(f"client sends {request_id} {method} {path}")
        try:
            response = await client.send(f"{method} {path} HTTP/1.1", headers, body)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.log(f"client gets no answer to {request_id}: {type(error).__name__}")
            client.close()
            return request_id, 0
        self.log(f"client gets {response.status} to {request_id}")
        if response.headers.get("connection") == "close":
            client.close()
        return request_id, response.status

    async def wait_until_served(self, node: Node, path: str) -> None:
        """Send requests to a node until one is answered with 200."""
        client = Client(node.listen["outbound"])
        for _ in range(200):
            if (await self.call(client, path))[1] == 200:
                client.close()
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{path} is not served at node {node.name}")


async def send_while_kept(
    fleet: Fleet, node: Node, path: str, end_s: float, unanswered: list[str]
) -> None:
    """Send requests on a kept connection until it ends, or until a time.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    node : Node
        Node that the client sends to.
    path : str
        Path of the requests.
    end_s : float
        Monotonic time after which no request is sent.
    unanswered : list[str]
        Receives the identifier of the request that got no answer, if there is one.
    """
    client = Client(node.listen["outbound"])
    while time.monotonic() < end_s:
        request_id, status = await fleet.call(client, path)
        if not status:
            unanswered.append(request_id)
            return
        await asyncio.sleep(PAUSE_S)
    client.close()


async def enforce_memory_limit(fleet: Fleet, node: Node) -> None:
    """Kill a node once it exceeds its memory, as the platform does."""
    peak_mb = 0.0
    while node.is_running():
        used_mb = node.memory_mb()
        if used_mb > peak_mb + 10:
            peak_mb = used_mb
            fleet.log(f"node {node.name} uses {used_mb:.0f} MB")
        if used_mb > MEMORY_LIMIT_MB:
            fleet.log(f"platform: node {node.name} exceeds {MEMORY_LIMIT_MB:.0f} MB")
            node.kill()
        await asyncio.sleep(MEMORY_POLL_INTERVAL_S)


def main(case: Callable[[], Coroutine[Any, Any, bool]]) -> None:
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""

    async def run() -> bool:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case()

    # The fleet ends its processes also when the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
