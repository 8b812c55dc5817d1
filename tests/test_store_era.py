"""A store that comes back from a copy: what was written since is lost there."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from result import Err, Ok

from gypsumlock.mesh.feed_messages import RecordRow
from gypsumlock.mesh.http_messages import HttpRequest
from gypsumlock.mesh.http_server import CallServer, HttpHandler, ServerConnection
from gypsumlock.mesh.model import Departure, UpstreamRecord
from gypsumlock.mesh.record_watcher import RECORD_TABLE
from gypsumlock.mesh.store_era import StoreEra, add_era, era_of, store_version
from gypsumlock.platform.store_client import PlatformStore
from gypsumlock.result_codes import ResultCode
from tests.standins.mesh_fleet import MeshFleet, MeshHost, free_address, make_config
from tests.standins.users_platform import UsersPlatform, route_resource
from tests.test_platform_process import wait_until

# Time in which a node notices a new era, and writes its row again.
REWRITE_S = 6.0


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(REWRITE_S):
        while not condition():
            await asyncio.sleep(0.02)


class TestVersions(unittest.TestCase):
    """Versions of two eras, of which the later one issues the same numbers again."""

    def test_later_era_is_newer_whatever_its_numbers(self) -> None:
        self.assertGreater(add_era(1, 2), add_era(900, 1))
        self.assertNotEqual(add_era(7, 2), add_era(7, 1))
        self.assertEqual((era_of(add_era(7, 3)), store_version(add_era(7, 3))), (3, 7))

    def test_without_an_era_nothing_changes(self) -> None:
        self.assertEqual((add_era(7, 0), era_of(7), store_version(7)), (7, 0, 7))


class TestRestoredStore(unittest.IsolatedAsyncioTestCase):
    """A fleet that goes on while its store loses the last seconds."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.fleet.store.begin_eras()
        self.fleet.configure(make_config(1))
        self.hosts = [await self.fleet.add(name) for name in ("n-1", "n-2")]
        await self.fleet.wait_until_ready()
        await until(lambda: len(self.fleet.store.tables[RECORD_TABLE]) == 2)

    def stored(self, host: MeshHost) -> UpstreamRecord | None:
        """Return the record that the store holds for a node, in the current era."""
        row = self.fleet.store.tables[RECORD_TABLE].get(host.name)
        if row is None or row.value is None:
            return None
        self.assertEqual(era_of(row.version), self.fleet.store.era)
        return msgspec.json.decode(row.value, type=UpstreamRecord)

    async def restore(self) -> None:
        """Bring the store back from its copy, after a brief outage."""
        self.fleet.store.set_down(True)
        await asyncio.sleep(0.1)
        self.fleet.store.restore()
        self.fleet.store.set_down(False)

    def in_force(self) -> set[int]:
        """Return the versions in force."""
        return {host.node.feed.config_version for host in self.fleet.hosts}

    async def test_configuration_is_kept_and_the_next_one_arrives(self) -> None:
        self.fleet.store.copy()
        for version in (2, 3):
            self.fleet.configure(make_config(version))
        await until(lambda: self.in_force() == {3})
        lost_version = store_version(self.fleet.store.version)
        await self.restore()
        await until(lambda: all(x.node.state.store_era.number == 2 for x in self.hosts))
        self.assertEqual(self.in_force(), {3})
        # Its row has a number that was issued before.
        self.fleet.configure(make_config(4))
        self.assertLess(store_version(self.fleet.store.version), lost_version)
        await until(lambda: self.in_force() == {4})

    async def test_record_that_was_lost_is_written_again(self) -> None:
        self.fleet.store.copy()
        late = await self.fleet.add("n-3")
        self.hosts[1].send_heartbeat(slots=9)
        await self.fleet.wait_until_ready()
        await until(lambda: self.stored(late) is not None)
        await until(lambda: getattr(self.stored(self.hosts[1]), "slots", 0) == 9)
        await self.restore()
        self.assertIsNone(self.stored(late))
        await until(lambda: self.stored(late) is not None)
        await until(lambda: getattr(self.stored(self.hosts[1]), "slots", 0) == 9)
        # It stayed in use meanwhile, and does so after that.
        for host in self.fleet.hosts:
            self.assertEqual(host.node.directory.upstream_count, 3)

    # The owner can't write its record again yet, but its upstream serves.
    async def test_record_that_the_copy_lacks_stays_in_use(self) -> None:
        self.fleet.store.copy()
        late = await self.fleet.add("n-3")
        await self.fleet.wait_until_ready()
        await until(lambda: self.stored(late) is not None)
        late.store.disconnected = True
        await self.restore()
        feeds = [host.node.feed for host in self.hosts]
        await until(
            lambda: all(era_of(x.records_cursor.synced_version) == 2 for x in feeds)
        )
        for host in self.hosts:
            self.assertEqual(host.node.directory.upstream_count, 3)
        late.store.disconnected = False
        await until(lambda: self.stored(late) is not None)

    async def test_departure_that_was_lost_is_written_again(self) -> None:
        host = self.hosts[1]
        self.fleet.store.copy()
        departure = Departure(host.upstream.instance, 1000)
        host.node.state.registry.record_departure(departure)
        host.node.notify_upstream_changed()
        published = host.node.state.published
        self.assertTrue(await published.wait_for_departure(departure, REWRITE_S))
        await self.restore()
        # The acknowledgement of the earlier era holds no longer.
        await until(lambda: host.node.state.store_era.number == 2)
        await until(lambda: bool(getattr(self.stored(host), "departures", ())))
        self.assertTrue(await published.wait_for_departure(departure, REWRITE_S))
        await self.fleet.restart(host)
        host.send_heartbeat()
        await asyncio.sleep(1.0)
        incarnation = host.node.state.registry.current
        self.assertTrue(incarnation is None or incarnation.leaving)

    async def test_node_without_the_store_hears_of_the_era(self) -> None:
        late = await self.fleet.add("n-3")
        await self.fleet.wait_until_ready()
        late.store.disconnected = True
        self.fleet.store.copy()
        await self.restore()
        await until(lambda: late.node.state.store_era.number == 2)
        late.store.disconnected = False
        await until(lambda: self.stored(late) is not None)

    # A record of the earlier era has a higher number than the one that replaced it.
    async def test_late_record_of_an_earlier_era_is_ignored(self) -> None:
        feed = self.hosts[0].node.feed
        known = feed.records["n-2"]
        old = RecordRow(known.row_version + 900, known.record)
        await self.restore_with_everything()
        current = feed.records["n-2"]
        self.assertEqual(era_of(current.row_version), 2)
        feed.merge_records([old])
        self.assertEqual(feed.records["n-2"], current)

    async def restore_with_everything(self) -> None:
        """Bring the store back without a loss, and wait until all nodes read it."""
        self.fleet.store.copy()
        await self.restore()
        feed = self.hosts[0].node.feed
        await until(lambda: era_of(feed.records["n-2"].row_version) == 2)


class _EraStore(HttpHandler):
    """Returns queued answers, with the era that a test sets."""

    def __init__(self) -> None:
        self.era = b""
        self.answers: list[tuple[int, dict[str, Any]]] = []
        self.requests: list[HttpRequest] = []

    async def handle(self, request: HttpRequest, connection: ServerConnection) -> None:
        """Answer a request."""
        self.requests.append(request)
        status, body = self.answers.pop(0)
        headers = [(b"store-era", self.era)] if self.era else []
        connection.send_response(status, headers, json.dumps(body).encode())


class TestStoreClient(unittest.IsolatedAsyncioTestCase):
    """What the client sends and returns when the era of the store changes."""

    async def asyncSetUp(self) -> None:
        self.handler = _EraStore()
        server = CallServer(self.handler)
        address = free_address()
        await server.start(address)
        self.addCleanup(server.stop_listening)
        self.era = StoreEra()
        self.store = PlatformStore(address, self.era)
        self.addAsyncCleanup(self.store.close)

    async def read(self, era: bytes, version: int) -> int:
        """Read a table in an era; return its version."""
        self.handler.era = era
        self.handler.answers = [(200, {"rows": [], "ver": version})]
        result = await self.store.read_table("t")
        assert isinstance(result, Ok)
        return result.ok_value.version

    async def test_versions_carry_the_era(self) -> None:
        self.assertEqual(await self.read(b"", 7), 7)
        self.assertEqual(await self.read(b"3", 7), add_era(7, 3))
        self.assertEqual(self.era.number, 3)

    async def test_version_of_an_earlier_era_is_not_sent(self) -> None:
        old = await self.read(b"1", 50)
        await self.read(b"2", 40)
        self.handler.requests.clear()
        waited = await self.store.wait_for_changes("t", old, 0.1)
        assert isinstance(waited, Err)
        self.assertIs(waited.err_value.code, ResultCode.PLATFORM_HISTORY_LOST)
        self.assertEqual(self.handler.requests, [])
        row = {"key": "k", "ver": 50, "value": "eA=="}
        self.handler.answers = [(200, {"rows": [row], "ver": 51})]
        written = await self.store.write_row("t", "k", b"v", old)
        assert isinstance(written, Ok)
        assert written.ok_value.current is not None
        self.assertEqual(written.ok_value.current.version, add_era(50, 2))
        methods = [request.method for request in self.handler.requests]
        self.assertEqual(methods, [b"GET"])

    async def test_write_that_meets_a_new_era_is_not_taken_for_done(self) -> None:
        old = await self.read(b"1", 50)
        self.handler.era = b"2"
        self.handler.answers = [(200, {"ver": 51})]
        written = await self.store.write_row("t", "k", b"v", old)
        assert isinstance(written, Err)
        self.assertIs(written.err_value.code, ResultCode.PLATFORM_HISTORY_LOST)

    async def test_requests_carry_the_number_of_the_store(self) -> None:
        version = await self.read(b"2", 40)
        self.handler.answers = [(200, {"rows": [], "ver": 40})]
        self.assertIsInstance(await self.store.wait_for_changes("t", version, 0), Ok)
        query = parse_qs(urlsplit(self.handler.requests[-1].target.decode()).query)
        self.assertEqual(query["after"], ["40"])
        self.handler.answers = [(200, {"ver": 41})]
        written = await self.store.write_row("t", "k", b"v", version)
        assert isinstance(written, Ok)
        self.assertEqual(written.ok_value.version, add_era(41, 2))
        expected = json.loads(self.handler.requests[-1].body)["expect"][0]["ver"]
        self.assertEqual(expected, 40)


class TestRestoredPlatform(unittest.IsolatedAsyncioTestCase):
    """A node's own process on a store that comes back from a copy."""

    async def test_node_keeps_its_configuration_and_writes_its_row(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        platform = await self.enterAsyncContext(UsersPlatform(Path(directory)))
        platform.store.begin_eras()
        search = route_resource("search", "finder")
        platform.configure(1, search)
        platform.store.copy()
        node = await platform.add_node("one")
        await wait_until(node.is_ready)
        self.assertEqual(await node.send_heartbeat(), 200)

        async def is_served(path: str = "/new/x") -> bool:
            return (await node.call(1, path)).status == 200

        async def is_stored() -> bool:
            return "one" in platform.store.tables[RECORD_TABLE]

        platform.configure(2, search, route_resource("new", "finder"))
        await wait_until(is_served)
        await wait_until(is_stored)
        platform.store.restore()
        self.assertFalse(await is_stored())
        await wait_until(is_stored)
        self.assertTrue(await is_served())
        platform.configure(3, search, route_resource("newest", "finder"))
        await wait_until(lambda: is_served("/newest/x"), 2.5)
