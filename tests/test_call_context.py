"""Contexts can't be forged, and carry rank, time and depth."""

from __future__ import annotations

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumlock.proxy import CallContext, ContextSigner
from gypsumlock.proxy.headers import CONTEXT, forwardable


def context(kind: str = "nested") -> CallContext:
    return CallContext(kind, "c0ffee", "booking", 2.0, 1000.0, 3, 7)  # type: ignore[arg-type]


class TestContextSigner(unittest.TestCase):
    """Signing and verifying."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.signer = ContextSigner(b"key of the fleet", lambda: self.now_s)

    def test_round_trip(self) -> None:
        self.assertEqual(self.signer.verify(self.signer.sign(context())), context())

    def test_another_key_is_rejected(self) -> None:
        other = ContextSigner(b"key of a stranger")
        self.assertIsNone(self.signer.verify(other.sign(context())))

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, value: bytes) -> None:
        signer = ContextSigner(b"key of the fleet")
        self.assertIsNone(signer.verify(value))

    def test_every_changed_byte_is_rejected(self) -> None:
        genuine = self.signer.sign(context())
        for index in range(len(genuine)):
            forged = bytearray(genuine)
            forged[index] ^= 1
            self.assertIsNone(self.signer.verify(bytes(forged)))

    def test_nested_time_runs_while_the_upstream_works(self) -> None:
        self.now_s += 1.5
        self.assertAlmostEqual(self.signer.time_left_s(context()), 0.5)
        self.assertEqual(self.signer.time_left_s(context("hop")), 2.0)


class TestForwardable(unittest.TestCase):
    """Headers of one connection, and of the nodes, do not go on."""

    def test_headers(self) -> None:
        headers = [
            (b"host", b"mesh"),
            (b"connection", b"x-private, close"),
            (b"x-private", b"1"),
            (b"transfer-encoding", b"chunked"),
            (CONTEXT, b"forged"),
            (b"gypsumlock-outcome", b"not-run"),
            (b"cookie", b"c"),
        ]
        self.assertEqual(forwardable(headers), [(b"host", b"mesh"), (b"cookie", b"c")])
