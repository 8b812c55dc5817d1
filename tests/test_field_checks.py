"""Messages from outside with odd fields are ignored, and all others hold."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Iterator
from dataclasses import asdict
from ipaddress import IPv4Address
from typing import Any, ClassVar

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FeedHeartbeat,
    FollowRequest,
    PackedDelta,
    RecordRow,
    RecordUpdate,
    pack_config,
    pack_records,
    unpack_config,
    unpack_records,
)
from gypsumlock.mesh.feed_store import FeedRow
from gypsumlock.mesh.frames import (
    AnswerChunk,
    Cancel,
    FramedProtocol,
    LoadReport,
    Message,
    Ping,
    Pong,
    Withdraw,
)
from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.model import (
    Answer,
    CallRequest,
    Failure,
    MeshConfig,
    OwnerLoad,
    Refusal,
    UpstreamRecord,
)
from gypsumlock.mesh.record_watcher import RECORD_TABLE, decode_record
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.upstream_connection import UpstreamConnection
from gypsumlock.mesh.upstream_response import ExchangeFailed, UpstreamResponse
from gypsumlock.platform.config import decode_config
from gypsumlock.platform.endpoints import decode_deregistration, decode_heartbeat
from gypsumlock.platform.settings import parse_settings
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.messages import RouteCounts, VersionReport, VersionVerdict
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.test_memory_bounds import RecordingTransport
from tests.test_platform_adapter import (
    LIMITS_RESOURCE,
    SETTINGS_YAML,
    config_document,
    route_resource,
)

DEEPLY_NESTED = b"[" * 20_000 + b"]" * 20_000
# Values that another program may write into any field.
ODD_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(min_value=2**63, max_value=2**90),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=300),
        st.sampled_from(
            ["1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "a:1", ":1", "1.2.3.4:x", "\0:1"]
        ),
    ),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)
# The same for the encoding between nodes, which has no larger integers, but bytes.
ODD_PACKED_VALUES = st.one_of(
    st.none(),
    st.integers(min_value=-(2**63), max_value=2**64 - 1),
    st.floats(),
    st.text(max_size=20),
    st.binary(max_size=20),
    st.lists(st.integers(0, 3), max_size=3),
)


def replace_fields(document: Any, odd: Any) -> Iterator[Any]:
    """Yield copies of a document, each with another part of it replaced."""
    yield odd
    if isinstance(document, dict):
        for name, value in document.items():
            for changed in replace_fields(value, odd):
                yield {**document, name: changed}
            yield {other: x for other, x in document.items() if other != name}
    elif isinstance(document, list):
        for index, value in enumerate(document):
            for changed in replace_fields(value, odd):
                yield [*document[:index], changed, *document[index + 1 :]]


def make_record(node: str = "n-9") -> UpstreamRecord:
    """Return a record that all nodes would follow and send calls to."""
    return UpstreamRecord(
        node,
        "127.0.0.9:9",
        "a",
        "finder",
        "i-9",
        1000,
        4,
        serving=True,
        link_mbps=9999.0,
    )


class TestRecords(unittest.TestCase):
    """Rows of the store, and the same from other nodes."""

    def check(self, record: UpstreamRecord | None) -> None:
        """Check that a record can be used wherever records are used."""
        if record is None:
            return
        host, _, port = record.peer_address.rpartition(":")
        IPv4Address(host)
        self.assertIn(int(port), range(1, 65_536))
        row = RecordRow(1, record)
        self.assertEqual(unpack_records(pack_records([row])), [row])

    @given(ODD_VALUES)
    def test_record_with_an_odd_field_is_usable_or_ignored(self, odd: Any) -> None:
        document = json.loads(msgspec.json.encode(make_record()))
        for changed in replace_fields(document, odd):
            row = FeedRow("n-9", json.dumps(changed).encode(), 1)
            self.check(decode_record(row))

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_are_ignored(self, value: bytes) -> None:
        self.check(decode_record(FeedRow("n-9", value, 1)))

    def test_deeply_nested_record_is_ignored(self) -> None:
        start = msgspec.json.encode(make_record())[:-1]
        for value in (DEEPLY_NESTED, start + b"," + DEEPLY_NESTED + b"]"):
            self.assertIsNone(decode_record(FeedRow("n-9", value, 1)))

    @given(ODD_PACKED_VALUES)
    def test_odd_row_of_another_node_leaves_the_others(self, odd: Any) -> None:
        good = RecordRow(1, make_record())
        document = msgspec.to_builtins(good)
        for changed in replace_fields(document, odd):
            encoded = msgspec.Raw(msgspec.msgpack.encode(changed))
            update = RecordUpdate([encoded, *pack_records([good]).rows])
            rows = unpack_records(update)
            self.assertEqual(rows[-1], good)
            for row in rows:
                self.check(row.record)


class TestHeartbeats(unittest.TestCase):
    """Heartbeats and deregistrations."""

    VALID: ClassVar[dict[str, Any]] = {
        "address": "10.1.0.8:8301",
        "info": {"service": "finder", "version": "v1", "zone": "a", "slots": 18},
        "status": {"state": "ready", "sequence": 4, "cold_left_s": 1.5},
        "born": 1_774_215_133_000,
    }

    @given(ODD_VALUES)
    def test_heartbeat_with_an_odd_field_is_usable_or_rejected(self, odd: Any) -> None:
        for changed in replace_fields(self.VALID, odd):
            decoded = decode_heartbeat("i-1", json.dumps(changed).encode())
            if isinstance(decoded, Ok):
                heartbeat = decoded.ok_value
                self.assertIn(heartbeat.slots, range(1, 100_001))
                msgspec.msgpack.encode(asdict(heartbeat))

    @given(ODD_VALUES)
    def test_deregistration_with_an_odd_field_is_usable_or_rejected(
        self, odd: Any
    ) -> None:
        for changed in replace_fields({"born": 1}, odd):
            decoded = decode_deregistration("i-1", json.dumps(changed).encode())
            if isinstance(decoded, Ok):
                msgspec.msgpack.encode(decoded.ok_value)

    def test_deeply_nested_bodies_are_rejected(self) -> None:
        body = b'{"odd":' + DEEPLY_NESTED + b"}"
        self.assertTrue(decode_heartbeat("i-1", body).is_err())
        self.assertTrue(decode_deregistration("i-1", body).is_err())

    # A start in the far future outdated all later heartbeats of the upstream.
    def test_start_in_the_far_future_is_rejected(self) -> None:
        for born_ms in (2**53, 10**15):
            body = json.dumps({**self.VALID, "born": born_ms}).encode()
            self.assertTrue(decode_heartbeat("i-1", body).is_err())
            body = json.dumps({"born": born_ms}).encode()
            self.assertTrue(decode_deregistration("i-1", body).is_err())

    def test_odd_instances_are_rejected(self) -> None:
        body = json.dumps(self.VALID).encode()
        self.assertTrue(decode_heartbeat("i-1", body).is_ok())
        for instance in ("", "a b", "i\r\nx: y", "\xe9", "i" * 201):
            self.assertTrue(decode_heartbeat(instance, body).is_err())
            self.assertTrue(decode_deregistration(instance, b"{}").is_err())


class TestConfigurations(unittest.TestCase):
    """Versions from the operator, and from other nodes."""

    def check(self, config: MeshConfig | None) -> None:
        """Check that a version can be used and forwarded."""
        if config is not None:
            RouteTable(config)
            self.assertEqual(unpack_config(pack_config(config)), config)
            msgspec.msgpack.encode(FollowRequest(config.version, 0))

    @settings(max_examples=50)
    @given(ODD_VALUES)
    def test_version_with_an_odd_field_is_usable_or_rejected(self, odd: Any) -> None:
        service = {"resource_type": "services", "metadata": {"name": "f"}}
        spec = {"health_path": "/healthz", "max_conns": 9}
        document = json.loads(
            config_document(
                route_resource(priority=1, max_attempts=2, target_latency_s=0.5),
                {**service, "spec": spec},
                LIMITS_RESOURCE,
            )
        )
        for changed in replace_fields(document, odd):
            decoded = decode_config(json.dumps(changed).encode())
            self.check(decoded.ok_value if isinstance(decoded, Ok) else None)

    def test_odd_versions_are_rejected(self) -> None:
        for version in ("r", "r-1", "r1_0", "r" + "9" * 5000, "r" + "9" * 30, "r٣"):
            value = config_document(LIMITS_RESOURCE, version=version)
            self.assertTrue(decode_config(value).is_err(), version[:10])

    def test_deeply_nested_version_is_rejected(self) -> None:
        for value in (DEEPLY_NESTED, b'{"version":"r1","odd":' + DEEPLY_NESTED + b"}"):
            self.assertTrue(decode_config(value).is_err())

    @settings(max_examples=50)
    @given(ODD_PACKED_VALUES)
    def test_odd_version_of_another_node_is_usable_or_ignored(self, odd: Any) -> None:
        document = msgspec.to_builtins(make_config())
        for changed in replace_fields(document, odd):
            packed = pack_config(changed)
            self.check(unpack_config(packed))


class _CollectingProtocol(FramedProtocol):
    """Collects the messages that are handled."""

    def __init__(self) -> None:
        super().__init__(LinkMeter(0.0))
        self.messages: list[Message] = []

    def handle_message(self, message: Message) -> None:
        self.messages.append(message)


def make_messages() -> list[Message]:
    """Return a message of each type."""
    load = OwnerLoad(4, 2, (0.1, 0.2), 0.1, 0.5, True, 0.1)
    code = ResultCode.CALL_OVERLOADED
    request = CallRequest(
        number=1,
        request_id=b"a",
        service="finder",
        route="search",
        rank=1,
        repeatable=True,
        target_s=1.0,
        late_ok=False,
        response_bytes=10,
        target_left_s=-0.5,
        deadline_left_s=1.0,
        method=b"GET",
        target=b"/x",
        headers=[(b"a", b"b")],
        body=b"",
    )
    return [
        request,
        Answer(1, 200, [(b"a", b"b")], b"x", load),
        Refusal(1, code, 0.5, False, load),
        Failure(1, code, load),
        Cancel(1),
        Ping(1),
        Pong(1),
        LoadReport(load),
        Withdraw(1),
        AnswerChunk(1, b"x"),
        FollowRequest(1, 1),
        pack_records([RecordRow(1, make_record())]),
        PackedDelta(1, b"x"),
        ConfigSnapshot(b"x"),
        FeedHeartbeat(True, 1, 1, 1),
        VersionReport("n", "s", "i", "v", 1, 1, False, [RouteCounts("r", 1, {3: 2})]),
        VersionVerdict(1, 1, 1, True),
    ]


class TestMessagesBetweenNodes(unittest.IsolatedAsyncioTestCase):
    """Frames of another node."""

    def receive(self, *payloads: bytes) -> tuple[list[Message], RecordingTransport]:
        """Return what is handled of frames, and the transport of the connection."""
        protocol = _CollectingProtocol()
        transport = RecordingTransport()
        protocol.connection_made(transport)
        for payload in payloads:
            protocol.data_received(len(payload).to_bytes(4, "big") + payload)
        return protocol.messages, transport

    async def test_valid_messages_are_handled(self) -> None:
        messages = make_messages()
        handled, _ = self.receive(*map(msgspec.msgpack.encode, messages))
        self.assertEqual(handled, messages)

    @settings(max_examples=50, deadline=None)
    @given(ODD_PACKED_VALUES)
    def test_message_with_an_odd_field_leaves_the_others(self, odd: Any) -> None:
        asyncio.run(self.check_odd_messages(odd))

    async def check_odd_messages(self, odd: Any) -> None:
        """Check that a connection outlives messages with an odd field."""
        last = Ping(7)
        for message in make_messages():
            document = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
            for changed in replace_fields(document, odd):
                payload = msgspec.msgpack.encode(changed)
                handled, transport = self.receive(payload, msgspec.msgpack.encode(last))
                self.assertEqual(handled[-1], last)
                self.assertFalse(transport.closed)

    async def test_deeply_nested_message_leaves_the_others(self) -> None:
        payload = b"\x93\x06\x01" + b"\x91" * 20_000 + b"\x01"
        last = Ping(7)
        handled, _ = self.receive(payload, msgspec.msgpack.encode(last))
        self.assertEqual(handled, [last])

    async def test_call_with_an_odd_head_is_refused(self) -> None:
        request = make_messages()[0]
        assert isinstance(request, CallRequest)
        odd_heads: list[dict[str, Any]] = [
            {"headers": [(b"a", b"b\r\nx: y")]},
            {"headers": [(b"a b", b"c")]},
            {"headers": [(b"a:", b"c")]},
            {"target": b"/x HTTP/1.1\r\n\r\n"},
            {"method": b"GET /y"},
        ]
        for odd in odd_heads:
            with self.subTest(**odd):
                changed = msgspec.structs.replace(request, **odd)
                handled, transport = self.receive(msgspec.msgpack.encode(changed))
                self.assertEqual(handled, [])
                refusal = msgspec.msgpack.decode(transport.written[4:], type=Refusal)
                self.assertEqual(refusal.number, request.number)

    async def test_call_with_an_odd_outcome_fails_at_once(self) -> None:
        answer = make_messages()[1]
        assert isinstance(answer, Answer)
        odd = msgspec.structs.replace(answer, headers=[(b"a", b"b\r\n\r\n")])
        handled, _ = self.receive(msgspec.msgpack.encode(odd))
        self.assertEqual(len(handled), 1)
        self.assertIsInstance(handled[0], Failure)


class TestAnswersOfUpstreams(unittest.IsolatedAsyncioTestCase):
    """Responses whose headers hold odd values."""

    async def receive(self, head: bytes) -> UpstreamResponse | None:
        """Return the response to a call, or None if there is no usable one."""
        connection = UpstreamConnection(b"request-id", ByteBudget())
        connection.connection_made(RecordingTransport())
        exchange = asyncio.create_task(connection.exchange(b"GET", b"a", b"GET /"))
        await asyncio.sleep(0)
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 2\r\n%b\r\nok" % head
        )
        connection.connection_lost(None)
        try:
            return await exchange
        except ExchangeFailed:
            return None

    @given(st.sampled_from([b"keep-alive", b"date", b"x"]), st.binary(max_size=40))
    def test_odd_header_gives_a_response_or_none(
        self, name: bytes, value: bytes
    ) -> None:
        asyncio.run(self.receive(name + b": " + value + b"\r\n"))

    async def test_odd_keep_alive_timeout_is_ignored(self) -> None:
        for digits in (b"", b"x", b"9" * 400, b"9" * 5000):
            response = await self.receive(b"keep-alive: timeout=" + digits + b"\r\n")
            assert response is not None
            self.assertEqual(response.body, b"ok")


class TestSettingsFile(unittest.TestCase):
    """The settings file of the platform."""

    def test_odd_addresses_are_rejected(self) -> None:
        self.assertTrue(parse_settings(SETTINGS_YAML).is_ok())
        for odd in ("10.1.0.8", "10.1.0.8:x", "10.1.0.8:70000", "10.1.0.300:1"):
            text = SETTINGS_YAML.replace("10.1.0.8:8300", odd)
            self.assertTrue(parse_settings(text).is_err(), odd)

    def test_deeply_nested_file_is_rejected(self) -> None:
        self.assertTrue(parse_settings("[" * 20_000).is_err())


class TestOddRows(unittest.IsolatedAsyncioTestCase):
    """Rows of another writer among those of a running fleet."""

    # One record with an address that can't be parsed ended every node that read it.
    async def test_odd_rows_end_no_node(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config())
        for number in range(4):
            await fleet.add(f"n-{number}", link_mbps=10.0)
        await fleet.wait_until_ready()
        for number, value in enumerate(odd_records()):
            fleet.store.put(RECORD_TABLE, f"odd-{number}", value)
        await asyncio.sleep(3.0)
        for host in fleet.hosts:
            assert host.task is not None
            self.assertFalse(host.task.done())
            self.assertEqual((await fleet.call(host)).status, 200)
        # They still follow the records.
        fleet.hosts[3].send_heartbeat(leaving=True)
        await fleet.wait_until_ready(upstreams=3)

    # Nodes that did not read the store went on without knowing that their row was gone.
    async def test_overwritten_row_is_written_again(self) -> None:
        fleet = await self.start_fleet()
        for host in fleet.hosts:
            fleet.store.put(RECORD_TABLE, host.name, DEEPLY_NESTED)
        await self.check_rows_are_written_again(fleet)

    async def test_departure_outlives_an_overwritten_row(self) -> None:
        fleet = await self.start_fleet()
        host = fleet.hosts[3]
        host.send_heartbeat(leaving=True)
        await fleet.wait_until_ready(upstreams=3)
        fleet.store.put(RECORD_TABLE, host.name, b"odd")
        await asyncio.sleep(2.0)
        await fleet.restart(host)
        host.send_heartbeat()
        await asyncio.sleep(2.0)
        await fleet.wait_until_ready(upstreams=3)

    # A valid row hid the row of the live node whose address it named.
    async def test_address_of_a_live_node_under_another_name(self) -> None:
        for serving in (False, True):
            with self.subTest(serving=serving):
                fleet = await self.start_fleet()
                for host in fleet.hosts:
                    odd = msgspec.structs.replace(
                        make_record(f"odd-{host.name}"),
                        peer_address=host.addresses.peers,
                        serving=serving,
                    )
                    fleet.store.put(RECORD_TABLE, odd.node, msgspec.json.encode(odd))
                await self.check_rows_are_written_again(fleet)

    async def start_fleet(self) -> MeshFleet:
        """Return a fleet of which some nodes do not read the store."""
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config())
        for number in range(4):
            await fleet.add(f"n-{number}", link_mbps=10.0)
        await fleet.wait_until_ready()
        # By now the nodes follow each other.
        await asyncio.sleep(1.5)
        reads = [host.node.feed.store_reads_enabled.is_set() for host in fleet.hosts]
        self.assertIn(False, reads)
        return fleet

    async def check_rows_are_written_again(self, fleet: MeshFleet) -> None:
        """Check that soon all nodes know all upstreams from their own rows."""
        await asyncio.sleep(2.0)
        names = {host.name for host in fleet.hosts}
        for host in fleet.hosts:
            views = host.node.directory.views("finder")
            self.assertEqual({view.node for view in views}, names)
            row = fleet.store.tables[RECORD_TABLE][host.name]
            self.assertIsNotNone(decode_record(row))


def odd_records() -> Iterator[bytes]:
    """Yield records that name a node to follow, each with one odd field."""
    changes: list[dict[str, Any]] = [
        {"peer_address": "somewhere"},
        {"peer_address": "127.0.0.1:99999"},
        {"peer_address": "127.0.0.1:x"},
        {"peer_address": "a" * 90 + "\0:1"},
        {"born_ms": 2**70},
        {"slots": 2**70},
        {"link_mbps": "fast"},
        {"instance": "i\r\nx: y"},
    ]
    for number, change in enumerate(changes):
        record = msgspec.structs.replace(make_record(f"odd-{number}"), **change)
        yield msgspec.json.encode(record)
    start = msgspec.json.encode(make_record(f"odd-{len(changes)}"))[:-1]
    yield start + b"," + DEEPLY_NESTED + b"]"
