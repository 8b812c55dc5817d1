"""Member view, overlay and failure detection without processes."""

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
    """Return an alive member; its zone follows from its number."""
    address = f"10.0.{number // 250}.{number % 250}:1"
    good = Member(
        address, 1, 0, MemberStatus.ALIVE, ZONES[number % 5], "north", f"{address}0"
    )
    return replace(good, **changes)  # type: ignore[arg-type]


class Clock:
    """A clock that tests move."""

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
    """Records merge the same way whatever their order."""

    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(
        self, records: list[Member], chance: random.Random
    ) -> None:
        # Known first, since an unknown tombstone is never taken in.
        first = [member(number, incarnation=0) for number in range(1, 5)]
        left, right = MemberView(member(0)), MemberView(member(0))
        left.merge(first + records)
        shuffled = records + records
        chance.shuffle(shuffled)
        right.merge(first + shuffled)
        self.assertEqual(left.digest(), right.digest())
        self.assertEqual(left.records_in_differing_buckets(right.bucket_digests()), [])

    def test_older_record_is_ignored(self) -> None:
        view = MemberView(member(0))
        view.merge([member(1, sequence=5)])
        self.assertEqual(view.merge([member(1, sequence=4)]), 0)

    def test_own_suspicion_is_refuted(self) -> None:
        view = MemberView(member(0))
        view.merge([member(0, status=MemberStatus.DEAD)])
        self.assertIs(view.own.status, MemberStatus.ALIVE)
        self.assertTrue(view.own.supersedes(member(0, status=MemberStatus.DEAD)))

    def test_own_record_of_an_earlier_start_is_overtaken(self) -> None:
        view = MemberView(member(0))
        view.merge([member(0, incarnation=99, service="old")])
        self.assertEqual(view.own.service, "")
        self.assertTrue(view.own.supersedes(member(0, incarnation=99)))

    def test_claimed_death_is_a_suspicion_first(self) -> None:
        view = MemberView(member(0))
        serving = member(1, service="s", upstream=UpstreamState.SERVING, slots=1)
        view.merge([serving])
        view.merge([replace(serving, status=MemberStatus.DEAD)])
        [endpoint] = view.endpoints()
        self.assertTrue(endpoint.suspect)

    def test_suspect_dies_and_is_forgotten_in_time(self) -> None:
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

    def test_unknown_tombstone_is_not_taken_in(self) -> None:
        view = MemberView(member(0))
        self.assertEqual(view.merge([member(1, status=MemberStatus.DEAD)]), 0)

    def test_leaving_upstream_is_no_endpoint(self) -> None:
        view = MemberView(member(0))
        view.set_upstream(UpstreamState.SERVING, "s", 20, 0.0)
        self.assertEqual(len(view.endpoints()), 1)
        view.set_upstream(UpstreamState.LEAVING, "s", 20, 0.0)
        self.assertEqual(view.endpoints(), [])


class TestOverlay(unittest.TestCase):
    """Neighbours are spread, stable, and connect the fleet."""

    def test_zones_are_bounded(self) -> None:
        members = [member(number) for number in range(1, 100)]
        chosen = choose_neighbours(member(0).address, members)
        zones = [m.zone for m in chosen]
        self.assertEqual(len(chosen), 5)
        self.assertTrue(all(zones.count(zone) <= 2 for zone in zones))

    def test_few_members_are_all_chosen(self) -> None:
        members = [member(5 * number) for number in range(1, 4)]
        self.assertEqual(len(choose_neighbours("x", members)), 3)

    def test_one_member_less_changes_one_neighbour_at_most(self) -> None:
        members = [member(number) for number in range(1, 200)]
        before = set(choose_neighbours("x", members))
        for gone in before:
            rest = [m for m in members if m is not gone]
            after = set(choose_neighbours("x", rest))
            self.assertEqual(len(before & after), 4)

    def test_pushes_reach_nearly_all_in_few_rounds(self) -> None:
        members = [member(number) for number in range(400)]
        by_address = {m.address: m for m in members}
        links = {
            m.address: [
                n.address
                for n in choose_neighbours(
                    m.address, [o for o in members if o is not m]
                )
            ]
            for m in members
        }
        reached = {members[0].address}
        newest = set(reached)
        rounds = 0
        while newest:
            newest = {n for address in newest for n in links[address]} - reached
            reached |= newest
            rounds += 1
        # Who has no link towards it learns by its own next heartbeat.
        self.assertGreaterEqual(len(reached), 0.98 * len(by_address))
        self.assertLessEqual(rounds, 9)


class TestConfirmationCounts(unittest.TestCase):
    """A confirmation and an answer always have a neighbour in common."""

    def test_counts_overlap_for_every_fleet_size(self) -> None:
        for others in range(1, 40):
            neighbours = min(5, others)
            needed = confirmations_needed(others, others)
            answers = recovery_answers_needed(others)
            spare = 1 if others >= 5 else 0
            self.assertGreater(needed + answers, neighbours + spare, others)

    def test_minority_counts_the_missing_ones(self) -> None:
        self.assertEqual(confirmations_needed(1, 9), 4)
        self.assertEqual(confirmations_needed(5, 9), 4)
        self.assertEqual(confirmations_needed(0, 0), 0)
