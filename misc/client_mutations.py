"""Mutations that disable bounds on clients and on what a failing server sends."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["CLIENT_MUTATIONS"]

_HOSTILE = "tests.test_hostile_clients"
_STATUS = "tests.test_invalid_status"
_ERA = "tests.test_store_era"

CLIENT_MUTATIONS = (
    Mutation(
        "clients: a section of a request without end is noticed",
        "gypsumlock/section_limit.py",
        "return self._section_bytes <= max_bytes + SECTION_SLACK_BYTES",
        "return True",
        f"{_HOSTILE}.TestEndlessHeads.test_header_value_without_end",
    ),
    Mutation(
        "clients: the daemon bounds heads on the way in",
        "gypsumlock/bounded_protocol.py",
        "                self._refuse()",
        "                pass",
        f"{_HOSTILE}.TestDaemonServers.test_header_value_without_end",
    ),
    Mutation(
        "clients: a stalled body makes room for others",
        "gypsumlock/mesh/server_connection.py",
        "self.memory.requests.on_shortage = self._give_up_stalled_bodies",
        "self.memory.requests.on_shortage = None",
        f"{_HOSTILE}.TestLargeBodies.test_bodies_that_go_on_a_byte_at_a_time",
    ),
    Mutation(
        "clients: a body has as long as something of it arrives",
        "gypsumlock/mesh/server_connection.py",
        "            if left_s > 0:",
        "            if False:",
        f"{_HOSTILE}.TestSlowBody",
    ),
    Mutation(
        "clients: connections are limited by the descriptors",
        "gypsumlock/mesh/connection_table.py",
        "if 0 < self.max_connections < len(self.connections):",
        "if False:",
        f"{_HOSTILE}.TestManyConnections.test_slow_heads",
    ),
    Mutation(
        "clients: only a final status is that of a response",
        "gypsumlock/mesh/upstream_connection.py",
        "if not is_status(self._status):",
        "if False:",
        f"{_STATUS}.TestStatusOfUpstream",
    ),
    Mutation(
        "clients: the daemon takes no other status either",
        "gypsumlock/proxy/connection.py",
        "if not is_status(status):",
        "if False:",
        f"{_STATUS}.TestStatusAtDaemon",
    ),
    Mutation(
        "era: a version carries the era that it was issued in",
        "gypsumlock/mesh/store_era.py",
        "return version + (era << VERSION_BITS) if version else 0",
        "return version",
        f"{_ERA}.TestVersions.test_later_era_is_newer_whatever_its_numbers",
    ),
    Mutation(
        "era: what was written in an earlier era counts as lost",
        "gypsumlock/mesh/fleet_feed.py",
        "state.store_era.subscribe(self._begin_era)",
        "pass",
        f"{_ERA}.TestRestoredStore.test_record_that_was_lost_is_written_again",
    ),
    Mutation(
        "era: other nodes tell of it",
        "gypsumlock/mesh/fleet_feed.py",
        "self._state.store_era.observe(era_of(version))",
        "pass",
        f"{_ERA}.TestRestoredStore.test_node_without_the_store_hears_of_the_era",
    ),
    Mutation(
        "era: records that a copy lacks stay in use for a while",
        "gypsumlock/mesh/record_watcher.py",
        "return era_of(row_version) < era_of(snapshot.version)",
        "return False",
        f"{_ERA}.TestRestoredStore.test_record_that_the_copy_lacks_stays_in_use",
    ),
    Mutation(
        "era: a write that meets a new era is not taken for done",
        "gypsumlock/platform/store_client.py",
        "if era != self._era and (era or expected):",
        "if False:",
        f"{_ERA}.TestStoreClient.test_write_that_meets_a_new_era_is_not_taken_for_done",
    ),
)
