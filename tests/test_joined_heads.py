"""Beginnings of earlier messages before the right one, read as one head."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections.abc import Iterator

from gypsumlock.mesh.memory_account import ByteBudget
from gypsumlock.mesh.response_kind import ResponseKind, classify_response
from gypsumlock.mesh.upstream_connection import UpstreamConnection
from gypsumlock.mesh.upstream_response import ExchangeFailed, UpstreamResponse
from tests.standins.mesh_fleet import HEADER_NAMES, MeshFleet, make_config
from tests.test_memory_bounds import RecordingTransport

# Status line, headers and body of a success, a failure and a refusal.
SUCCESS = (b"200 OK", [b"Server-Seal: {id}"], b"body of {id}")
FAILURE: tuple[bytes, list[bytes], bytes] = (b"500 Error", [], b"failure of {id}")
REFUSAL = (b"503 Full", [b"Not-Executed: 1", b"Retry-After: 1"], b"")
KINDS = (SUCCESS, FAILURE, REFUSAL)


def encode(
    kind: tuple[bytes, list[bytes], bytes], request_id: bytes, order: int
) -> bytes:
    """Return a response with its headers in one of several orders."""
    status, own_headers, body = kind
    body = body.replace(b"{id}", request_id)
    headers = [
        b"Date: Sat, 05 Dec 2026 13:00:00 GMT",
        b"Request-Id: {id}",
        *own_headers,
        b"Content-Length: %d" % len(body),
    ]
    headers = headers[order:] + headers[:order]
    head = b"\r\n".join([b"HTTP/1.1 " + status, *headers, b"", b""])
    return head.replace(b"{id}", request_id) + body


def pairs_of_responses() -> Iterator[tuple[bytes, bytes]]:
    """Yield an earlier response and that of the call, in all combinations."""
    for earlier, own in itertools.product(KINDS, KINDS):
        for order in range(4):
            yield encode(earlier, b"old", order), encode(own, b"new", order)


class TestJoinedResponseHeads(unittest.IsolatedAsyncioTestCase):
    """A copy of an earlier response that breaks off before the right response."""

    async def receive(self, request_id: bytes, data: bytes) -> UpstreamResponse | None:
        """Return the response to a call, or None if there is no usable one."""
        connection = UpstreamConnection(b"request-id", ByteBudget())
        connection.connection_made(RecordingTransport())
        exchange = asyncio.create_task(
            connection.exchange(b"POST", request_id, b"POST / HTTP/1.1\r\n\r\n")
        )
        await asyncio.sleep(0)
        connection.data_received(data)
        connection.connection_lost(None)
        try:
            response = await exchange
        except ExchangeFailed:
            return None
        kind = classify_response(response, HEADER_NAMES)
        return None if kind is ResponseKind.FOREIGN else response

    # An order ran twice: the refusal of an earlier call was read as its own.
    async def test_beginning_of_an_earlier_response_decides_nothing(self) -> None:
        for earlier, own in pairs_of_responses():
            expected = await self.receive(b"new", own)
            assert expected is not None
            for size in range(len(earlier) + 1):
                response = await self.receive(b"new", earlier[:size] + own)
                with self.subTest(beginning=earlier[:size], own=own):
                    self.assertIn(response, (None, expected))

    async def test_complete_copy_is_skipped(self) -> None:
        for earlier, own in pairs_of_responses():
            response = await self.receive(b"new", earlier + own)
            self.assertEqual(response, await self.receive(b"new", own))


class TestConflictingRequestHeaders(unittest.IsolatedAsyncioTestCase):
    """Requests in which a header that decides something has two values."""

    async def test_request_that_contradicts_itself_is_rejected(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config())
        host = await fleet.add("n-1")
        await fleet.wait_until_ready()
        lines = {
            "id": b"Request-Id: a\r\nRequest-Id: b",
            "deadline": b"Request-Id: a\r\nDeadline-Ms: 5\r\nDeadline-Ms: 5000",
            "host": b"Request-Id: a\r\nHost: b.example",
            "length": b"Request-Id: a\r\nContent-Length: 1\r\nContent-Length: 2",
            "framing": (
                b"Request-Id: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked"
            ),
        }
        address, _, port = host.addresses.calls.rpartition(":")
        for name, headers in lines.items():
            with self.subTest(name):
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(
                    b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                    + headers
                    + b"\r\n\r\n"
                )
                async with asyncio.timeout(2.0):
                    status_line = await reader.readline()
                writer.close()
                self.assertIn(b" 400 ", status_line)
        self.assertEqual(host.upstream.calls, [])
