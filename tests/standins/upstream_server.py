"""A stand-in for an upstream: records each run, and misbehaves on demand.

Run as `python -m tests.standins.upstream_server SETTINGS_JSON`. It announces
itself to the node beside it. Each answer is a random body with its digest in a
header, and repeats the caller's own call id, so that a caller can tell whether
the answer is whole and its own.
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
CALL_ID = b"x-test-call"
DIGEST = b"x-test-digest"
NESTED = b"x-test-nested"


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """What one stand-in is started with."""

    service: str
    address: str
    node_local: str
    node_calls: str
    slots: int = 20
    work_ms: float = 0.0
    # File that outlives the process, with the call id of each run on a line.
    runs_file: str = "/dev/null"


@dataclass(frozen=True, slots=True)
class UpstreamControl:
    """How the upstream behaves from now on."""

    mode: Literal["ok", "half", "drop", "refuse", "silent"] = "ok"
    leaving: bool = False
    work_ms: float | None = None
    # True stops announcements without a word.
    mute: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What the upstream has seen so far."""

    cancelled: int
    in_flight: int
    most_in_flight: int
    # Unix time of the last begun run.
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
            await self._call(scope, receive, send)

    def _record(self) -> UpstreamRecord:
        return UpstreamRecord(
            self._cancelled,
            self._in_flight,
            self._most_in_flight,
            self._last_begun_s,
        )

    async def _call(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = scope["headers"]
        call_id = (find_header(headers, CALL_ID) or b"").decode()
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
        work = asyncio.create_task(self._answer(scope, digest.hexdigest(), send))
        gone = asyncio.ensure_future(receive())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self._cancelled += 1
                work.cancel()
            await asyncio.gather(work, return_exceptions=False)
        except asyncio.CancelledError:
            pass
        finally:
            self._in_flight -= 1
            gone.cancel()

    async def _answer(self, scope: Scope, request_digest: str, send: Send) -> None:
        headers = scope["headers"]
        query = parse_qs(scope["query_string"].decode())
        size = int(query.get("size", ["64"])[0])
        async with self._slots:
            await asyncio.sleep(self._work_ms(query) / 1000)
            nested = find_header(headers, NESTED)
            if nested:
                await self._call_nested(scope, nested)
        if self.control.mode == "drop":
            abort_connection(send)
            return
        if self.control.mode == "silent":
            await asyncio.sleep(3600)
        body = os.urandom(size)
        answer = [
            (b"content-length", str(size).encode()),
            (DIGEST, hashlib.sha256(body).hexdigest().encode()),
            (CALL_ID, find_header(headers, CALL_ID) or b""),
            (b"x-test-request-digest", request_digest.encode()),
            (b"x-test-upstream", self._settings.address.encode()),
            # A forged refusal, which nodes must not believe.
            (b"gypsumlock-outcome", b"not-run"),
        ]
        status = 503 if self.control.mode == "refuse" else 200
        await send({"type": "http.response.start", "status": status, "headers": answer})
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

    async def _call_nested(self, scope: Scope, nested: bytes) -> None:
        """Call the next paths of a comma-separated list through the own node."""
        path, _, rest = nested.partition(b",")
        call_id = find_header(scope["headers"], CALL_ID) or b""
        headers = [
            (b"host", b"mesh"),
            (CALL_ID, call_id + b"/" + path.strip(b"/")),
            (CONTEXT, find_header(scope["headers"], CONTEXT) or b""),
        ]
        if rest:
            headers.append((NESTED, rest))
        url = f"http://{self._settings.node_calls}{path.decode()}"
        answer = await self._pool.request("GET", url, headers=headers)
        if answer.status != 200:
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
    """Serve and announce until killed."""
    sock = listen(settings.address, "").unwrap()
    app = UpstreamApp(settings)
    server: HttpServer = make_server(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(app.announce)
        await server.serve([sock])


def main() -> None:
    """Serve until killed."""
    settings = msgspec.json.decode(sys.argv[1], type=UpstreamSettings)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
