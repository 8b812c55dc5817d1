"""The adapter to the users' platform: settings, configuration, heartbeats, store."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import time
import unittest
from typing import Any
from urllib.parse import parse_qs, urlsplit

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gypsumlock.mesh.http_server import (
    CallServer,
    HttpHandler,
    HttpRequest,
    ServerConnection,
)
from gypsumlock.platform.config import decode_config
from gypsumlock.platform.endpoints import decode_heartbeat
from gypsumlock.platform.settings import parse_settings
from gypsumlock.platform.store_client import PlatformStore
from gypsumlock.result_codes import ResultCode

SETTINGS = """
self_node:
  node_name: "sidecar-a-1"
  zone: "a"
  app_addr: "10.1.0.8:8301"
  service: "finder"
  data_dir: null
network:
  listen:
    inbound: "10.1.0.8:8300"
    outbound: "10.1.0.8:8304"
    ready: "10.1.0.8:8302"
    control: "10.1.0.8:8306"
platform:
  heartbeat_s: 1.5
  platform:
    address: "10.200.1.7:8309"
terms:
  bounds: {grace_s: 6, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 56}
"""


def route(**spec: Any) -> dict[str, Any]:
    """Return an entry for a route."""
    fields = {
        "host": "a.example",
        "prefix": "/x/",
        "route_kind": "idempotent",
        "timeout_s": 1,
        "service": "finder",
    }
    fields.update(spec)
    kept = {name: value for name, value in fields.items() if value is not None}
    return {"resource_type": "routes", "metadata": {"name": "r"}, "spec": kept}


LIMITS = {
    "resource_type": "limits",
    "metadata": {},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}


def document(*entries: dict[str, Any], version: str = "r7") -> bytes:
    """Return an encoded configuration."""
    return json.dumps({"version": version, "resources": list(entries)}).encode()


class TestSettings(unittest.TestCase):
    """The platform's settings file."""

    def test_fields_are_decoded(self) -> None:
        settings = parse_settings(SETTINGS)
        assert isinstance(settings, Ok)
        found = settings.ok_value
        self.assertEqual(found.addresses.upstream, "10.1.0.8:8301")
        self.assertEqual(found.addresses.calls, "10.1.0.8:8304")
        self.assertEqual(found.store_address, "10.200.1.7:8309")
        self.assertEqual(found.bounds.retry_allowance, 56)

    def test_faults_have_codes(self) -> None:
        cases = {
            "": ResultCode.SETTINGS_BAD_VALUE,
            "a: [": ResultCode.SETTINGS_NOT_YAML,
            SETTINGS.replace("zone:", "other:"): ResultCode.SETTINGS_BAD_VALUE,
        }
        for text, code in cases.items():
            with self.subTest(code=code):
                faulty = parse_settings(text)
                assert isinstance(faulty, Err)
                self.assertEqual(faulty.err_value.code, code)


class TestConfig(unittest.TestCase):
    """The operator's configuration is taken whole or not at all."""

    def test_route_is_decoded(self) -> None:
        value = document(
            route(route_kind="non_idempotent", priority=1, target_latency_s=0.5),
            LIMITS,
        )
        decoded = decode_config(value)
        assert isinstance(decoded, Ok)
        found = decoded.ok_value.routes[0]
        self.assertEqual(decoded.ok_value.version, 7)
        self.assertFalse(found.repeatable)
        self.assertEqual((found.rank, found.target_latency_s), (1, 0.5))

    def test_split_route_is_decoded(self) -> None:
        parts = [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}]
        value = document(route(service=None, weighted_clusters=parts), LIMITS)
        decoded = decode_config(value)
        assert isinstance(decoded, Ok)
        shares = decoded.ok_value.routes[0].shares
        self.assertEqual([x.service for x in shares], ["x", "y"])

    def test_unknown_entries_are_passed_over(self) -> None:
        other = {"resource_type": "future", "metadata": {"name": "z"}, "spec": []}
        self.assertIsInstance(decode_config(document(route(), other, LIMITS)), Ok)

    def test_faulty_versions_are_refused_whole(self) -> None:
        cases = {
            "cut short": document(route(), LIMITS)[:-20],
            "no limits": document(route()),
            "no service": document(route(service=None), LIMITS),
            "no timeout": document(route(timeout_s=None), LIMITS),
            "bad version": document(route(), LIMITS, version="7"),
            "no weight": document(
                route(service=None, weighted_clusters=[{"service": "x", "weight": 0}]),
                LIMITS,
            ),
        }
        for name, value in cases.items():
            with self.subTest(name):
                decoded = decode_config(value)
                assert isinstance(decoded, Err)
                code = decoded.err_value.code
                self.assertEqual(code, ResultCode.PLATFORM_BAD_MESSAGE)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_version_or_a_code(self, value: bytes) -> None:
        self.assertIsInstance(decode_config(value), Ok | Err)


class TestHeartbeat(unittest.TestCase):
    """Reports of upstreams, and of others."""

    BEAT: dict[str, object] = {
        "address": "10.1.0.8:8301",
        "info": {"service": "finder", "version": "v1", "zone": "a", "slots": 18},
        "status": {"state": "draining", "sequence": 4, "cold_left_s": 1.5},
        "born": 1_774_215_133_000,
    }

    def test_report_is_decoded(self) -> None:
        decoded = decode_heartbeat("i-1", json.dumps(self.BEAT).encode())
        assert isinstance(decoded, Ok)
        beat = decoded.ok_value
        self.assertTrue(beat.leaving)
        self.assertEqual((beat.slots, beat.sequence), (18, 4))
        self.assertEqual(beat.born_ms, 1_774_215_133_000)

    def test_faulty_reports_name_no_upstream(self) -> None:
        cases: dict[str, dict[str, object]] = {
            "unknown state": {"status": {"state": "napping", "sequence": 1}},
            "no address": {"address": None},
            "slots as text": {"info": {"service": "f", "slots": "18"}},
            "no status": {"status": {}},
        }
        for name, change in cases.items():
            with self.subTest(name):
                body = json.dumps({**self.BEAT, **change}).encode()
                self.assertIsInstance(decode_heartbeat("i-1", body), Err)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_report_or_a_code(self, body: bytes) -> None:
        self.assertIsInstance(decode_heartbeat("i-1", body), Ok | Err)


class _StoreStandIn(HttpHandler):
    """Answers what a test put in."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, dict[str, Any]]] = []
        self.seen: list[tuple[str, dict[str, list[str]], bytes]] = []

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        parts = urlsplit(request.target.decode())
        query = parse_qs(parts.query, keep_blank_values=True)
        self.seen.append((parts.path, query, request.body))
        status, body = self.answers.pop(0)
        connection.answer(status, [], json.dumps(body).encode())


def row(key: str, value: bytes, ver: int) -> dict[str, Any]:
    """Return a row as the store sends it."""
    text = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "value": text, "ver": ver}


class TestStoreClient(unittest.IsolatedAsyncioTestCase):
    """Calls to the store, and what its answers mean."""

    async def asyncSetUp(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.standin = _StoreStandIn()
        self.server = CallServer(self.standin)
        await self.server.start(address)
        self.store = PlatformStore(address)
        self.addAsyncCleanup(self.store.close)
        self.addCleanup(self.server.stop_listening)

    async def test_table_is_read_over_pages(self) -> None:
        first = {"rows": [row("a", b"1", 3)], "truncated": True, "ver": 9}
        last = {"rows": [row("b", b"2", 11)], "truncated": False, "ver": 12}
        self.standin.answers = [(200, first), (200, last)]
        read = await self.store.read_table("t")
        assert isinstance(read, Ok)
        self.assertEqual([x.value for x in read.ok_value.rows], [b"1", b"2"])
        # What changed between the pages must be asked for again.
        self.assertEqual(read.ok_value.version, 9)
        self.assertEqual(self.standin.seen[1][1]["from"], ["a\0"])

    async def test_changes_show_removed_rows(self) -> None:
        gone = {"table": "t", "part": "", "key": "a", "removed": True, "ver": 5}
        self.standin.answers = [(200, {"rows": [gone], "ver": 5})]
        read = await self.store.wait_for_changes("t", 4, 0.1)
        assert isinstance(read, Ok)
        self.assertIsNone(read.ok_value.rows[0].value)

    async def test_lost_history_has_its_code(self) -> None:
        self.standin.answers = [(410, {})]
        read = await self.store.wait_for_changes("t", 4, 0.1)
        assert isinstance(read, Err)
        self.assertEqual(read.err_value.code, ResultCode.PLATFORM_HISTORY_LOST)

    async def test_write_names_the_version_it_replaces(self) -> None:
        self.standin.answers = [(200, {"ver": 8, "now_s": 1.0})]
        written = await self.store.write_row("t", "k", b"v", 7)
        assert isinstance(written, Ok)
        self.assertIsNone(written.ok_value.current)
        sent = json.loads(self.standin.seen[0][2])
        self.assertEqual(sent["expect"][0]["ver"], 7)
        self.assertEqual(base64.b64decode(sent["upserts"][0]["value"]), b"v")

    async def test_failed_condition_shows_the_row(self) -> None:
        self.standin.answers = [(412, {"rows": [row("k", b"x", 9)], "ver": 9})]
        written = await self.store.write_row("t", "k", b"v", 7)
        assert isinstance(written, Ok)
        assert written.ok_value.current is not None
        self.assertEqual(written.ok_value.current.version, 9)

    async def test_refusals_have_codes(self) -> None:
        for status in (429, 503, 500):
            self.standin.answers = [(status, {})]
            read = await self.store.read_table("t")
            assert isinstance(read, Err)
            self.assertEqual(read.err_value.code, ResultCode.PLATFORM_REFUSED)


class TestStorePartition(unittest.IsolatedAsyncioTestCase):
    """A store that doesn't answer connection attempts."""

    async def test_feed_gives_a_dead_connection_attempt_up(self) -> None:
        # A listener whose queue is full drops further attempts, like a partition.
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            self.addCleanup(filler.close)
            filler.connect_ex(address)
        await asyncio.sleep(0.1)
        store = PlatformStore(f"{address[0]}:{address[1]}")
        self.addAsyncCleanup(store.close)
        began_s = time.monotonic()
        async with asyncio.timeout(5.0):
            read = await store.wait_for_changes("t", 1, 12.0)
        self.assertIsInstance(read, Err)
        # A version must be in force 2 s after a partition has healed.
        self.assertLess(time.monotonic() - began_s, 1.5)
