"""An application server beside a node: runs requests and sends heartbeats."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass

from standins_2.wire import Message, call, encode_response, read_message

__all__ = ["AppServer", "Run"]

HEARTBEAT_S = 1.5


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a server began to work on."""

    at_s: float
    server: str
    request_id: str
    method: str
    target: str


class AppServer:
    """One server process; a new object is a new start."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        control: str,
        born_ms: int,
        runs: list[Run],
        work_s: float = 0.02,
        slots: int = 18,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.born_ms = born_ms
        self.runs = runs
        self.work_s = work_s
        self.slots = slots
        self.draining = False
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self._beats = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End as a killed process does: connections are reset, nothing is said."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def send_heartbeat(self, state: str = "ready") -> int:
        """Send one heartbeat; return the status of its answer, 0 for none."""
        self._sequence += 1
        body = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "rennes",
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": self._sequence, "cold_left_s": 0},
            "born": self.born_ms,
        }
        answer = await call(
            self.control,
            "POST",
            f"/-/Instances.Heartbeat/{self.name}",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        return 0 if answer is None else answer.status

    async def deregister(self) -> int:
        """Say that the server leaves; return the status of the answer, 0 for none."""
        answer = await call(
            self.control,
            "POST",
            f"/-/Instances.Deregister/{self.name}",
            {"Content-Type": "application/json"},
            json.dumps({"born": self.born_ms}).encode(),
            timeout_s=1.0,
        )
        return 0 if answer is None else answer.status

    async def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        if request.target == "/healthz":
            status = 503 if self.draining else 200
            return encode_response(status, headers={"Instance-Id": self.name})
        request_id = request.headers.get("request-id", "")
        if request.headers.get("target-instance", self.name) != self.name:
            headers = {"Instance-Id": self.name, "Request-Id": request_id}
            return encode_response(421, headers=headers)
        self.runs.append(
            Run(time.monotonic(), self.name, request_id, request.method, request.target)
        )
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {self.name} {request.target}".encode()
        seal = hashlib.sha256(body).hexdigest()[:24]
        headers = {"Request-Id": request_id, "Server-Seal": seal}
        return encode_response(200, body, headers)
