"""Memory of one node of the users' platform by routes, open requests and bodies."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from pathlib import Path

import psutil

from misc.measures.figure import Figure
from tests.standins.users_platform import PlatformNode, UsersPlatform, route_resource

__all__ = ["measure_mesh_memory"]

ROUTES = 2000
OPEN_REQUESTS = 200
BODY_BYTES = (0, 10_000, 50_000)
START_TIMEOUT_S = 15.0
# Time after which a node holds what was sent to it.
SETTLE_S = 1.0
BYTES_PER_KB = 1000
BYTES_PER_MB = 1_000_000


def measure_mesh_memory() -> Iterator[Figure]:
    """Resident memory of a node process, and what adds to it."""
    with tempfile.TemporaryDirectory() as directory:
        figures = asyncio.run(_measure(Path(directory)))
    yield from figures


async def _measure(directory: Path) -> list[Figure]:
    async with UsersPlatform(directory) as platform:
        platform.configure(1, route_resource("search", "finder"))
        node = await platform.add_node("one")
        await _wait_until_served(node, "/search/x")
        idle_bytes = await _resident_bytes(node)
        figures = [
            Figure("mesh_memory_idle", round(idle_bytes / BYTES_PER_MB, 1), "MB")
        ]
        names = [f"route-{number}" for number in range(ROUTES)]
        routes = [route_resource(name, "finder") for name in ["search", *names]]
        platform.configure(2, *routes)
        await _wait_until_served(node, f"/{names[-1]}/x")
        routes_bytes = await _resident_bytes(node)
        figures.append(_per_item("route", routes_bytes - idle_bytes, ROUTES))
        for name in names:
            await node.call(1, f"/{name}/x")
        called_bytes = await _resident_bytes(node)
        figures.append(_per_item("called_route", called_bytes - routes_bytes, ROUTES))
        for body_bytes in BODY_BYTES:
            before_bytes = await _resident_bytes(node)
            writers = await _open_requests(node, body_bytes)
            added_bytes = await _resident_bytes(node) - before_bytes
            name = f"open_request_{body_bytes}_bytes"
            figures.append(_per_item(name, added_bytes, OPEN_REQUESTS))
            for writer in writers:
                writer.close()
        return figures


def _per_item(name: str, size_bytes: int, count: int) -> Figure:
    kilobytes = size_bytes / count / BYTES_PER_KB
    return Figure(f"mesh_memory_{name}", round(kilobytes, 2), "KB")


async def _resident_bytes(node: PlatformNode) -> int:
    await asyncio.sleep(SETTLE_S)
    assert node.process is not None
    return int(psutil.Process(node.process.pid).memory_info().rss)


async def _wait_until_served(node: PlatformNode, path: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await node.is_ready():
            await asyncio.sleep(0.1)
        await node.send_heartbeat()
        while (await node.call(1, path)).status != 200:
            await asyncio.sleep(0.1)


async def _open_requests(
    node: PlatformNode, body_bytes: int
) -> list[asyncio.StreamWriter]:
    """Send requests whose last byte is missing."""
    host, _, port = node.addresses["outbound"].rpartition(":")
    writers = []
    for _ in range(OPEN_REQUESTS):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /search/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n"
            b"Content-Length: %d\r\n\r\n" % (body_bytes + 1)
        )
        writer.write(bytes(body_bytes))
        await writer.drain()
        writers.append(writer)
    return writers
