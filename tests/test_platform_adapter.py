"""Tests of the platform adapter: settings, configuration, heartbeats, store client."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import time
import unittest
from typing import Any
from urllib.parse import parse_qs, urlsplit

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import CallServer, HttpHandler, ServerConnection
from gypsumlock.platform.config import decode_config
from gypsumlock.platform.endpoints import decode_heartbeat
from gypsumlock.platform.settings import parse_settings
from gypsumlock.platform.store_client import PlatformStore
from gypsumlock.result_codes import ResultCode

SETTINGS_YAML = """
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


def route_resource(**overrides: Any) -> dict[str, Any]:
    """Return a resource of type `routes`; a value of None removes a field."""
    fields = {
        "host": "a.example",
        "prefix": "/x/",
        "route_kind": "idempotent",
        "timeout_s": 1,
        "service": "finder",
    }
    fields.update(overrides)
    spec = {name: value for name, value in fields.items() if value is not None}
    return {"resource_type": "routes", "metadata": {"name": "r"}, "spec": spec}


LIMITS_RESOURCE = {
    "resource_type": "limits",
    "metadata": {},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}


def config_document(*resources: dict[str, Any], version: str = "r7") -> bytes:
    """Return an encoded configuration document."""
    return json.dumps({"version": version, "resources": list(resources)}).encode()


class TestSettings(unittest.TestCase):
    """Decoding of the platform's settings file."""

    def test_fields_are_decoded(self) -> None:
        parsed = parse_settings(SETTINGS_YAML)
        assert isinstance(parsed, Ok)
        settings = parsed.ok_value
        self.assertEqual(settings.addresses.upstream, "10.1.0.8:8301")
        self.assertEqual(settings.addresses.calls, "10.1.0.8:8304")
        self.assertEqual(settings.store_address, "10.200.1.7:8309")
        self.assertEqual(settings.bounds.retry_allowance, 56)

    def test_invalid_settings_return_result_code(self) -> None:
        cases = {
            "": ResultCode.SETTINGS_BAD_VALUE,
            "a: [": ResultCode.SETTINGS_NOT_YAML,
            SETTINGS_YAML.replace("zone:", "other:"): ResultCode.SETTINGS_BAD_VALUE,
        }
        for text, code in cases.items():
            with self.subTest(code=code):
                parsed = parse_settings(text)
                assert isinstance(parsed, Err)
                self.assertEqual(parsed.err_value.code, code)


class TestConfig(unittest.TestCase):
    """A version of the configuration is accepted or rejected as a whole."""

    def test_route_is_decoded(self) -> None:
        value = config_document(
            route_resource(
                route_kind="non_idempotent", priority=1, target_latency_s=0.5
            ),
            LIMITS_RESOURCE,
        )
        decoded = decode_config(value)
        assert isinstance(decoded, Ok)
        decoded_route = decoded.ok_value.routes[0]
        self.assertEqual(decoded.ok_value.version, 7)
        self.assertFalse(decoded_route.repeatable)
        self.assertEqual((decoded_route.rank, decoded_route.target_latency_s), (1, 0.5))

    def test_weighted_route_is_decoded(self) -> None:
        clusters = [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}]
        value = config_document(
            route_resource(service=None, weighted_clusters=clusters), LIMITS_RESOURCE
        )
        decoded = decode_config(value)
        assert isinstance(decoded, Ok)
        shares = decoded.ok_value.routes[0].shares
        self.assertEqual([share.service for share in shares], ["x", "y"])

    def test_unknown_resource_types_are_ignored(self) -> None:
        unknown = {"resource_type": "future", "metadata": {"name": "z"}, "spec": []}
        self.assertIsInstance(
            decode_config(config_document(route_resource(), unknown, LIMITS_RESOURCE)),
            Ok,
        )

    def test_invalid_versions_are_rejected(self) -> None:
        cases = {
            "truncated": config_document(route_resource(), LIMITS_RESOURCE)[:-20],
            "no limits": config_document(route_resource()),
            "no service": config_document(
                route_resource(service=None), LIMITS_RESOURCE
            ),
            "no timeout": config_document(
                route_resource(timeout_s=None), LIMITS_RESOURCE
            ),
            "bad version": config_document(
                route_resource(), LIMITS_RESOURCE, version="7"
            ),
            "zero weight": config_document(
                route_resource(
                    service=None, weighted_clusters=[{"service": "x", "weight": 0}]
                ),
                LIMITS_RESOURCE,
            ),
        }
        for name, value in cases.items():
            with self.subTest(name):
                decoded = decode_config(value)
                assert isinstance(decoded, Err)
                code = decoded.err_value.code
                self.assertEqual(code, ResultCode.PLATFORM_BAD_MESSAGE)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_return_error(self, value: bytes) -> None:
        self.assertIsInstance(decode_config(value), Ok | Err)


class TestHeartbeat(unittest.TestCase):
    """Decoding of valid and invalid heartbeats."""

    VALID_HEARTBEAT: dict[str, object] = {
        "address": "10.1.0.8:8301",
        "info": {"service": "finder", "version": "v1", "zone": "a", "slots": 18},
        "status": {"state": "draining", "sequence": 4, "cold_left_s": 1.5},
        "born": 1_774_215_133_000,
    }

    def test_heartbeat_is_decoded(self) -> None:
        decoded = decode_heartbeat("i-1", json.dumps(self.VALID_HEARTBEAT).encode())
        assert isinstance(decoded, Ok)
        heartbeat = decoded.ok_value
        self.assertTrue(heartbeat.leaving)
        self.assertEqual((heartbeat.slots, heartbeat.sequence), (18, 4))
        self.assertEqual(heartbeat.born_ms, 1_774_215_133_000)

    def test_invalid_heartbeats_are_rejected(self) -> None:
        cases: dict[str, dict[str, object]] = {
            "unknown state": {"status": {"state": "invalid", "sequence": 1}},
            "no address": {"address": None},
            "slots as text": {"info": {"service": "f", "slots": "18"}},
            "no status": {"status": {}},
        }
        for name, change in cases.items():
            with self.subTest(name):
                body = json.dumps({**self.VALID_HEARTBEAT, **change}).encode()
                self.assertIsInstance(decode_heartbeat("i-1", body), Err)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_return_error(self, body: bytes) -> None:
        self.assertIsInstance(decode_heartbeat("i-1", body), Ok | Err)


class _FakeStore(HttpHandler):
    """Returns the responses that a test queued and records the requests."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, dict[str, Any]]] = []
        self.requests: list[tuple[str, dict[str, list[str]], bytes]] = []

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        url = urlsplit(request.target.decode())
        query = parse_qs(url.query, keep_blank_values=True)
        self.requests.append((url.path, query, request.body))
        status, body = self.responses.pop(0)
        connection.send_response(status, [], json.dumps(body).encode())


def store_row(key: str, value: bytes, ver: int) -> dict[str, Any]:
    """Return a row as the store encodes it."""
    encoded_value = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "value": encoded_value, "ver": ver}


class TestStoreClient(unittest.IsolatedAsyncioTestCase):
    """Requests to the store and handling of its responses."""

    async def asyncSetUp(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.fake_store = _FakeStore()
        self.server = CallServer(self.fake_store)
        await self.server.start(address)
        self.store = PlatformStore(address)
        self.addAsyncCleanup(self.store.close)
        self.addCleanup(self.server.stop_listening)

    async def test_table_is_read_page_by_page(self) -> None:
        first_page = {"rows": [store_row("a", b"1", 3)], "truncated": True, "ver": 9}
        last_page = {"rows": [store_row("b", b"2", 11)], "truncated": False, "ver": 12}
        self.fake_store.responses = [(200, first_page), (200, last_page)]
        result = await self.store.read_table("t")
        assert isinstance(result, Ok)
        self.assertEqual([row.value for row in result.ok_value.rows], [b"1", b"2"])
        # Rows that changed between the two reads must be requested again.
        self.assertEqual(result.ok_value.version, 9)
        self.assertEqual(self.fake_store.requests[1][1]["from"], ["a\0"])

    async def test_removed_rows_have_no_value(self) -> None:
        removed_row = {"table": "t", "part": "", "key": "a", "removed": True, "ver": 5}
        self.fake_store.responses = [(200, {"rows": [removed_row], "ver": 5})]
        result = await self.store.wait_for_changes("t", 4, 0.1)
        assert isinstance(result, Ok)
        self.assertIsNone(result.ok_value.rows[0].value)

    async def test_odd_rows_are_ignored(self) -> None:
        odd_rows: list[dict[str, Any]] = [
            {"key": 5, "ver": 1},
            {"key": "a", "ver": 2**70},
            {"key": "a", "ver": 1, "value": 7},
            {"key": "a", "ver": 1, "removed": "no"},
        ]
        rows = [*odd_rows, store_row("b", b"1", 3), *odd_rows]
        self.fake_store.responses = [(200, {"rows": rows, "ver": 9})]
        result = await self.store.read_table("t")
        assert isinstance(result, Ok)
        self.assertEqual([row.key for row in result.ok_value.rows], ["b"])

    async def test_odd_responses_are_errors(self) -> None:
        bodies: list[Any] = [{"ver": 2**70}, {"ver": "9"}, {"ver": 9, "rows": {}}, []]
        for body in bodies:
            self.fake_store.responses = [(200, body)]
            result = await self.store.read_table("t")
            assert isinstance(result, Err)
            self.assertEqual(result.err_value.code, ResultCode.PLATFORM_BAD_ANSWER)

    async def test_status_410_returns_history_lost(self) -> None:
        self.fake_store.responses = [(410, {})]
        result = await self.store.wait_for_changes("t", 4, 0.1)
        assert isinstance(result, Err)
        self.assertEqual(result.err_value.code, ResultCode.PLATFORM_HISTORY_LOST)

    async def test_write_sends_expected_version(self) -> None:
        self.fake_store.responses = [(200, {"ver": 8, "now_s": 1.0})]
        result = await self.store.write_row("t", "k", b"v", 7)
        assert isinstance(result, Ok)
        self.assertIsNone(result.ok_value.current)
        transaction = json.loads(self.fake_store.requests[0][2])
        self.assertEqual(transaction["expect"][0]["ver"], 7)
        self.assertEqual(base64.b64decode(transaction["upserts"][0]["value"]), b"v")

    async def test_failed_condition_returns_current_row(self) -> None:
        self.fake_store.responses = [
            (412, {"rows": [store_row("k", b"x", 9)], "ver": 9})
        ]
        result = await self.store.write_row("t", "k", b"v", 7)
        assert isinstance(result, Ok)
        assert result.ok_value.current is not None
        self.assertEqual(result.ok_value.current.version, 9)

    async def test_error_statuses_return_refused(self) -> None:
        for status in (429, 503, 500):
            self.fake_store.responses = [(status, {})]
            result = await self.store.read_table("t")
            assert isinstance(result, Err)
            self.assertEqual(result.err_value.code, ResultCode.PLATFORM_REFUSED)


class TestSilentConnections(unittest.IsolatedAsyncioTestCase):
    """Open connections to the store go silent, while new ones work."""

    async def asyncSetUp(self) -> None:
        self.silent = False
        self.connections = 0
        # Time for the server to see that its connections were closed.
        self.addAsyncCleanup(asyncio.sleep, 0.05)
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.store = PlatformStore(f"{host}:{port}")
        self.addAsyncCleanup(self.store.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection, unless it was open at the fault."""
        self.connections += 1
        opened_before_fault = not self.silent
        body = b'{"ver": 7, "rows": []}'
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self.silent and opened_before_fault:
                    continue
                await asyncio.sleep(0.05)
                head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
        writer.close()

    # Each open connection was found silent only by a call of its own.
    async def test_one_silent_connection_tells_of_the_others(self) -> None:
        await asyncio.gather(*(self.store.read_table("t") for _ in range(3)))
        self.assertEqual(self.connections, 3)
        self.silent = True
        self.assertIsInstance(await self.store.wait_for_changes("t", 1, 0.2), Err)
        async with asyncio.timeout(0.5):
            self.assertIsInstance(await self.store.read_table("t"), Ok)


class TestStorePartition(unittest.IsolatedAsyncioTestCase):
    """A store that doesn't respond to connection attempts."""

    async def test_unanswered_connection_attempt_times_out(self) -> None:
        # A listener with a full backlog drops further connection attempts, as a network
        # partition does.
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
        started_s = time.monotonic()
        async with asyncio.timeout(5.0):
            result = await store.wait_for_changes("t", 1, 12.0)
        self.assertIsInstance(result, Err)
        # A version must take effect within 2 s after a partition ends.
        self.assertLess(time.monotonic() - started_s, 1.5)
