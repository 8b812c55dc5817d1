"""Upstreams that stop in the middle of a response and close the connection."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterator

from tests.standins.mesh_fleet import MeshFleet, make_config
from tests.standins.mesh_upstream import MeshUpstream, ReceivedCall

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno"


def framed_responses() -> Iterator[tuple[str, bytes]]:
    """Yield responses whose end can be told from their bytes."""
    yield "length", HEAD + b"Content-Length: 4\r\n\r\nbody"
    yield "chunks", HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    yield "empty", HEAD + b"Content-Length: 0\r\n\r\n"
    yield "no content", HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n"
    yield "close", HEAD + b"Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    yield (
        "refusal",
        (
            HEAD.replace(b"200 OK", b"503 Full")
            + b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        ),
    )


def heads_of_unframed_responses() -> Iterator[tuple[str, bytes]]:
    """Yield heads, up to their last byte, of bodies that end with the connection."""
    yield "without length", HEAD + b"\r\n"
    yield "interim before", INTERIM + HEAD + b"\r\n"
    yield "foreign before", FOREIGN + HEAD + b"\r\n"


class TestCutResponses(unittest.IsolatedAsyncioTestCase):
    """A response that breaks off is neither a success nor a refusal."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.configure(make_config(max_attempts=1))
        self.host = await self.fleet.add("n-1")
        await self.fleet.wait_until_ready()

    async def call(self, raw: bytes) -> int:
        """Return the status of a call that is answered with bytes and a close."""

        async def answer(
            upstream: MeshUpstream, call: ReceivedCall, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(raw.replace(b"{id}", call.headers[b"request-id"]))
            writer.close()

        self.host.upstream.script.append(answer)
        return (await self.fleet.call(self.host, "/book/x", "POST", b"b")).status

    async def check_every_cut(self, name: str, response: bytes) -> None:
        """Check that no beginning of a response passes for a response."""
        for size in range(len(response)):
            if response[:size].endswith(b"{i") or response[:size].endswith(b"{"):
                continue
            with self.subTest(name, size=size):
                self.assertEqual(await self.call(response[:size]), 502)

    # Clients got a 200 with an empty body for a response cut in the middle of its head.
    async def test_cut_head_is_no_response(self) -> None:
        for name, response in heads_of_unframed_responses():
            await self.check_every_cut(name, response)
            with self.subTest(name):
                self.assertEqual(await self.call(response + b"body"), 200)

    async def test_cut_response_is_no_response(self) -> None:
        for name, response in framed_responses():
            await self.check_every_cut(name, response)
