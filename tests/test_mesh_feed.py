"""Tests of the feed: a few nodes read the store and forward updates to the others."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace
from unittest import mock

import msgspec
from result import Err, Result

from gypsumlock.mesh.config_watcher import ConfigWatcher
from gypsumlock.mesh.feed_messages import (
    ConfigSnapshot,
    FollowRequest,
    PackedDelta,
    apply_delta,
    diff_configs,
    pack_config,
    pack_delta,
    unpack_config,
    unpack_delta,
)
from gypsumlock.mesh.feed_relay import FollowerConnection
from gypsumlock.mesh.feed_sources import (
    MIN_ZONE_READERS,
    rank_sources,
    select_zone_readers,
)
from gypsumlock.mesh.frames import Message
from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, usable_mbps
from gypsumlock.mesh.model import MeshConfig, ServiceShare, UpstreamRecord
from gypsumlock.mesh.record_watcher import RECORD_RETRY_MAX_S, RECORD_TABLE
from gypsumlock.result_codes import Fault, ResultCode
from tests.standins.mesh_fleet import MeshFleet, MeshHost, make_config

# The users' limit on the time from the acceptance of a version until it is in force.
CONFIG_APPLY_S = 2.0
NODES = 6
# Followers of a reader on the users' large fleet, and the bandwidth of its link.
FOLLOWERS = 20
READER_LINK_MBPS = 14.0


class CountingFollower(FollowerConnection):
    """Connection of a follower that counts what it is sent."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def send_update(self, message: Message) -> None:
        """Count the bytes of a message."""
        self.received_bytes += len(msgspec.msgpack.encode(message))


def make_record(number: int, zone: str = "a", link_mbps: float = 5.0) -> UpstreamRecord:
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


def make_next_config(config: MeshConfig, version: int) -> MeshConfig:
    """Return a later version with one route changed, one removed and one added."""
    first, second = config.routes
    shares = (ServiceShare("reelhouse", 1.0),)
    routes = (replace(first, shares=shares), replace(second, name="new", prefix="/n/"))
    return replace(config, version=version, routes=routes)


class TestConfigDelta(unittest.TestCase):
    """Configuration versions sent as deltas or snapshots."""

    def setUp(self) -> None:
        self.before = make_config(3)
        self.after = make_next_config(self.before, 5)

    def test_applied_delta_gives_the_new_version(self) -> None:
        result = apply_delta(self.before, diff_configs(self.before, self.after))
        assert result is not None
        self.assertEqual(result.version, 5)
        self.assertEqual(
            sorted(result.routes, key=lambda route: route.name),
            sorted(self.after.routes, key=lambda route: route.name),
        )

    def test_delta_of_another_base_is_rejected(self) -> None:
        delta = diff_configs(self.before, self.after)
        self.assertIsNone(apply_delta(make_config(4), delta))

    def test_result_with_a_wrong_checksum_is_rejected(self) -> None:
        delta = diff_configs(self.before, self.after)
        for routes in (self.before.routes[:1], ()):
            base = replace(self.before, routes=routes)
            delta.routes = delta.routes[:1]
            self.assertIsNone(apply_delta(base, delta))

    def test_only_changed_routes_are_sent(self) -> None:
        delta = diff_configs(self.before, replace(self.before, version=4))
        self.assertEqual((delta.routes, delta.removed_routes), ([], []))

    def test_packed_config_round_trips(self) -> None:
        self.assertEqual(unpack_config(pack_config(self.after)), self.after)

    def test_packed_delta_round_trips(self) -> None:
        delta = diff_configs(self.before, self.after)
        self.assertEqual(unpack_delta(pack_delta(delta)), delta)

    def test_corrupt_delta_is_rejected(self) -> None:
        data = pack_delta(diff_configs(self.before, self.after)).data
        for corrupt in (b"", data[:-3], b"x" + data):
            self.assertIsNone(unpack_delta(PackedDelta(5, corrupt)))

    def test_corrupt_snapshot_is_rejected(self) -> None:
        data = pack_config(self.after).data
        for corrupt in (b"", data[:-3], b"x" + data):
            self.assertIsNone(unpack_config(ConfigSnapshot(corrupt)))


class TestSourceSelection(unittest.TestCase):
    """Selection of the nodes that read the store, and of each node's sources."""

    def test_nodes_with_the_fastest_links_read(self) -> None:
        records = [
            make_record(n, link_mbps=70 if n in (4, 7) else 5) for n in range(12)
        ]
        self.assertEqual(set(select_zone_readers(records, "a")), {"n4", "n7"})

    def test_number_of_readers_grows_slower_than_the_zone(self) -> None:
        for nodes, readers in ((1, 1), (2, 2), (20, 2), (40, 2), (41, 3), (260, 13)):
            records = [make_record(n) for n in range(nodes)]
            self.assertEqual(len(select_zone_readers(records, "a")), readers)

    def test_other_zones_and_leaving_nodes_are_not_readers(self) -> None:
        leaving = UpstreamRecord("n9", "10.0.0.9:1", "a", link_mbps=99.0)
        records = [make_record(1), make_record(2, zone="b", link_mbps=99.0), leaving]
        self.assertEqual(select_zone_readers(records, "a"), ["n1"])

    def test_node_does_not_follow_itself(self) -> None:
        self.assertEqual(rank_sources("n1", ["n1", "n2"]), ["n2"])

    def test_followers_are_distributed_over_the_readers(self) -> None:
        readers = [f"n{n}" for n in range(5)]
        first_choices = [rank_sources(f"f{n}", readers)[0] for n in range(200)]
        for reader in readers:
            self.assertGreater(first_choices.count(reader), 200 / 5 / 2)


class TestFollowing(unittest.IsolatedAsyncioTestCase):
    """The nodes of one zone, with one store."""

    async def asyncSetUp(self) -> None:
        self.fleet = MeshFleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.fleet.configure(make_config(1))
        for number in range(NODES):
            await self.fleet.add(f"n{number}", link_mbps=50 if number < 2 else 5)
        await self.fleet.wait_until_ready()
        await self.wait_until(lambda: self.store_readers() == self.fleet.hosts[:2])

    def store_readers(self) -> list[MeshHost]:
        return [x for x in self.fleet.hosts if x.node.feed.store_reads_enabled.is_set()]

    async def wait_until(self, condition: object, timeout_s: float = 6.0) -> float:
        """Wait until a condition holds, and return how long that took.

        Fails the test after the timeout.
        """
        assert callable(condition)
        began_s = time.monotonic()
        while not condition():
            self.assertLess(time.monotonic() - began_s, timeout_s)
            await asyncio.sleep(0.01)
        return time.monotonic() - began_s

    async def wait_for_version(self, version: int, hosts: list[MeshHost]) -> float:
        return await self.wait_until(
            lambda: all(x.node.feed.config_version == version for x in hosts),
            CONFIG_APPLY_S,
        )

    async def test_only_readers_call_the_store_on_changes(self) -> None:
        # A long poll that began before the node stopped reading has to end first.
        await asyncio.sleep(2.0)
        for host in self.fleet.hosts:
            host.store.called_tables.clear()
        for version in range(2, 6):
            self.fleet.configure(make_next_config(make_config(1), version))
            await self.wait_for_version(version, self.fleet.hosts)
        for host in self.fleet.hosts[2:]:
            self.assertEqual(host.store.called_tables, [])

    async def test_changed_records_reach_all_nodes(self) -> None:
        self.fleet.hosts[3].send_heartbeat(leaving=True)
        for host in self.fleet.hosts:
            directory = host.node.directory
            await self.wait_until(lambda d=directory: d.upstream_count == NODES - 1)

    async def test_version_arrives_in_time_without_the_readers(self) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for host in lost:
            assert host.task is not None
            host.task.cancel()
            host.node.close()
        self.fleet.configure(make_next_config(make_config(1), 2))
        await self.wait_for_version(2, rest)

    async def test_version_arrives_in_time_when_readers_lose_the_store(self) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for host in lost:
            host.store.disconnected = True
        self.fleet.configure(make_next_config(make_config(1), 2))
        await self.wait_for_version(2, rest)
        # The nodes that lost the store receive the version from the others.
        await self.wait_for_version(2, lost)

    async def test_followers_hardly_read_the_records_during_an_outage(self) -> None:
        followers = self.fleet.hosts[2:]
        self.fleet.store.set_down(True)
        await self.wait_until(lambda: self.store_readers() == self.fleet.hosts)
        for host in followers:
            host.store.called_tables.clear()
        outage_s = 4.0
        await asyncio.sleep(outage_s)
        for host in followers:
            record_calls = host.store.called_tables.count(RECORD_TABLE)
            # The first calls may fail before one for the configuration does.
            self.assertLessEqual(record_calls, 2 + outage_s / RECORD_RETRY_MAX_S)
        self.fleet.configure(make_next_config(make_config(1), 2))
        self.fleet.store.set_down(False)
        await self.wait_for_version(2, self.fleet.hosts)
        self.fleet.hosts[0].send_heartbeat(leaving=True)
        for host in self.fleet.hosts:
            directory = host.node.directory
            await self.wait_until(
                lambda d=directory: d.upstream_count == NODES - 1, CONFIG_APPLY_S
            )

    async def test_many_new_routes_reach_all_followers_in_time(self) -> None:
        relay = self.fleet.hosts[0].node.relay
        before = make_config(1)
        followers = [CountingFollower() for _ in range(FOLLOWERS)]
        for follower in followers:
            relay.add_follower(follower, FollowRequest(1, 0))
            follower.received_bytes = 0
        added = [
            replace(before.routes[0], name=f"r-{i:x}", prefix=f"/{i * i:x}/")
            for i in range(1600)
        ]
        routes = (*before.routes, *added)
        relay.on_config(before, replace(before, version=2, routes=routes))
        sent_bytes = sum(follower.received_bytes for follower in followers)
        self.assertGreater(min(x.received_bytes for x in followers), 0)
        bytes_per_s = usable_mbps(READER_LINK_MBPS) * BYTES_PER_MEGABIT
        # The other half of the time is left for the store and the followers.
        self.assertLess(sent_bytes / bytes_per_s, CONFIG_APPLY_S / 2)

    async def test_followers_read_the_store_when_readers_lose_it(self) -> None:
        lost, rest = self.fleet.hosts[:2], self.fleet.hosts[2:]
        for host in lost:
            host.store.disconnected = True
        self.fleet.configure(make_next_config(make_config(1), 2))
        await self.wait_until(
            lambda: all(x.node.feed.store_reads_enabled.is_set() for x in rest),
            CONFIG_APPLY_S,
        )

    async def test_nodes_that_restart_together_do_not_wait_for_sources(self) -> None:
        for host in self.fleet.hosts:
            assert host.task is not None
            host.task.cancel()
            host.node.close()
        await asyncio.gather(*(self.fleet.restart(x) for x in self.fleet.hosts))
        took_s = await self.wait_for_version(1, self.fleet.hosts)
        # Half of the time that a starting node waits for its sources.
        self.assertLess(took_s, 0.3)

    async def test_record_dropped_while_connecting_stops_no_node(self) -> None:
        node = self.fleet.hosts[4].node
        for source in node.follower._sources.values():
            source.abort()
        node.follower._sources.clear()
        tick = asyncio.create_task(node.follower._tick())
        await asyncio.sleep(0)
        readers = [host.name for host in self.fleet.hosts[:2]]
        node.feed.drop_records(readers, self.fleet.store.version)
        await tick

    async def test_restarted_node_receives_the_version_from_sources(self) -> None:
        host = self.fleet.hosts[4]
        await self.fleet.restart(host)
        await self.wait_until(lambda: host.node.feed.config_version == 1)
        self.assertNotIn("op", host.store.called_tables)


class TestColdStart(unittest.IsolatedAsyncioTestCase):
    """Nodes that start together, with a store that holds no rows of them."""

    async def test_starting_nodes_call_the_store_few_times(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config(1))
        names = [f"n{number}" for number in range(NODES)]
        await asyncio.gather(*(fleet.add(name, slots=0) for name in names))
        for host in fleet.hosts:
            await asyncio.sleep(0.3)
            host.send_heartbeat()
        await fleet.wait_until_ready()
        await asyncio.sleep(2.0)
        readers = [x for x in fleet.hosts if x.node.feed.is_reader]
        self.assertLess(len(readers), NODES)
        for host in fleet.hosts:
            if host not in readers:
                # One read and two waits for each table, and a write of the own row.
                self.assertLessEqual(len(host.store.called_tables), 7)

    async def test_first_start_of_a_fleet_reads_the_records_once(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet(first_start=True))
        fleet.configure(make_config(1))
        zones = ("a", "a", "a", "b", "b", "b", "c", "c", "c")
        await asyncio.gather(
            *(
                fleet.add(f"n{number}", zone=zone, slots=0)
                for number, zone in enumerate(zones)
            )
        )
        for host in fleet.hosts:
            await asyncio.sleep(0.2)
            host.send_heartbeat()
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        followers = [x for x in fleet.hosts if not x.node.feed.is_reader]
        self.assertEqual(len(followers), len(zones) - 3 * MIN_ZONE_READERS)
        for host in followers:
            # A read, a wait for changes, and a write of the own row; the configuration
            # comes from another node.
            self.assertEqual(host.store.called_tables, [RECORD_TABLE] * 3)


class TestFirstRetry(unittest.IsolatedAsyncioTestCase):
    """A reader whose connection to the store has gone silent."""

    # Readers waited up to 0.2 s before they tried a new connection.
    async def test_reader_tries_a_new_connection_at_once(self) -> None:
        fleet = await self.enterAsyncContext(MeshFleet())
        fleet.configure(make_config())
        host = await fleet.add("n-1")
        await fleet.wait_until_ready()
        feed = host.node.feed
        feed.is_reader = True
        watcher = ConfigWatcher(host.store, feed, "op", "config", self.reject)
        fault = Fault(ResultCode.PLATFORM_UNREACHABLE, "silent")
        with mock.patch("gypsumlock.controller.anyio.sleep") as sleep:
            await watcher._back_off(fault)
            self.assertFalse(feed.config_cursor.reachable)
            sleep.assert_not_called()
            await watcher._back_off(fault)
            sleep.assert_called_once()

    def reject(self, value: bytes) -> Result[MeshConfig, Fault]:
        """Accept no version."""
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, ""))
