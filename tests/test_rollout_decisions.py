"""Tests of single decisions on roll-outs, and of their rows in the store."""

from __future__ import annotations

import random
import unittest

import msgspec
from msgspec.structs import replace

from gypsumlock.mesh.feed_store import FeedRow
from gypsumlock.mesh.model import (
    Answer,
    OwnerLoad,
    RolloutEntry,
    RolloutPhase,
    UpstreamRecord,
)
from gypsumlock.mesh.store_era import add_era
from gypsumlock.mesh.upstream_registry import UpstreamIncarnation, UpstreamRegistry
from gypsumlock.platform.endpoints import decode_heartbeat
from gypsumlock.platform.rollout import PlatformRolloutRows
from gypsumlock.rollout.conductor import Conductor, Moment
from gypsumlock.rollout.lease import ConductorLease
from gypsumlock.rollout.messages import RouteCounts, VersionReport, VersionVerdict
from gypsumlock.rollout.owner_probe import OwnerProbe
from gypsumlock.rollout.rows import OrderRow, StatusRow
from gypsumlock.rollout.status_writer import StatusWriter
from gypsumlock.rollout.version_gate import (
    PERMISSION_S,
    RETIRE_DELAY_S,
    VersionGate,
)
from gypsumlock.rollout.version_table import VersionTable
from tests.standins.feed_store import MemoryFeedStore
from tests.standins.mesh_fleet import free_address
from tests.standins.rollout_simulation import BOUNDS

ROWS = PlatformRolloutRows()
SERVICE = "finder"
KEY = "rollout/finder"


def make_record(
    number: int, version: str, rollouts: tuple[RolloutEntry, ...] = ()
) -> UpstreamRecord:
    """Return the record of a node whose upstream serves."""
    return UpstreamRecord(
        node=f"n{number}",
        peer_address=f"10.0.0.{number + 1}:1",
        zone="a",
        service=SERVICE,
        instance=f"i{number}",
        born_ms=1000 + number,
        slots=4,
        serving=True,
        version=version,
        rollouts=rollouts,
    )


def make_entry(
    phase: RolloutPhase = RolloutPhase.RUNNING, token: int = 1, revision: int = 1
) -> RolloutEntry:
    """Return the entry of a roll-out from v1 to v2."""
    return RolloutEntry(
        SERVICE, token, revision, "v1", "v2", 0.08, phase, 7, 1_000_000, 12.0
    )


def make_table(*records: UpstreamRecord) -> VersionTable:
    """Return a table of some records."""
    table = VersionTable(random.Random(1))
    table.update(records, records)
    return table


def versions_of(table: VersionTable, records: list[UpstreamRecord]) -> list[set[str]]:
    """Return the versions of each tier for a call that is not on trial."""
    tiers = table.tiers(SERVICE, "", False, records, 0.0)
    return [{x.version for x in tier} for tier in tiers]


class TestVersionTable(unittest.TestCase):
    """Which versions get calls, by what a node knows."""

    def test_new_version_gets_no_calls_before_the_order_is_known(self) -> None:
        """Guards against a record that arrives before the order, at equal numbers."""
        records = [make_record(i, "v1") for i in range(3)]
        records += [make_record(i, "v2") for i in range(3, 6)]
        self.assertEqual(versions_of(make_table(*records), records), [{"v1"}])

    def test_other_versions_are_used_if_the_established_one_is_gone(self) -> None:
        """Guards against calls that fail for want of upstreams."""
        for phase in RolloutPhase:
            entry = replace(make_entry(phase), established="v0", candidate="v0")
            records = [make_record(1, "v1", (entry,)), make_record(2, "v2")]
            found = set().union(*versions_of(make_table(*records), records))
            self.assertEqual(found, {"v1", "v2"}, phase)

    def test_entry_of_an_earlier_conductor_is_not_used(self) -> None:
        """Guards against a conductor that was paused past its lease."""
        old = make_entry(RolloutPhase.FINISHING, token=1, revision=9)
        new = make_entry(RolloutPhase.ROLLED_BACK, token=2, revision=1)
        table = make_table(make_record(1, "v1", (new,)), make_record(2, "v2", (old,)))
        self.assertEqual(table.entry(SERVICE), new)

    def test_retry_goes_to_the_established_version(self) -> None:
        """Guards against a call that both attempts lose to a bad version."""
        records = [make_record(1, "v1", (make_entry(),)), make_record(2, "v2")]
        table = make_table(*records)
        first, second = table.tiers(SERVICE, "v2", False, records, 0.0)
        self.assertEqual([x.version for x in (*first, *second)], ["v2", "v1"])
        (retry,) = table.tiers(SERVICE, "v2", True, records, 0.0)
        self.assertEqual([x.version for x in retry], ["v1"])


class TestVersionGate(unittest.TestCase):
    """The owner of an upstream refuses calls by itself."""

    def make_gate(self, version: str, entry: RolloutEntry) -> VersionGate:
        self.records = [make_record(1, "v1", (entry,)), make_record(2, "v2")]
        self.table = make_table(*self.records)
        registry = UpstreamRegistry("127.0.0.1:1")
        number = 1 if version == "v1" else 2
        registry.current = UpstreamIncarnation(
            f"i{number}", SERVICE, 4, 1, 1, False, version
        )
        gate = VersionGate(self.table, registry)
        gate.update(False, 0.0)
        return gate

    def confirm(self, gate: VersionGate, now_s: float, token: int = 1) -> None:
        """Send a report, and accept it as the conductor."""
        report = gate.take_report("n2", now_s)
        assert report is not None
        verdict = VersionVerdict(report.number, token, report.order_version, True)
        gate.apply_verdict(verdict)

    def test_permission_lapses_without_the_conductor(self) -> None:
        """Guards against a trial that goes on while the conductor can't stop it."""
        gate = self.make_gate("v2", make_entry())
        self.assertFalse(gate.accepts(0.0))
        self.confirm(gate, 1.0)
        self.assertTrue(gate.accepts(1.0))
        self.assertFalse(gate.accepts(1.0 + PERMISSION_S))

    def test_answer_of_an_earlier_conductor_permits_nothing(self) -> None:
        gate = self.make_gate("v2", make_entry(token=5))
        self.confirm(gate, 1.0, token=4)
        self.assertFalse(gate.accepts(1.0))

    def test_owners_act_on_a_rollback_before_the_entry_arrives(self) -> None:
        """Guards against calls at a bad version while its entry is on the way."""
        for version, accepts in (("v1", True), ("v2", False)):
            gate = self.make_gate(version, make_entry(RolloutPhase.FINISHING))
            self.assertEqual(gate.accepts(9.0), not accepts)
            report = gate.take_report("n", 9.0)
            assert report is not None
            verdict = VersionVerdict(report.number, 1, 7, False, rolled_back=True)
            gate.apply_verdict(verdict)
            self.assertEqual(gate.accepts(9.0), accepts)

    def test_replaced_upstream_retires_only_without_calls_in_flight(self) -> None:
        """Guards against `completed` while an old upstream executes a call."""
        gate = self.make_gate("v1", make_entry())
        finishing = make_entry(RolloutPhase.FINISHING, revision=2)
        records = [make_record(1, "v1", (finishing,)), make_record(2, "v2")]
        self.table.update(records, records)
        gate.update(False, 1.0)
        self.assertTrue(gate.accepts(1.0))
        self.assertFalse(gate.retired)
        end_s = 1.0 + RETIRE_DELAY_S
        self.assertFalse(gate.accepts(end_s))
        gate.update(True, end_s)
        self.assertFalse(gate.retired)
        gate.update(False, end_s)
        self.assertTrue(gate.retired)

    def test_counts_of_unanswered_reports_are_sent_again(self) -> None:
        """Guards against bad answers that get lost with a report."""
        gate = self.make_gate("v2", make_entry())
        answer = Answer(0, 500, [], b"", OwnerLoad())
        gate.record_outcome("search", answer, 0.1)
        for now_s in (1.0, 1.5):
            report = gate.take_report("n2", now_s)
            assert report is not None
            self.assertEqual([x.errors for x in report.routes], [1])
        self.confirm(gate, 2.0)
        report = gate.take_report("n2", 2.5)
        assert report is not None
        self.assertEqual(report.routes, [])


class TestConductor(unittest.TestCase):
    """Orders that come, change and go."""

    def setUp(self) -> None:
        self.records = [make_record(1, "v1"), make_record(2, "v2")]
        self.table = make_table(*self.records)
        self.conductor = Conductor(3, self.table, BOUNDS, (), 0.0)
        self.statuses: dict[str, StatusRow] = {}

    def step(self, order: OrderRow | None, now_s: float) -> RolloutEntry:
        """Step, apply the entries to the table, and return the entry."""
        orders = {SERVICE: order} if order else {}
        moment = Moment(now_s, int(1000 * (1_000_000 + now_s)))
        self.conductor.step(orders, self.statuses, (), moment)
        entry = self.conductor.entries[SERVICE]
        self.records[0] = replace(self.records[0], rollouts=(entry,))
        self.table.update(self.records, self.records)
        return entry

    def test_withdrawn_order_is_rolled_back(self) -> None:
        self.step(OrderRow(SERVICE, "v2", 12.0, 7), 1.0)
        self.assertIs(self.step(None, 2.0).phase, RolloutPhase.ROLLED_BACK)

    def test_changed_order_replaces_the_candidate(self) -> None:
        """Guards against calls of a version that is no longer ordered."""
        self.step(OrderRow(SERVICE, "v2", 12.0, 7), 1.0)
        self.records.append(make_record(3, "v3"))
        entry = self.step(OrderRow(SERVICE, "v3", 12.0, 8), 2.0)
        self.assertEqual((entry.established, entry.candidate), ("v1", "v3"))
        tiers = self.table.tiers(SERVICE, "v2", False, self.records, 0.0)
        found = {x.version for tier in tiers for x in tier}
        self.assertNotIn("v2", found)

    def test_second_order_starts_from_the_completed_version(self) -> None:
        done = make_entry(RolloutPhase.COMPLETED, token=2)
        self.records[0] = replace(self.records[0], rollouts=(done,))
        self.table.update(self.records, self.records)
        self.conductor = Conductor(3, self.table, BOUNDS, (), 0.0)
        entry = self.step(OrderRow(SERVICE, "v3", 12.0, 9), 1.0)
        self.assertEqual((entry.established, entry.candidate), ("v2", "v3"))

    def test_ended_order_is_not_carried_out_again(self) -> None:
        """Guards against a new conductor, or one without any entry."""
        order = OrderRow(SERVICE, "v2", 12.0, 7)
        self.statuses[SERVICE] = StatusRow("v2", RolloutPhase.ROLLED_BACK, 8)
        self.conductor.step({SERVICE: order}, self.statuses, (), Moment(1.0, 1000))
        self.assertNotIn(SERVICE, self.conductor.entries)

    def test_ended_order_stays_ended_if_the_store_comes_back_from_a_copy(self) -> None:
        """Guards against a bad version that gets calls again in a new era."""
        self.step(OrderRow(SERVICE, "v2", 12.0, add_era(7, 1)), 1.0)
        ended = replace(
            self.conductor.entries[SERVICE], phase=RolloutPhase.ROLLED_BACK, share=0.0
        )
        self.conductor.entries[SERVICE] = ended
        for era in (1, 2):
            entry = self.step(OrderRow(SERVICE, "v2", 12.0, add_era(7, era)), 2.0)
            self.assertIs(entry.phase, RolloutPhase.ROLLED_BACK)
        entry = self.step(OrderRow(SERVICE, "v2", 16.0, add_era(9, 2)), 3.0)
        self.assertIs(entry.phase, RolloutPhase.RUNNING)

    def test_revisions_go_on_under_the_same_token(self) -> None:
        """Guards against entries that are ignored after a late renewal of the lease."""
        entry = self.step(OrderRow(SERVICE, "v2", 12.0, 7), 1.0)
        again = Conductor(3, make_table(*self.records), BOUNDS, (entry,), 2.0)
        self.assertGreater(again.entries[SERVICE].revision, entry.revision)

    def test_completed_waits_for_every_old_upstream(self) -> None:
        """Guards against a report that is missing, or that a call is in flight."""
        finishing = make_entry(RolloutPhase.FINISHING, token=2)
        self.records[0] = replace(self.records[0], rollouts=(finishing,))
        self.table.update(self.records, self.records)
        self.conductor = Conductor(3, self.table, BOUNDS, (), 0.0)
        order = OrderRow(SERVICE, "v2", 12.0, 7)
        for retired, phase in (
            (None, RolloutPhase.FINISHING),
            (False, RolloutPhase.FINISHING),
            (True, RolloutPhase.COMPLETED),
        ):
            if retired is not None:
                report = VersionReport("n1", SERVICE, "i1", "v1", 7, 1, retired, [])
                self.conductor.handle_report(report, 2.0)
            self.assertIs(self.step(order, 2.0).phase, phase)

    def test_majority_is_recorded_once_it_has_lasted(self) -> None:
        self.records = [make_record(1, "v1")]
        self.table.update(self.records, self.records)
        self.conductor.step({}, {}, (), Moment(1.0, 1000))
        self.assertNotIn(SERVICE, self.conductor.entries)
        self.assertEqual(self.step(None, 5.0).established, "v1")


class _FixedLease(ConductorLease):
    def __init__(self, token: int | None) -> None:
        self.value = token

    def token(self) -> int | None:
        return self.value


class TestStatusRows(unittest.IsolatedAsyncioTestCase):
    """What operators and upstreams are told."""

    def setUp(self) -> None:
        self.store = MemoryFeedStore()
        self.store.version = 10

    def status(self) -> tuple[str, RolloutPhase] | None:
        row = self.store.tables["status"].get(KEY, FeedRow(KEY, None, 0))
        status = ROWS.decode_status(row)
        return (status.candidate, status.phase) if status else None

    async def test_lost_response_is_found_in_the_row(self) -> None:
        """Guards against a status that is written twice, or not at all."""
        writer = StatusWriter(self.store, _FixedLease(1), ROWS)
        self.store.responses_to_lose = 1
        entry = make_entry(RolloutPhase.COMPLETED)
        await writer.write_changes((entry,))
        version = self.store.version
        await writer.write_changes((entry,))
        self.assertEqual(self.store.version, version)
        self.assertEqual(self.status(), ("v2", RolloutPhase.COMPLETED))

    async def test_late_write_of_an_earlier_conductor_fails(self) -> None:
        """Guards against `completed` after the next conductor has rolled back."""
        await StatusWriter(self.store, _FixedLease(1), ROWS).write_changes(
            (make_entry(),)
        )
        seen = self.store.tables["status"][KEY].version
        entry = make_entry(token=2)
        await StatusWriter(self.store, _FixedLease(2), ROWS).write_changes((entry,))
        late = ROWS.encode_status(RolloutPhase.COMPLETED, "v2")
        await self.store.write_row("status", KEY, late, seen)
        self.assertEqual(self.status(), ("v2", RolloutPhase.RUNNING))

    async def test_nothing_is_written_without_the_lease(self) -> None:
        """Guards against a conductor that was paused before its write."""
        writer = StatusWriter(self.store, _FixedLease(None), ROWS)
        await writer.write_changes((make_entry(RolloutPhase.COMPLETED),))
        self.assertIsNone(self.status())

    def test_invalid_orders_are_ignored(self) -> None:
        valid = {"service": SERVICE, "to": "v2", "duration_s": 12}
        changes: list[dict[str, object]] = [
            {"service": "other"},
            {"to": ""},
            {"duration_s": 0},
            {"duration_s": "x"},
        ]
        row = FeedRow(KEY, msgspec.json.encode(valid), 5)
        self.assertEqual(ROWS.decode_order(row), OrderRow(SERVICE, "v2", 12.0, 5))
        for change in changes:
            row = FeedRow(KEY, msgspec.json.encode({**valid, **change}), 5)
            self.assertIsNone(ROWS.decode_order(row), change)


class TestOwners(unittest.IsolatedAsyncioTestCase):
    """Owners that do not report, and what upstreams report of themselves."""

    async def test_only_a_refused_connection_shows_the_end_soon(self) -> None:
        """Guards against a paused owner that is taken for one that has ended."""
        ended = replace(make_record(1, "v1"), peer_address=free_address())
        probe = OwnerProbe()
        for _ in range(3):
            self.assertEqual(set(probe.gone), set())
            await probe.check([ended])
        self.assertEqual(set(probe.gone), {"n1"})

    def test_heartbeat_tells_the_version(self) -> None:
        body = {
            "address": "127.0.0.1:1",
            "info": {"service": SERVICE, "slots": 4, "version": "v2"},
            "status": {"state": "ready", "sequence": 1},
        }
        decoded = decode_heartbeat("i1", msgspec.json.encode(body)).unwrap()
        self.assertEqual(decoded.version, "v2")

    def test_counts_of_a_route_pass_the_wire(self) -> None:
        report = VersionReport(
            "n", SERVICE, "i", "v", 1, 1, False, [RouteCounts("r", 1, {3: 2})]
        )
        encoded = msgspec.msgpack.encode(report)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=VersionReport), report)
