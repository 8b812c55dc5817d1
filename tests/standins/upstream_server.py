"""Stand-in for an upstream: records each run, and misbehaves on request.

Run as `python -m tests.standins.upstream_server SETTINGS_JSON`. It announces
itself to the node on its instance. Each response has a random body with its
digest in a header, and repeats the call id that the client sent, so that a
client can tell whether the response is complete and belongs to its call.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
from contextlib import suppress
from dataclasses import dataclass
from typing import Literal
from urllib.parse import parse_qs

import anyio
import httpcore
import msgspec

from gypsumlock.http_app import HttpServer, listen, make_server, send_json
from gypsumlock.membership.announcements import Announcement
from gypsumlock.proxy.headers import CONTEXT, find_header
from gypsumlock.proxy.request import Receive, Scope, Send
from tests.standins.abort import abort_connection

ANNOUNCE_INTERVAL_S = 0.5
CHUNK_BYTES = 16_384
CALL_ID_HEADER = b"x-test-call"
DIGEST_HEADER = b"x-test-digest"
NESTED_HEADER = b"x-test-nested"


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of one stand-in, passed on its command line."""

    service: str
    address: str
    node_local: str
    node_calls: str
    slots: int = 20
    work_ms: float = 0.0
    # File with the call id of each run, one per line; outlives the process.
    runs_file: str = "/dev/null"


@dataclass(frozen=True, slots=True)
class UpstreamControl:
    """Behaviour of the upstream until the next change."""

    mode: Literal["ok", "half", "drop", "refuse", "silent"] = "ok"
    leaving: bool = False
    work_ms: float | None = None
    # True stops the announcements without announcing `leaving`.
    mute: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Counters of the upstream since its start."""

    cancelled: int
    in_flight: int
    most_in_flight: int
    # Monotonic time at which the last run began; 0 before the first.
    last_begun_s: float


class UpstreamApp:
    """Runs calls in a bounded number of slots."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._slots = asyncio.Semaphore(settings.slots)
        self._runs = open(settings.runs_file, "a", buffering=1)  # noqa: SIM115
        self._cancelled = 0
        self._in_flight = 0
        self._most_in_flight = 0
        self._last_begun_s = 0.0
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)
        self.control = UpstreamControl()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"] == "/_control":
            message = await receive()
            self.control = msgspec.json.decode(message["body"], type=UpstreamControl)
            await send_json(send, 200, None)
        elif scope["path"] == "/_record":
            await send_json(send, 200, self._record())
        else:
            await self._run_call(scope, receive, send)

    def _record(self) -> UpstreamRecord:
        return UpstreamRecord(
            self._cancelled,
            self._in_flight,
            self._most_in_flight,
            self._last_begun_s,
        )

    async def _run_call(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = scope["headers"]
        call_id = (find_header(headers, CALL_ID_HEADER) or b"").decode()
        digest = hashlib.sha256()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            digest.update(message.get("body", b""))
            if not message.get("more_body", False):
                break
        self._runs.write(call_id + "\n")
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        self._last_begun_s = asyncio.get_running_loop().time()
        response_task = asyncio.create_task(
            self._respond(scope, digest.hexdigest(), send)
        )
        disconnect_task = asyncio.ensure_future(receive())
        try:
            await asyncio.wait(
                {response_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not response_task.done():
                self._cancelled += 1
                response_task.cancel()
            await asyncio.gather(response_task, return_exceptions=False)
        except asyncio.CancelledError:
            pass
        finally:
            self._in_flight -= 1
            disconnect_task.cancel()

    async def _respond(self, scope: Scope, request_digest: str, send: Send) -> None:
        headers = scope["headers"]
        query = parse_qs(scope["query_string"].decode())
        size = int(query.get("size", ["64"])[0])
        async with self._slots:
            await asyncio.sleep(self._work_ms(query) / 1000)
            nested_paths = find_header(headers, NESTED_HEADER)
            if nested_paths:
                await self._call_nested(scope, nested_paths)
        if self.control.mode == "drop":
            abort_connection(send)
            return
        if self.control.mode == "silent":
            await asyncio.sleep(3600)
        body = os.urandom(size)
        response_headers = [
            (b"content-length", str(size).encode()),
            (DIGEST_HEADER, hashlib.sha256(body).hexdigest().encode()),
            (CALL_ID_HEADER, find_header(headers, CALL_ID_HEADER) or b""),
            (b"x-test-request-digest", request_digest.encode()),
            (b"x-test-upstream", self._settings.address.encode()),
            # A forged header of a node's error response, which nodes must not trust.
            (b"gypsumlock-outcome", b"not-run"),
        ]
        status = 503 if self.control.mode == "refuse" else 200
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": response_headers,
            }
        )
        if self.control.mode == "half":
            await send(
                {
                    "type": "http.response.body",
                    "body": body[: size // 2],
                    "more_body": True,
                }
            )
            abort_connection(send)
            return
        drip_ms = float(query.get("drip_ms", ["0"])[0])
        for start in range(0, size, CHUNK_BYTES):
            await asyncio.sleep(drip_ms / 1000)
            await send(
                {
                    "type": "http.response.body",
                    "body": body[start : start + CHUNK_BYTES],
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})

    def _work_ms(self, query: dict[str, list[str]]) -> float:
        if "ms" in query:
            return float(query["ms"][0])
        if self.control.work_ms is not None:
            return self.control.work_ms
        return self._settings.work_ms

    async def _call_nested(self, scope: Scope, nested_paths: bytes) -> None:
        """Call the first path of a comma-separated list through the local node.

        The remaining paths are passed on in a header of the call.
        """
        path, _, remaining_paths = nested_paths.partition(b",")
        call_id = find_header(scope["headers"], CALL_ID_HEADER) or b""
        headers = [
            (b"host", b"mesh"),
            (CALL_ID_HEADER, call_id + b"/" + path.strip(b"/")),
            (CONTEXT, find_header(scope["headers"], CONTEXT) or b""),
        ]
        if remaining_paths:
            headers.append((NESTED_HEADER, remaining_paths))
        url = f"http://{self._settings.node_calls}{path.decode()}"
        response = await self._pool.request("GET", url, headers=headers)
        if response.status != 200:
            raise ConnectionAbortedError

    async def announce(self) -> None:
        """Announce the upstream until cancelled."""
        url = f"http://{self._settings.node_local}/announce"
        while True:
            if not self.control.mute:
                body = Announcement(
                    self._settings.service,
                    self._settings.address,
                    self._settings.slots,
                    self.control.leaving,
                )
                with anyio.move_on_after(ANNOUNCE_INTERVAL_S):
                    with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                        await self._pool.request(
                            "POST", url, content=msgspec.json.encode(body)
                        )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def serve(settings: UpstreamSettings) -> None:
    """Serve calls and announce the upstream until killed."""
    sock = listen(settings.address, "").unwrap()
    app = UpstreamApp(settings)
    server: HttpServer = make_server(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(app.announce)
        await server.serve([sock])


def main() -> None:
    """Run the stand-in until it is killed."""
    settings = msgspec.json.decode(sys.argv[1], type=UpstreamSettings)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
