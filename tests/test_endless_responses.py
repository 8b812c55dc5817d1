"""Upstreams that send bytes without end, or responses that are not theirs."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterator
from dataclasses import dataclass

from gypsumlock.mesh.memory_account import MAX_BUFFERED_BYTES, ByteBudget
from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import (
    MeshUpstream,
    ReceivedCall,
    answer_ok,
    encode_response,
)

TIMEOUT_S = 0.6
# Time after the timeout of the route by which the node has closed the connection.
CLOSE_SLACK_S = 1.0
# Bytes that fit into the socket buffers between the upstream and the node.
SOCKET_BUFFER_BYTES = 12_000_000
BLOCK_BYTES = 65_536
SUCCESS_LINE = b"HTTP/1.1 200 OK\r\n"


@dataclass(slots=True)
class EndlessResponse:
    """Sends a start, then a part again and again until the connection is closed."""

    start: bytes
    part: bytes
    # Pause between two parts, in seconds.
    pause_s: float = 0.0
    sent_bytes: int = 0
    closed: bool = False

    async def __call__(
        self, upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        name = call.headers[b"request-id"]
        writer.write(self.start.replace(b"{id}", name))
        try:
            while not writer.is_closing():
                writer.write(self.part)
                self.sent_bytes += len(self.part)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            pass
        finally:
            self.closed = True


def _own_head(*headers: bytes) -> bytes:
    lines = (b"Request-Id: {id}", b"Server-Seal: s", *headers)
    return SUCCESS_LINE + b"\r\n".join(lines) + b"\r\n\r\n"


def fast_responses() -> Iterator[tuple[str, EndlessResponse]]:
    """Yield a response without end, at full speed, for each part of a message."""
    block = b"x" * BLOCK_BYTES
    chunked = _own_head(b"Transfer-Encoding: chunked")
    yield "status line", EndlessResponse(b"HTTP/1.1 200 ", block)
    yield "header", EndlessResponse(SUCCESS_LINE + b"X-A: ", block)
    yield "headers", EndlessResponse(SUCCESS_LINE, b"X-A: b\r\n" * 5000)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    yield "interim responses", EndlessResponse(b"", interim * 2000)
    yield "chunk extension", EndlessResponse(chunked + b"4;a=", block)
    yield "trailer", EndlessResponse(chunked + b"0\r\n", b"X-A: b\r\n" * 5000)
    yield "body", EndlessResponse(_own_head(), block)
    chunk = b"10000\r\n" + block + b"\r\n"
    yield "chunks", EndlessResponse(chunked, chunk)
    foreign = SUCCESS_LINE + b"Request-Id: other\r\n\r\n"
    yield "body of another call", EndlessResponse(foreign, block)


class EndlessResponseTestCase(unittest.IsolatedAsyncioTestCase):
    """One instance with one slot."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(timeout_s=TIMEOUT_S))
        self.host = await self.fleet.add("n-1", slots=1)
        await self.fleet.wait_until_ready()

    async def check_call_fails_in_time(self, response: EndlessResponse) -> None:
        """Check that a call fails, and that the upstream serves the next one."""
        self.host.upstream.script.append(response)
        failed = await self.fleet.call(self.host, "/book/x", "POST", b"b")
        self.assertIn(failed.status, (502, 504))
        self.assertLess(failed.took_s, TIMEOUT_S + CLOSE_SLACK_S)
        async with asyncio.timeout(CLOSE_SLACK_S):
            while not response.closed:
                await asyncio.sleep(0.01)
        served = await self.fleet.call(self.host, "/book/x", "POST", b"b")
        self.assertEqual(served.status, 200)


class TestEndlessResponses(EndlessResponseTestCase):
    """Time, memory and slots stay bounded, and other calls are served."""

    async def test_response_at_full_speed_is_cut_off(self) -> None:
        for name, response in fast_responses():
            with self.subTest(name):
                await self.check_call_fails_in_time(response)

    async def test_memory_is_bounded(self) -> None:
        for name, response in fast_responses():
            if name in ("status line", "header", "headers", "trailer"):
                with self.subTest(name):
                    await self.check_call_fails_in_time(response)
                    self.assertLess(response.sent_bytes, SOCKET_BUFFER_BYTES)

    async def test_slow_response_is_cut_off(self) -> None:
        starts = {
            "head": SUCCESS_LINE + b"X-A: ",
            "body": _own_head(b"Content-Length: 100000"),
            "nothing": b"",
        }
        for name, start in starts.items():
            with self.subTest(name):
                part = b"" if name == "nothing" else b"x"
                await self.check_call_fails_in_time(EndlessResponse(start, part, 0.05))

    def test_bodies_of_all_connections_share_a_budget(self) -> None:
        budget = ByteBudget()
        self.assertTrue(budget.reserve(MAX_BUFFERED_BYTES))
        self.assertFalse(budget.reserve(1))
        budget.release(1)
        self.assertTrue(budget.reserve(1))


class TestForeignResponses(EndlessResponseTestCase):
    """Responses that the upstream did not make for the call."""

    async def send_call(self, raw: bytes) -> int:
        """Return the status of a call that the upstream answers with given bytes."""

        async def answer(
            upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(raw.replace(b"{id}", call.headers[b"request-id"]))

        self.host.upstream.script.append(answer)
        response = await self.fleet.call(self.host, "/book/x", "POST", b"b")
        return response.status

    async def test_unsigned_success_is_not_passed_on(self) -> None:
        raw = SUCCESS_LINE + b"Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual(await self.send_call(raw), 502)

    async def test_encoded_body_is_not_passed_on(self) -> None:
        raw = _own_head(b"Content-Encoding: gzip", b"Content-Length: 2") + b"ok"
        self.assertEqual(await self.send_call(raw), 502)

    async def test_trailer_does_not_say_that_the_call_was_not_executed(self) -> None:
        raw = _own_head(b"Transfer-Encoding: chunked") + (
            b"2\r\nok\r\n0\r\nNot-Executed: 1\r\n\r\n"
        )
        self.assertEqual(await self.send_call(raw), 200)


class TestStaleResponses(EndlessResponseTestCase):
    """Copies of an earlier response on a connection that is used again."""

    async def test_stale_copy_answers_no_later_call(self) -> None:
        for status, header in ((200, b""), (503, b"Not-Executed: 1\r\n")):
            for parts in (1, 2):
                with self.subTest(status=status, parts=parts):
                    await self.check_own_answer(status, header, parts)

    async def check_own_answer(self, status: int, header: bytes, parts: int) -> None:
        """Check a call while a copy of the response before it arrives in parts."""
        copies: list[bytes] = []

        async def answer_first(
            upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
        ) -> None:
            copies.append(encode_response(call, status, b"stale", header))
            writer.write(copies[-1])

        async def answer_after_copy(
            upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
        ) -> None:
            copy = copies[-1]
            size = len(copy) // parts + 1
            for start in range(0, len(copy), size):
                writer.write(copy[start : start + size])
                await asyncio.sleep(0.02)
            await answer_ok(upstream, call, writer)

        self.host.upstream.script.extend([answer_first, answer_after_copy])
        await self.fleet.call(self.host, "/book/x", "POST", b"b")
        response = await self.fleet.call(self.host, "/book/x", "POST", b"b")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"to " + response.request_id)
        served = await self.fleet.call(self.host, "/book/x", "POST", b"b")
        self.assertEqual(served.body, b"to " + served.request_id)

    async def test_call_without_identifier_uses_no_kept_connection(self) -> None:
        await self.fleet.call(self.host, "/book/x", "POST", b"b")
        before = self.host.upstream.connections
        for _ in range(2):
            await self.fleet.call(
                self.host, "/book/x", "POST", b"b", headers={"Request-Id": ""}
            )
        self.assertEqual(self.host.upstream.connections, before + 2)
