"""Tests the member view and the choice of neighbours without starting nodes."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumlock.membership import (
    Member,
    MemberStatus,
    MemberView,
    UpstreamState,
    choose_neighbours,
    confirmations_needed,
    recovery_answers_needed,
)

ZONES = ("a", "b", "c", "d", "e")


def member(number: int, **changes: object) -> Member:
    """Return an alive member with `changes`; its zone depends on its number."""
    address = f"10.0.{number // 250}.{number % 250}:1"
    default = Member(
        address, 1, 0, MemberStatus.ALIVE, ZONES[number % 5], "north", f"{address}0"
    )
    return replace(default, **changes)  # type: ignore[arg-type]


class Clock:
    """Monotonic clock whose time the tests set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


RECORDS = st.lists(
    st.builds(
        lambda number, incarnation, sequence, status: member(
            number, incarnation=incarnation, sequence=sequence, status=status
        ),
        st.integers(1, 4),
        st.integers(1, 3),
        st.integers(0, 3),
        st.sampled_from([MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.LEFT]),
    ),
    max_size=20,
)


class TestMemberView(unittest.TestCase):
    """Merging, refutation, expiry and endpoints of a single view."""

    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_merge_is_independent_of_order_and_repetition(
        self, records: list[Member], rng: random.Random
    ) -> None:
        # All members are known at first, since a tombstone of an unknown member is
        # never merged.
        initial = [member(number, incarnation=0) for number in range(1, 5)]
        first_view, second_view = MemberView(member(0)), MemberView(member(0))
        first_view.merge(initial + records)
        shuffled = records + records
        rng.shuffle(shuffled)
        second_view.merge(initial + shuffled)
        self.assertEqual(first_view.digest(), second_view.digest())
        self.assertEqual(
            first_view.records_in_differing_buckets(second_view.bucket_digests()), []
        )

    def test_older_record_is_ignored(self) -> None:
        view = MemberView(member(0))
        view.merge([member(1, sequence=5)])
        self.assertEqual(view.merge([member(1, sequence=4)]), 0)

    def test_claim_that_own_node_is_dead_is_refuted(self) -> None:
        view = MemberView(member(0))
        view.merge([member(0, status=MemberStatus.DEAD)])
        self.assertIs(view.own.status, MemberStatus.ALIVE)
        self.assertTrue(view.own.supersedes(member(0, status=MemberStatus.DEAD)))

    def test_own_record_of_an_earlier_start_is_superseded(self) -> None:
        view = MemberView(member(0))
        view.merge([member(0, incarnation=99, service="old")])
        self.assertEqual(view.own.service, "")
        self.assertTrue(view.own.supersedes(member(0, incarnation=99)))

    def test_alive_member_reported_dead_becomes_suspect_first(self) -> None:
        view = MemberView(member(0))
        serving_record = member(1, service="s", upstream=UpstreamState.SERVING, slots=1)
        view.merge([serving_record])
        view.merge([replace(serving_record, status=MemberStatus.DEAD)])
        [endpoint] = view.endpoints()
        self.assertTrue(endpoint.suspect)

    def test_suspect_is_declared_dead_and_removed_after_timeouts(self) -> None:
        clock = Clock()
        view = MemberView(member(0), clock)
        view.merge([member(1)])
        self.assertTrue(view.mark_suspect(member(1).address))
        clock.now_s = 1.0
        self.assertEqual(view.expire(1.5, 60.0), [])
        clock.now_s = 2.0
        self.assertEqual(len(view.expire(1.5, 60.0)), 1)
        self.assertEqual(view.others(), [])
        self.assertEqual(view.count_known_others(), 1)
        clock.now_s = 63.0
        view.expire(1.5, 60.0)
        self.assertEqual(view.count_known_others(), 0)

    def test_tombstone_of_an_unknown_member_is_not_merged(self) -> None:
        view = MemberView(member(0))
        self.assertEqual(view.merge([member(1, status=MemberStatus.DEAD)]), 0)

    def test_leaving_upstream_is_not_an_endpoint(self) -> None:
        view = MemberView(member(0))
        view.set_upstream(UpstreamState.SERVING, "s", 20, 0.0)
        self.assertEqual(len(view.endpoints()), 1)
        view.set_upstream(UpstreamState.LEAVING, "s", 20, 0.0)
        self.assertEqual(view.endpoints(), [])


class TestOverlay(unittest.TestCase):
    """Neighbours are spread over zones, stable, and connect the fleet."""

    def test_neighbours_per_zone_are_limited(self) -> None:
        members = [member(number) for number in range(1, 100)]
        chosen = choose_neighbours(member(0).address, members)
        zones = [m.zone for m in chosen]
        self.assertEqual(len(chosen), 5)
        self.assertTrue(all(zones.count(zone) <= 2 for zone in zones))

    def test_few_members_are_all_chosen(self) -> None:
        members = [member(5 * number) for number in range(1, 4)]
        self.assertEqual(len(choose_neighbours("x", members)), 3)

    def test_removal_of_one_member_changes_at_most_one_neighbour(self) -> None:
        members = [member(number) for number in range(1, 200)]
        before = set(choose_neighbours("x", members))
        for removed in before:
            remaining = [m for m in members if m is not removed]
            after = set(choose_neighbours("x", remaining))
            self.assertEqual(len(before & after), 4)

    def test_pushed_change_reaches_98_percent_within_9_rounds(self) -> None:
        members = [member(number) for number in range(400)]
        by_address = {m.address: m for m in members}
        neighbours_of = {
            m.address: [
                n.address
                for n in choose_neighbours(
                    m.address, [o for o in members if o is not m]
                )
            ]
            for m in members
        }
        reached_addresses = {members[0].address}
        last_reached = set(reached_addresses)
        rounds = 0
        while last_reached:
            last_reached = {
                n for address in last_reached for n in neighbours_of[address]
            } - reached_addresses
            reached_addresses |= last_reached
            rounds += 1
        # A node that no other node has chosen as its neighbour receives no pushes; it
        # learns of the change at its own next heartbeat.
        self.assertGreaterEqual(len(reached_addresses), 0.98 * len(by_address))
        self.assertLessEqual(rounds, 9)


class TestConfirmationCounts(unittest.TestCase):
    """Any confirming set and any answering set of neighbours overlap."""

    def test_confirming_and_answering_nodes_overlap_in_every_fleet_size(self) -> None:
        for others in range(1, 40):
            neighbours = min(5, others)
            confirmations = confirmations_needed(others, others)
            answers = recovery_answers_needed(others)
            replaced_neighbours = 1 if others >= 5 else 0
            self.assertGreater(
                confirmations + answers, neighbours + replaced_neighbours, others
            )

    def test_minority_also_counts_missing_members(self) -> None:
        self.assertEqual(confirmations_needed(1, 9), 4)
        self.assertEqual(confirmations_needed(5, 9), 4)
        self.assertEqual(confirmations_needed(0, 0), 0)
