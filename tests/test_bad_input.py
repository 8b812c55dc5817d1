"""Tests that bad input gets a numbered error and no traceback.

A running node keeps running; a node whose start fails exits with the error's code.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import grpc
import httpcore
import msgspec
import yaml

from gypsumlock.result_codes import ResultCode
from tests.standins.fleet import (
    OPERATOR_TOKEN,
    Fleet,
    InstancePlan,
    load_example_defaults,
)
from tests.standins.ports import free_ports
from tests.standins.processes import wait_until

TIMEOUT_S = 20


class TestRunningNode(unittest.TestCase):
    """Bad input to the listeners of a running node."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet([InstancePlan("one", "a", "search")]).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        cls.fleet.load_defaults(load_example_defaults("bowline"), cls.fleet["one"])
        cls.fleet.wait_version(1)
        cls.fleet.wait_upstreams()

    def tearDown(self) -> None:
        instance = self.fleet["one"]
        self.assertTrue(instance.node.running())
        self.assertEqual(instance.in_force_version(), 1)
        self.assertNotIn("Traceback", instance.node.log_path.read_text())

    def send(
        self, method: str, path: str, content: bytes | None = None,
        token: str | None = OPERATOR_TOKEN,
    ) -> tuple[int, int]:  # fmt: skip
        """Return the HTTP status and the code of the first fault."""
        headers = [("authorization", f"Bearer {token}")] if token else []
        url = f"http://{self.fleet['one'].operator_address}{path}"
        response = httpcore.request(method, url, headers=headers, content=content)
        decoded = msgspec.json.decode(response.content)
        return response.status, decoded["faults"][0]["code"]

    def test_each_bad_request_has_its_code(self) -> None:
        valid_fields = {"author": "a", "operation_id": "12345678", "base_revision": 1}
        cases: tuple[tuple[str, str, object, ResultCode], ...] = (
            ("POST", "/v1/defaults", b"{", ResultCode.OPERATOR_BAD_BODY),
            ("POST", "/v1/defaults", b"\xff\xfe", ResultCode.OPERATOR_BAD_BODY),
            ("POST", "/v1/defaults", b"[]", ResultCode.CONFIG_BAD_DOCUMENT),
            (
                "POST",
                "/v1/defaults",
                {**valid_fields, "path": "a.b", "value": 1},
                ResultCode.CONFIG_UNKNOWN_PATH,
            ),
            (
                "POST",
                "/v1/defaults",
                {**valid_fields, "path": "limits.ejection_s", "value": -1},
                ResultCode.CONFIG_BAD_DOCUMENT,
            ),
            (
                "POST",
                "/v1/exceptions",
                {
                    **valid_fields,
                    "name": "x",
                    "selector": {},
                    "overrides": {},
                    "reason": "",
                },
                ResultCode.CONFIG_UNKNOWN_EXCEPTION,
            ),
            (
                "POST",
                "/v1/exceptions",
                {
                    "author": "a",
                    "operation_id": "12345679",
                    "name": "x",
                    "selector": {},
                    "overrides": {},
                    "reason": " ",
                },
                ResultCode.CONFIG_REASON_MISSING,
            ),
            (
                "DELETE",
                "/v1/exceptions/x",
                valid_fields,
                ResultCode.CONFIG_UNKNOWN_EXCEPTION,
            ),
            ("GET", "/v1/nothing", None, ResultCode.OPERATOR_NOT_FOUND),
            ("PATCH", "/v1/defaults", None, ResultCode.OPERATOR_NOT_FOUND),
            ("GET", "/v1/history?limit=x", None, ResultCode.OPERATOR_BAD_BODY),
            ("GET", "/v1/diff?from=77&to=78", None, ResultCode.CONFIG_UNKNOWN_VERSION),
            (
                "POST",
                "/v1/defaults",
                b" " * 2_000_000,
                ResultCode.OPERATOR_BODY_TOO_LARGE,
            ),
        )
        for method, path, body, code in cases:
            with self.subTest(path=path, code=code):
                encoded = body if isinstance(body, bytes) else msgspec.json.encode(body)
                content = None if body is None else encoded
                self.assertEqual(self.send(method, path, content)[1], code)

    def test_token_is_required(self) -> None:
        self.assertEqual(
            self.send("GET", "/v1/status", token=None),
            (401, ResultCode.OPERATOR_TOKEN_MISSING),
        )
        self.assertEqual(
            self.send("GET", "/v1/status", token="wrong"),
            (403, ResultCode.OPERATOR_TOKEN_WRONG),
        )

    def test_bad_announcements_are_rejected(self) -> None:
        url = f"http://{self.fleet['one'].local_address}/announce"
        for body in (b"{", b"[]", b'{"service": "X", "address": "a", "slots": 0}'):
            response = httpcore.request("POST", url, content=body)
            self.assertEqual(response.status, 400)

    def test_bytes_that_are_not_http_or_grpc(self) -> None:
        instance = self.fleet["one"]
        for address in (
            instance.call_address,
            instance.peer_address,
            instance.local_address,
            instance.operator_address,
        ):
            host, _, port = address.rpartition(":")
            for data in (b"\x00" * 100, b"GET / HTTP/9.9\r\n\r\n", b"A" * 200_000):
                with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
                    try:
                        sock.sendall(data)
                        sock.shutdown(socket.SHUT_WR)
                        while sock.recv(4096):
                            pass
                    except OSError:
                        pass
        self.assertEqual(instance.request("/search/x").status, 200)

    def test_wrong_fleet_key_and_malformed_message(self) -> None:
        instance = self.fleet["one"]
        fleet_key = (self.fleet.directory / "fleet.key").read_bytes()
        with grpc.insecure_channel(instance.peer_address) as channel:
            call = channel.unary_unary("/gypsumlock.mesh.Mesh/Exchange", None, None)
            with self.assertRaises(grpc.RpcError) as rejected:
                call(b"", timeout=TIMEOUT_S)
            self.assertIs(rejected.exception.code(), grpc.StatusCode.UNAUTHENTICATED)
            metadata = (("gypsumlock-fleet-key-bin", fleet_key),)
            with self.assertRaises(grpc.RpcError):
                call(b"\xff" * 50, metadata=metadata, timeout=TIMEOUT_S)


class TestDaemonStart(unittest.TestCase):
    """A fault at startup ends the process, with the fault's code as exit code."""

    def setUp(self) -> None:
        temporary_directory = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_directory.cleanup)
        self.directory = Path(temporary_directory.name)
        (self.directory / "key").write_text("a key that is long enough")
        ports = free_ports(4)
        names = ("calls", "peers", "local", "operator")
        self.listen = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        self.settings: dict[str, object] = {
            "zone": "a", "region": "b", "instance": "c", "listen": self.listen,
            "platform": {"url": f"http://127.0.0.1:{free_ports(1)[0]}"},
            "fleet_key_file": str(self.directory / "key"),
            "operator_token_file": str(self.directory / "key"),
        }  # fmt: skip

    def start(self) -> subprocess.Popen[str]:
        path = self.directory / "node.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        return subprocess.Popen(
            [sys.executable, "-m", "gypsumlock.daemon", str(path)],
            stderr=subprocess.PIPE,
            text=True,
        )

    def assert_exits_with(self, code: ResultCode, path: str) -> None:
        child = self.start()
        _, stderr = child.communicate(timeout=TIMEOUT_S)
        self.assertEqual(child.returncode, code)
        self.assertIn(f"[{code.value}] {path}", stderr)
        self.assertNotIn("Traceback", stderr)

    def test_each_address_in_use(self) -> None:
        for name, address in self.listen.items():
            with self.subTest(name=name), socket.socket() as listener:
                host, _, port = address.rpartition(":")
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind((host, int(port)))
                listener.listen()
                self.assert_exits_with(ResultCode.PORT_IN_USE, f"listen.{name}")

    def test_bad_settings(self) -> None:
        self.settings["zone"] = 7
        self.assert_exits_with(ResultCode.SETTINGS_BAD_VALUE, "zone")

    def test_missing_secret(self) -> None:
        self.settings["fleet_key_file"] = str(self.directory / "missing")
        code = ResultCode.SETTINGS_SECRET_UNREADABLE
        self.assert_exits_with(code, "fleet_key_file")

    def test_unreachable_platform(self) -> None:
        child = self.start()
        url = f"http://{self.listen['local']}/ready"

        def ready_status() -> int:
            try:
                return httpcore.request("GET", url).status
            except httpcore.ConnectError:
                return 0

        wait_until(lambda: ready_status() == 503, TIMEOUT_S, "node up, but not ready")
        response = httpcore.request("GET", f"http://{self.listen['calls']}/x")
        self.assertEqual(
            dict(response.headers)[b"gypsumlock-code"],
            str(ResultCode.CALL_NOT_READY.value).encode(),
        )
        child.terminate()
        _, stderr = child.communicate(timeout=TIMEOUT_S)
        self.assertEqual(child.returncode, 0)
        self.assertNotIn("Traceback", stderr)


class TestSingleNode(unittest.TestCase):
    """A single node with an in-memory platform."""

    def test_node_becomes_ready_and_accepts_a_change(self) -> None:
        plan = InstancePlan("one", "a", "", overrides={"platform": {"url": "memory"}})
        with Fleet([plan]) as fleet:
            fleet.wait_ready()
            version = fleet.load_defaults(
                load_example_defaults("bowline"), fleet["one"]
            )
            fleet.wait_version(version)
