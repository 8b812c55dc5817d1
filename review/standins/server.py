"""Stand-in for an application server beside a node."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.standins.http import Message, encode_message, read_message, serve

__all__ = ["AppServer", "Behaviour"]

Behaviour = Callable[["AppServer", Message, asyncio.StreamWriter], Awaitable[None]]

HEARTBEAT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class AppServer:
    """Runs requests and records them; tells its node about itself."""

    instance: str
    service: str
    address: str
    # The node's address for heartbeats.
    control_address: str
    log: Callable[[str], None]
    slots: int = 18
    work_s: float = 0.05
    heartbeat_s: float = 1.5
    # How it answers; None for a sound server.
    behaviour: Behaviour | None = None
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    # Identifier, target and monotonic time of each request that it ran.
    runs: list[tuple[str, str, float]] = field(default_factory=list)
    leaving: bool = False
    _server: asyncio.Server | None = None
    _beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        self._server = await serve(self.address, self._respond)
        self.start_heartbeats()

    def start_heartbeats(self) -> None:
        """Send heartbeats from now on."""
        self._beat_task = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        if self._beat_task is not None:
            self._beat_task.cancel()

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def next_heartbeat(self, state: str = "ready") -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "rennes",
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": self.sequence, "cold_left_s": 0},
            "born": self.born_ms,
        }
        return json.dumps(body).encode()

    async def tell(self, call: str, body: bytes) -> int:
        """Send a heartbeat or a deregistration; return the status, 0 for none."""
        return await send_to_control(self.control_address, call, self.instance, body)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.tell("Heartbeat", self.next_heartbeat())
            await asyncio.sleep(self.heartbeat_s)

    async def _respond(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("request-id", "")
        if request.target == "/healthz":
            status = 503 if self.leaving else 200
            headers = {"Instance-Id": self.instance}
            writer.write(encode_message(f"HTTP/1.1 {status} Status", headers))
            return
        if request.headers.get("target-instance", self.instance) != self.instance:
            headers = {"Request-Id": request_id, "Instance-Id": self.instance}
            writer.write(encode_message("HTTP/1.1 421 Misdirected Request", headers))
            return
        self.runs.append((request_id, request.target, time.monotonic()))
        self.log(
            f"server {self.instance} ({self.service}) runs {request_id}"
            f" {request.method} {request.target}"
        )
        if self.behaviour is not None:
            await self.behaviour(self, request, writer)
        else:
            await self.answer(request, writer)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request after some work."""
        await asyncio.sleep(self.work_s)
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Server-Seal": f"s.{self.instance}"}
        body = f"{self.instance} {request_id}".encode()
        writer.write(encode_message("HTTP/1.1 200 OK", headers, body))


async def send_to_control(address: str, call: str, instance: str, body: bytes) -> int:
    """Send a heartbeat or a deregistration; return the status, or 0 without one."""
    host, _, port = address.rpartition(":")
    headers = {"Host": address, "Content-Type": "application/json"}
    line = f"POST /-/Instances.{call}/{instance} HTTP/1.1"
    writer = None
    try:
        async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_message(line, headers, body))
            return (await read_message(reader)).status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
