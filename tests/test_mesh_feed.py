"""Nodes that hand on what a few of them read from the store."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace

from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    apply_delta,
    diff_configs,
    pack_config,
    unpack_config,
)
from gypsumlock.mesh.feed_sources import rank_sources, select_zone_readers
from gypsumlock.mesh.model import MeshConfig, ServiceShare, UpstreamRecord
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config

# The users' bound on the time from a version's acceptance to its being in force.
CONFIG_APPLY_S = 2.0
NODES = 6


def record(number: int, zone: str = "a", link_mbps: float = 5.0) -> UpstreamRecord:
    """Return the record of a node whose upstream serves."""
    return UpstreamRecord(
        node=f"n{number}",
        peer_address=f"10.0.0.{number}:1",
        zone=zone,
        service="finder",
        instance=f"i{number}",
        serving=True,
        link_mbps=link_mbps,
    )


def moved(config: MeshConfig, version: int) -> MeshConfig:
    """Return the next version: one route moved, one removed, one added."""
    first, second = config.routes
    shares = (ServiceShare("reelhouse", 1.0),)
    routes = (replace(first, shares=shares), replace(second, name="new", prefix="/n/"))
    return replace(config, version=version, routes=routes)


class TestConfigChange(unittest.TestCase):
    """Versions sent as what changed since another one."""

    def setUp(self) -> None:
        self.before = make_config(3)
        self.after = moved(self.before, 5)

    def test_change_leads_to_the_whole_version(self) -> None:
        found = apply_delta(self.before, diff_configs(self.before, self.after))
        assert found is not None
        self.assertEqual(found.version, 5)
        self.assertEqual(
            sorted(found.routes, key=lambda route: route.name),
            sorted(self.after.routes, key=lambda route: route.name),
        )

    def test_change_of_another_base_is_refused(self) -> None:
        change = diff_configs(self.before, self.after)
        self.assertIsNone(apply_delta(make_config(4), change))

    def test_version_that_comes_out_otherwise_is_refused(self) -> None:
        change = diff_configs(self.before, self.after)
        for routes in (self.before.routes[:1], ()):
            base = replace(self.before, routes=routes)
            change.routes = change.routes[:1]
            self.assertIsNone(apply_delta(base, change))

    def test_only_changed_routes_are_sent(self) -> None:
        change = diff_configs(self.before, replace(self.before, version=4))
        self.assertEqual((change.routes, change.removed_routes), ([], []))

    def test_packed_version_is_read_back(self) -> None:
        self.assertEqual(unpack_config(pack_config(self.after)), self.after)

    def test_broken_package_is_no_version(self) -> None:
        data = pack_config(self.after).data
        for broken in (b"", data[:-3], b"x" + data):
            self.assertIsNone(unpack_config(ConfigSnapshot(broken)))


class TestSources(unittest.TestCase):
    """Who reads the store, and who follows whom."""

    def test_fastest_links_read(self) -> None:
        records = [record(n, link_mbps=70 if n in (4, 7) else 5) for n in range(12)]
        self.assertEqual(set(select_zone_readers(records, "a")), {"n4", "n7"})

    def test_readers_grow_slower_than_the_zone(self) -> None:
        for nodes, readers in ((1, 1), (2, 2), (20, 2), (40, 2), (41, 3), (260, 13)):
            records = [record(n) for n in range(nodes)]
            self.assertEqual(len(select_zone_readers(records, "a")), readers)

    def test_other_zones_and_leaving_nodes_don_t_read(self) -> None:
        leaving = UpstreamRecord("n9", "10.0.0.9:1", "a", link_mbps=99.0)
        records = [record(1), record(2, zone="b", link_mbps=99.0), leaving]
        self.assertEqual(select_zone_readers(records, "a"), ["n1"])

    def test_nobody_follows_itself(self) -> None:
        self.assertEqual(rank_sources("n1", ["n1", "n2"]), ["n2"])

    def test_followers_spread_over_the_readers(self) -> None:
        readers = [f"n{n}" for n in range(5)]
        first = [rank_sources(f"f{n}", readers)[0] for n in range(200)]
        for reader in readers:
            self.assertGreater(first.count(reader), 200 / 5 / 2)


class TestFollowing(unittest.IsolatedAsyncioTestCase):
    """A zone of nodes at one store."""

    async def asyncSetUp(self) -> None:
        self.fleet = MeshFleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.fleet.configure(make_config(1))
        for number in range(NODES):
            await self.fleet.add(f"n{number}", link_mbps=50 if number < 2 else 5)
        await self.fleet.wait_until_ready()
        await self.until(lambda: self.readers() == self.fleet.hosts[:2])

    def readers(self) -> list[MeshHost]:
        return [x for x in self.fleet.hosts if x.node.feed.store_reads_enabled.is_set()]

    async def until(self, check: object, timeout_s: float = 6.0) -> float:
        """Return the time until a check holds; it must within a time."""
        assert callable(check)
        began_s = time.monotonic()
        while not check():
            self.assertLess(time.monotonic() - began_s, timeout_s)
            await asyncio.sleep(0.01)
        return time.monotonic() - began_s

    async def version_everywhere(self, version: int, among: list[MeshHost]) -> float:
        return await self.until(
            lambda: all(x.node.feed.config_version == version for x in among),
            CONFIG_APPLY_S,
        )

    async def test_changes_cost_calls_of_the_readers_only(self) -> None:
        # A wait that had begun before the node stopped reading ends first.
        await asyncio.sleep(2.0)
        for place in self.fleet.hosts:
            place.store.called.clear()
        for version in range(2, 6):
            self.fleet.configure(moved(make_config(1), version))
            await self.version_everywhere(version, self.fleet.hosts)
        for place in self.fleet.hosts[2:]:
            self.assertEqual(place.store.called, [])

    async def test_changed_records_reach_all(self) -> None:
        self.fleet.hosts[3].send_heartbeat(leaving=True)
        for place in self.fleet.hosts:
            directory = place.node.directory
            await self.until(lambda d=directory: d.upstream_count == NODES - 1)

    async def test_version_arrives_in_time_without_the_readers(self) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for place in lost:
            assert place.task is not None
            place.task.cancel()
            place.node.close()
        self.fleet.configure(moved(make_config(1), 2))
        await self.version_everywhere(2, rest)

    async def test_version_arrives_in_time_when_readers_lose_the_store(self) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for place in lost:
            place.store.cut = True
        self.fleet.configure(moved(make_config(1), 2))
        await self.version_everywhere(2, rest)
        # Those that lost the store are brought up by the others.
        await self.version_everywhere(2, lost)

    async def test_followers_read_for_themselves_when_readers_lose_the_store(
        self,
    ) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for place in lost:
            place.store.cut = True
        self.fleet.configure(moved(make_config(1), 2))
        await self.until(
            lambda: all(x.node.feed.store_reads_enabled.is_set() for x in rest),
            CONFIG_APPLY_S,
        )

    async def test_nodes_that_all_start_again_wait_for_nobody(self) -> None:
        for place in self.fleet.hosts:
            assert place.task is not None
            place.task.cancel()
            place.node.close()
        await asyncio.gather(*(self.fleet.restart(x) for x in self.fleet.hosts))
        took_s = await self.version_everywhere(1, self.fleet.hosts)
        # Half of the time for which a start waits for other nodes.
        self.assertLess(took_s, 0.3)

    async def test_record_dropped_while_connecting_ends_no_node(self) -> None:
        node = self.fleet.hosts[4].node
        for source in node.follower._sources.values():
            source.abort()
        node.follower._sources.clear()
        tick = asyncio.create_task(node.follower._tick())
        await asyncio.sleep(0)
        readers = [place.name for place in self.fleet.hosts[:2]]
        node.feed.drop_records(readers, self.fleet.store.version)
        await tick

    async def test_restarted_node_is_handed_the_version(self) -> None:
        place = self.fleet.hosts[4]
        await self.fleet.restart(place)
        await self.until(lambda: place.node.feed.config_version == 1)
        self.assertNotIn("op", place.store.called)
