"""What the cases share: the operator's configuration, requests and the record."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins_2.node import Node
from standins_2.proxy import SilentProxy
from standins_2.server import AppServer, Run
from standins_2.store import Store
from standins_2.wire import Message, call

__all__ = ["HOST", "Case", "CannotRun", "keep_logs", "route", "run_case"]

HOST = "jepu9.example"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about."""


def route(
    name: str, prefix: str, service: str, kind: str = "idempotent", **fields: object
) -> dict[str, object]:
    """Return a route as a resource of the operator's configuration."""
    spec = {
        "host": HOST,
        "prefix": prefix,
        "route_kind": kind,
        "timeout_s": 2,
        "target_latency_s": 0.5,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        **fields,
    }
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


class Case:
    """The stand-ins of one run, and the record of what happens."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.nodes: list[Node] = []
        self.servers: list[AppServer] = []
        self.proxies: list[SilentProxy] = []
        self.runs: list[Run] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._began_s = time.monotonic()
        self._record = record.open("w")
        self._last_id = 0

    def log(self, text: str) -> None:
        """Write a line into the record."""
        self._record.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._record.flush()

    def since_start_s(self, at_s: float) -> float:
        """Return a monotonic time as the record shows it."""
        return at_s - self._began_s

    def configure(self, version: int, *routes: dict[str, object]) -> float:
        """Write a configuration; return the time of its acknowledgement."""
        names = sorted({node.service for node in self.nodes})
        spec = {"health_path": "/healthz", "max_conns": 120}
        resources = [
            *routes,
            *(
                {"resource_type": "services", "metadata": {"name": x}, "spec": spec}
                for x in names
            ),
            {
                "resource_type": "limits",
                "metadata": {},
                "spec": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout_s": 3,
                    "idle_timeout_s": 15,
                },
            },
        ]
        document = {"version": f"r{version}", "resources": resources}
        self.store.put("op", "config", json.dumps(document).encode())
        self.log(f"operator: configuration r{version} acknowledged")
        return time.monotonic()

    def add_node(self, name: str, service: str, store: str = "", **more: str) -> Node:
        """Add a node that is not started yet."""
        node = Node(self.folder, name, service, store or self.store.address, **more)
        self.nodes.append(node)
        return node

    async def add_proxy(self) -> SilentProxy:
        """Start a proxy between one node and the store."""
        proxy = SilentProxy(self.store.address)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def add_server(
        self, node: Node, name: str, born_ms: int, **more: float
    ) -> AppServer:
        """Start a server beside a node."""
        server = AppServer(
            name,
            node.service,
            node.app_address,
            node.control,
            born_ms,
            self.runs,
            **more,
        )
        await server.start()
        self.servers.append(server)
        self.log(f"server {name} of {node.service} starts, born {born_ms}")
        return server

    async def request(
        self,
        node: Node,
        target: str,
        method: str = "GET",
        deadline_ms: int = 2000,
        body: bytes = b"",
    ) -> tuple[str, Message | None]:
        """Send one request as a client; return its id and the answer."""
        self._last_id += 1
        request_id = f"{self._last_id:016x}"
        self.log(f"client at {node.name}: {method} {target} {request_id}")
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        answer = await call(
            node.outbound, method, target, headers, body, deadline_ms / 1000 + 0.5
        )
        text = "no answer" if answer is None else str(answer.status)
        self.log(f"client at {node.name}: {request_id} {text}")
        return request_id, answer

    async def wait_until_served(self, node: Node, target: str) -> None:
        """Wait until a request is answered with success."""
        for _ in range(150):
            _, answer = await self.request(node, target)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{target} is not served")

    def write_runs(self) -> None:
        """Write the requests that servers ran into the record."""
        for run in self.runs:
            self._record.write(
                f"{self.since_start_s(run.at_s):8.3f} {run.server} runs "
                f"{run.method} {run.target} {run.request_id}\n"
            )

    def close(self) -> None:
        """End everything that was started."""
        for server in self.servers:
            server.crash()
        for node in self.nodes:
            node.kill()
        for proxy in self.proxies:
            proxy.close()
        self._record.close()


def run_case(play: Callable[[Case], Awaitable[bool]], record: Path) -> None:
    """Play a case, and exit with 1 if the rule was broken, 0 if not, 2 on failure.

    Parameters
    ----------
    play : Callable[[Case], Awaitable[bool]]
        Plays the case; returns whether the rule was kept.
    record : Path
        File for the record.
    """
    sys.exit(asyncio.run(_run(play, record)))


async def _run(play: Callable[[Case], Awaitable[bool]], record: Path) -> int:
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record)
        status = CANNOT_RUN
        try:
            async with asyncio.timeout(110):
                await case.store.start()
                status = HELD if await play(case) else BROKEN
        except (CannotRun, OSError, TimeoutError) as error:
            case.log(f"the case can't run: {type(error).__name__} {error}")
        finally:
            case.write_runs()
            case.log(f"exit status {status}")
            keep_logs(case)
            case.close()
            await _cancel_tasks()
    return status


def keep_logs(case: Case) -> None:
    """Copy the logs of the nodes into the folder that `KEEP_LOGS` names, if any."""
    folder = os.environ.get("KEEP_LOGS")
    for node in case.nodes:
        if folder and node.log_path.exists():
            content = node.log_path.read_bytes()
            Path(folder, node.log_path.name).write_bytes(content)


async def _cancel_tasks() -> None:
    """End what still runs in this process."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
