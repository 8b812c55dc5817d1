"""Tests that arbitrary input to a decoder gives a value or a fault, no exception."""

from __future__ import annotations

import unittest
from typing import Any

import yaml
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok

from gypsumlock.distribution.payload import compress, decompress
from gypsumlock.http_app import decode_body
from gypsumlock.membership.announcements import Announcement
from gypsumlock.model import (
    EMPTY_REF,
    VersionRef,
    check_snapshot,
    decode_snapshot,
    digest_of,
)
from gypsumlock.model.document_path import set_at_path
from gypsumlock.operator.messages import ExceptionBody, SetDefaultBody
from gypsumlock.proxy.connection import ConnectionLost, Http1Connection
from gypsumlock.settings import parse_options
from tests.standins.fleet import load_example_defaults

SEED = 20261204
MAX_EXAMPLES = 200
EMPTY_SNAPSHOT_DIGEST = (
    "a772c25b19e8c6e89678751302a3cf25cdba1692256fb24ebb7aaea24cdcb105"
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text(max_size=10), values, max_size=4)
    ),
    max_leaves=12,
)


class FakeTransport:
    """The methods of a transport that `Http1Connection` calls."""

    def abort(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


class TestDecoders(unittest.TestCase):
    """Settings, snapshots, request bodies and configuration documents."""

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(st.text(max_size=300))
    def test_settings_text(self, text: str) -> None:
        self.assertIsInstance(parse_options(text), Ok | Err)

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(JSON_VALUES)
    def test_settings_documents(self, document: Any) -> None:
        parsed = parse_options(yaml.safe_dump(document))
        assert isinstance(parsed, Err)
        self.assertTrue(parsed.err_value)

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=300))
    def test_snapshots(self, payload: bytes) -> None:
        ref = VersionRef(1, digest_of(payload))
        decoded = decode_snapshot(payload, ref)
        if isinstance(decoded, Ok):
            check_snapshot(decoded.ok_value)

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=300))
    def test_compressed_payloads(self, payload: bytes) -> None:
        self.assertIsInstance(decompress(payload), Ok | Err)
        self.assertEqual(decompress(compress(payload)), Ok(payload))

    def test_decompression_bomb_is_rejected(self) -> None:
        self.assertIsInstance(decompress(compress(b"0" * 2**23)), Err)

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=200))
    def test_request_bodies(self, body: bytes) -> None:
        for body_type in (Announcement, SetDefaultBody, ExceptionBody):
            self.assertIsInstance(decode_body(body, body_type), Ok | Err)

    @seed(SEED)
    @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
    @given(
        st.sampled_from(["routes", "routes.book", "routes.book.rank", "limits", "x"])
        | st.text(max_size=20),
        JSON_VALUES,
    )
    def test_default_paths(self, path: str, value: Any) -> None:
        changed = set_at_path(load_example_defaults("bowline"), path, value)
        self.assertIsInstance(changed, Ok | Err)

    def test_empty_snapshot_digest_is_stable(self) -> None:
        # Nodes of all releases must agree on the digest of version 0.
        self.assertEqual(EMPTY_REF, VersionRef(0, bytes.fromhex(EMPTY_SNAPSHOT_DIGEST)))


class TestResponseParser(unittest.IsolatedAsyncioTestCase):
    """Responses split at any byte, incomplete responses and data that is not HTTP."""

    # Response, its body, and whether the connection can be reused after it.
    RESPONSES = (
        (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", True),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            b"hello",
            True,
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            b"ok",
            True,
        ),
        (
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
            b"ok",
            False,
        ),
    )

    def connect(self, method: str = "GET") -> Http1Connection:
        connection = Http1Connection()
        connection.connection_made(FakeTransport())  # type: ignore[arg-type]
        connection.begin_request(method)
        return connection

    async def test_responses_split_anywhere(self) -> None:
        for response, body, reusable in self.RESPONSES:
            for split in range(1, len(response)):
                connection = self.connect()
                connection.data_received(response[:split])
                connection.data_received(response[split:])
                head = await connection.read_head()
                self.assertIn(head.status, (200, 204))
                received = b""
                while part := await connection.read_body():
                    received += part
                self.assertEqual(received, body)
                self.assertEqual(connection.reusable(), reusable)

    async def test_response_to_head_has_no_body(self) -> None:
        connection = self.connect("HEAD")
        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n")
        self.assertEqual((await connection.read_head()).status, 200)
        self.assertEqual(await connection.read_body(), b"")

    async def test_response_without_length_ends_at_connection_close(self) -> None:
        connection = self.connect()
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nall")
        connection.connection_lost(None)
        await connection.read_head()
        self.assertEqual(await connection.read_body(), b"all")
        self.assertFalse(connection.reusable())

    async def test_truncated_response_raises_connection_lost(self) -> None:
        connection = self.connect()
        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhal")
        connection.connection_lost(None)
        await connection.read_head()
        with self.assertRaises(ConnectionLost):
            while await connection.read_body():
                pass

    async def test_unsolicited_data_prevents_reuse(self) -> None:
        connection = self.connect()
        connection.data_received(self.RESPONSES[0][0])
        connection.data_received(self.RESPONSES[0][0])
        self.assertFalse(connection.reusable())

    def test_arbitrary_bytes(self) -> None:
        @seed(SEED)
        @settings(max_examples=MAX_EXAMPLES, deadline=None, database=None)
        @given(st.lists(st.binary(max_size=60), max_size=5))
        def parse(parts: list[bytes]) -> None:
            connection = self.connect()
            for part in parts:
                connection.data_received(part)
            connection.connection_lost(None)

        parse()
