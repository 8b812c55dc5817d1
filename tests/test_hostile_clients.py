"""Clients that no one controls: a node's process lives, and goes on to serve others.

Each test starts a node's own process with lowered limits, and a crowd of clients. It
checks that the process lives, that its memory and its open descriptors stay within the
limits of its machine in the settings, and that an ordinary request is answered while
the crowd's connections are still open. It checks no times, and not how many requests
of the crowd are served.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

import httpcore

from tests.standins.fleet import Fleet
from tests.standins.hostile_clients import Crowd, HostileClient, ProcessWatch
from tests.standins.instance import InstancePlan
from tests.standins.users_platform import PlatformNode, UsersPlatform, route_resource
from tests.test_platform_process import wait_until

MEGABYTE = 1_000_000
# The platform ends a process that takes more memory than the settings name, so this is
# the bound on its resident memory. Three quarters of the smallest machine of 128 MB.
MEMORY_MB = 96
# Likewise the bound on its open descriptors.
MAX_FDS = 128
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = MEGABYTE
HEADER_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0
CROWD_SIZE = 24
# What each client of a crowd sends in endless parts. All together are many times the
# memory of the machine.
ENDLESS_BYTES = 30 * MEGABYTE
BLOCK = b"x" * 65_536
# Time in which an ordinary caller must get an answer, however often it has to ask, in
# seconds. It ends a test whose node hangs.
ANSWER_TIMEOUT_S = 30.0
ANSWER_PAUSE_S = 0.2

REQUEST_HEAD = (
    b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 0a\r\n"
    b"Deadline-Ms: 3000\r\n"
)
CHUNKED_HEAD = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
SIZED_HEAD = REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES


def endless(start: bytes, part: bytes = BLOCK) -> HostileClient:
    """Return a client that sends a part without end."""
    return HostileClient(start, part, ENDLESS_BYTES)


class HostileClientsTestCase(unittest.IsolatedAsyncioTestCase):
    """One node with an upstream, on a machine with little memory."""

    CLIENT_LIMITS: ClassVar[dict[str, float]] = {
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_s": HEADER_TIMEOUT_S,
        "idle_timeout_s": IDLE_TIMEOUT_S,
    }
    node: PlatformNode

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.platform = await self.enterAsyncContext(UsersPlatform(Path(directory)))
        self.platform.client_limits = dict(self.CLIENT_LIMITS)
        routes = [
            route_resource("search", "finder"),
            route_resource("book", "finder", "non_idempotent"),
        ]
        self.platform.configure(1, *routes)
        limits: dict[str, float] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        self.node = await self.platform.add_node("one", limits=limits)
        await wait_until(self.node.is_ready)
        self.assertEqual(await self.node.send_heartbeat(), 200)
        await wait_until(self.is_answered)

    async def is_answered(self, body: str = "body") -> bool:
        """Return whether an ordinary request is answered."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await self.node.request(
                    "outbound",
                    "POST",
                    "/book/x",
                    body,
                    Host="a.example",
                    Request_Id="0b",
                    Deadline_Ms="3000",
                )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return response.status == 200

    async def wait_for_answer(self, body: str = "body") -> None:
        """Ask until an ordinary request is answered, as a caller may."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not await self.is_answered(body):
                await asyncio.sleep(ANSWER_PAUSE_S)

    async def check_crowd(
        self,
        client: HostileClient,
        listener: str = "outbound",
        size: int = CROWD_SIZE,
        body: str = "body",
    ) -> None:
        """Check the node during a crowd, and an ordinary request in the end."""
        process = self.node.process
        assert process is not None
        async with ProcessWatch(process.pid) as watch:
            async with Crowd(self.node.addresses[listener], client, size):
                await self.wait_for_answer(body)
            await self.wait_for_answer(body)
            self.assertTrue(await self.node.is_ready())
        self.assertIsNone(process.poll())
        self.assertLess(watch.max_rss_bytes, MEMORY_MB * MEGABYTE)
        self.assertLessEqual(watch.max_descriptors, MAX_FDS)


class TestEndlessHeads(HostileClientsTestCase):
    """Heads without end: the parser held a whole field before it was counted."""

    async def test_header_value_without_end(self) -> None:
        await self.check_crowd(endless(REQUEST_HEAD + b"X-A: "))

    async def test_header_name_without_end(self) -> None:
        await self.check_crowd(endless(REQUEST_HEAD))

    async def test_target_without_end(self) -> None:
        await self.check_crowd(endless(b"GET /search/"))

    async def test_small_headers_without_end(self) -> None:
        await self.check_crowd(endless(REQUEST_HEAD, b"a: b\r\n" * 10_000))

    async def test_empty_lines_before_a_request(self) -> None:
        await self.check_crowd(endless(b"", b"\r\n" * 30_000))

    async def test_header_value_without_end_at_the_other_listeners(self) -> None:
        for listener in ("ready", "control"):
            with self.subTest(listener):
                await self.check_crowd(endless(REQUEST_HEAD + b"X-A: "), listener)


class TestEndlessTrailers(HostileClientsTestCase):
    """Trailers without end behind a chunked body."""

    async def test_one_trailer_without_end(self) -> None:
        await self.check_crowd(endless(CHUNKED_HEAD + b"0\r\nX-A: "))

    async def test_many_small_trailers(self) -> None:
        await self.check_crowd(endless(CHUNKED_HEAD + b"0\r\n", b"a: b\r\n" * 10_000))

    async def test_chunk_extension_without_end(self) -> None:
        await self.check_crowd(endless(CHUNKED_HEAD + b"4;a="))


class TestLargeBodies(HostileClientsTestCase):
    """Bodies of legal size, more than the node can hold at a time.

    The ordinary request has the largest legal body, so that it is answered only if the
    crowd's bodies are given up.
    """

    BODY = "b" * MAX_BODY_BYTES

    async def test_whole_bodies(self) -> None:
        client = HostileClient(SIZED_HEAD, BLOCK[:50_000], MAX_BODY_BYTES)
        await self.check_crowd(client, body=self.BODY)

    async def test_bodies_that_stop_before_their_end(self) -> None:
        client = HostileClient(
            SIZED_HEAD, BLOCK[:50_000], MAX_BODY_BYTES - 50_000, 0.01
        )
        await self.check_crowd(client, body=self.BODY)

    async def test_chunked_bodies_that_stop_before_their_end(self) -> None:
        chunk = b"c350\r\n" + BLOCK[:50_000] + b"\r\n"
        client = HostileClient(CHUNKED_HEAD, chunk, 18 * len(chunk), 0.01)
        await self.check_crowd(client, body=self.BODY)

    # Bytes that come one by one are no progress that keeps others out.
    async def test_bodies_that_go_on_a_byte_at_a_time(self) -> None:
        start = SIZED_HEAD + b"b" * (MAX_BODY_BYTES - 50_000)
        await self.check_crowd(HostileClient(start, b"b", 600, 0.1), body=self.BODY)

    # A body behind a complete request had no timer: it was held for good.
    async def test_unfinished_bodies_behind_a_complete_request(self) -> None:
        first = REQUEST_HEAD + b"Content-Length: 4\r\n\r\nbody"
        client = HostileClient(
            first + SIZED_HEAD, BLOCK[:50_000], MAX_BODY_BYTES - 50_000, 0.01
        )
        await self.check_crowd(client, body=self.BODY)


class TestSlowBody(HostileClientsTestCase):
    """A body that arrives slowly but steadily is within the limits."""

    # The timeout for the head ended the request in the middle of its body.
    async def test_slow_and_steady_body_is_served(self) -> None:
        host, _, port = self.node.addresses["outbound"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(REQUEST_HEAD + b"Content-Length: 16\r\n\r\n")
        # Longer than the timeouts for the head and for an idle connection.
        for _ in range(16):
            await asyncio.sleep(2 * IDLE_TIMEOUT_S / 16)
            writer.write(b"b")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)


class TestManyConnections(HostileClientsTestCase):
    """More connections than the process may have descriptors."""

    SIZE = 2 * MAX_FDS

    # A head is slow if it arrives a byte at a time until its timeout.
    async def test_slow_heads(self) -> None:
        client = HostileClient(REQUEST_HEAD + b"X-A: ", b"a", 20, 0.2)
        await self.check_crowd(client, size=self.SIZE)

    async def test_connections_without_a_request(self) -> None:
        for listener in ("outbound", "ready", "control", "inbound"):
            with self.subTest(listener):
                await self.check_crowd(HostileClient(b""), listener, self.SIZE)


class TestDaemonServers(unittest.IsolatedAsyncioTestCase):
    """The servers of `gypsumlockd`: calls, the upstream's own API, the operator's API.

    Its settings name no memory. A head may take `MAX_HEADER_BYTES` (64 KiB) for each
    client, which is 2 MB for the crowd; what is read at a time takes another 256 KiB
    for each, 7 MB. The bound leaves several times as much above the idle process.
    """

    MAX_GROWTH_BYTES = 40 * MEGABYTE

    async def asyncSetUp(self) -> None:
        fleet = self.enterContext(Fleet([InstancePlan("n-1", "a", "finder")]))
        self.instance = fleet.instances[0]
        await wait_until(self.is_answered)

    async def is_answered(self) -> bool:
        """Return whether the operator's API answers."""
        return await asyncio.to_thread(self.instance.status) is not None

    async def check_crowd(self, client: HostileClient) -> None:
        """Check each server of the node during a crowd, and that it answers then."""
        instance = self.instance
        for address in (
            instance.call_address,
            instance.local_address,
            instance.operator_address,
        ):
            with self.subTest(address):
                async with ProcessWatch(instance.node.pid) as watch:
                    idle_bytes = watch.max_rss_bytes
                    async with Crowd(address, client, CROWD_SIZE):
                        await wait_until(self.is_answered)
                self.assertTrue(instance.node.running())
                growth_bytes = watch.max_rss_bytes - idle_bytes
                self.assertLess(growth_bytes, self.MAX_GROWTH_BYTES)

    async def test_header_value_without_end(self) -> None:
        await self.check_crowd(endless(REQUEST_HEAD + b"X-A: "))

    async def test_one_trailer_without_end(self) -> None:
        await self.check_crowd(endless(CHUNKED_HEAD + b"0\r\nX-A: "))
