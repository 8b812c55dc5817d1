"""Admission at the owner: order, refusals, floors, and what callers get of it."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections import Counter
from dataclasses import dataclass

from gypsumlock.mesh.admission import AdmissionQueue, Ticket, TicketState


def make_ticket(
    rank: int = 0,
    target_s: float = 1.0,
    deadline_s: float = 2.0,
    late_ok: bool = False,
    now_s: float = 0.0,
) -> Ticket:
    """Return a ticket of a test; times count from `now_s`."""
    return Ticket(
        route=f"rank-{rank}",
        rank=rank,
        target_s=target_s,
        late_ok=late_ok,
        target_at_s=now_s + target_s,
        deadline_at_s=now_s + deadline_s,
    )


def full_queue(slots: int = 2) -> tuple[AdmissionQueue, list[Ticket]]:
    """Return a queue without a free slot, and the tickets that hold them."""
    queue = AdmissionQueue()
    queue.slots = slots
    held = [make_ticket() for _ in range(slots)]
    for ticket in held:
        queue.offer(ticket, 0.0)
    return queue, held


class TestAdmissionQueue(unittest.TestCase):
    """Single decisions."""

    def test_free_slot_is_given_at_once(self) -> None:
        queue = AdmissionQueue()
        verdict = queue.offer(make_ticket(), 0.0)
        self.assertIs(verdict.state, TicketState.ADMITTED)
        self.assertEqual(queue.in_flight, 1)

    def test_urgent_goes_first(self) -> None:
        queue, held = full_queue()
        low, urgent = make_ticket(rank=2), make_ticket(rank=0)
        queue.offer(low, 0.0)
        queue.offer(urgent, 0.0)
        queue.release(held[0], 0.1, 0.1)
        self.assertEqual(queue.dequeue(0.1), [urgent])

    def test_within_a_rank_the_earliest_target_goes_first(self) -> None:
        queue, held = full_queue()
        patient, hasty = make_ticket(target_s=1.0), make_ticket(target_s=0.5)
        queue.offer(patient, 0.0)
        queue.offer(hasty, 0.0)
        queue.release(held[0], 0.1, 0.1)
        self.assertEqual(queue.dequeue(0.1), [hasty])

    def test_call_that_would_be_late_is_refused_at_once(self) -> None:
        queue, _ = full_queue()
        verdict = queue.offer(make_ticket(target_s=0.12), 0.0)
        self.assertIs(verdict.state, TicketState.DROPPED)
        self.assertGreater(verdict.retry_after_s, 0.0)

    def test_late_call_waits_behind_punctual_ones(self) -> None:
        queue, held = full_queue()
        late = make_ticket(rank=0, target_s=0.12, late_ok=True)
        punctual = make_ticket(rank=2)
        self.assertIs(queue.offer(late, 0.0).state, TicketState.WAITING)
        queue.offer(punctual, 0.0)
        queue.release(held[0], 0.1, 0.1)
        self.assertEqual(queue.dequeue(0.1), [punctual])

    def test_call_past_its_deadline_is_dropped_without_a_release(self) -> None:
        queue, _ = full_queue()
        ticket = make_ticket(target_s=0.3, deadline_s=0.4)
        queue.offer(ticket, 0.0)
        self.assertEqual(queue.dequeue(0.35), [ticket])
        self.assertIs(ticket.state, TicketState.DROPPED)

    def test_call_that_became_late_is_given_back_unless_it_may_be(self) -> None:
        for late_ok in (False, True):
            with self.subTest(late_ok=late_ok):
                queue, _ = full_queue()
                ticket = make_ticket(target_s=0.3, deadline_s=5.0, late_ok=late_ok)
                queue.offer(ticket, 0.0)
                left = queue.dequeue(0.25)
                self.assertEqual(left, [] if late_ok else [ticket])

    def test_late_call_takes_no_slot_that_punctual_ones_need(self) -> None:
        queue = AdmissionQueue()
        queue.slots = 4
        held = []
        for number in range(200):
            now_s = number * 0.02
            ticket = make_ticket(now_s=now_s)
            queue.offer(ticket, now_s)
            held.append(ticket)
            if len(held) > 2:
                queue.release(held.pop(0), now_s, 0.1)
        late = make_ticket(target_s=-0.1, late_ok=True, now_s=4.0)
        late.late = True
        self.assertEqual(queue.in_flight, 2)
        self.assertIsNot(queue.offer(late, 4.0).state, TicketState.ADMITTED)

    def test_wait_counts_urgent_calls_that_are_still_to_come(self) -> None:
        queue = AdmissionQueue()
        queue.slots = 4
        queue.service_times.record("rank-0", 0.3)
        held = []
        # Urgent calls keep about three of the four slots busy.
        for number in range(100):
            now_s = number * 0.1
            ticket = make_ticket(now_s=now_s)
            queue.offer(ticket, now_s)
            held.append(ticket)
            if len(held) > 3:
                queue.release(held.pop(0), now_s, 0.3)
        queue.offer(make_ticket(now_s=now_s), now_s)
        low = make_ticket(rank=2, target_s=9.0, now_s=now_s)
        urgent = make_ticket(rank=0, target_s=0.5, now_s=now_s)
        waits_s = [
            queue.expected_wait_s(x.sort_key(), x.priority, now_s)
            for x in (urgent, low)
        ]
        self.assertGreater(waits_s[1], 3 * waits_s[0])

    def test_stalled_upstream_takes_no_further_calls(self) -> None:
        queue, _ = full_queue()
        verdict = queue.offer(make_ticket(now_s=3.0), 3.0)
        self.assertIs(verdict.state, TicketState.DROPPED)

    def test_withdrawn_call_frees_its_place(self) -> None:
        queue, held = full_queue()
        first, second = make_ticket(), make_ticket()
        queue.offer(first, 0.0)
        queue.offer(second, 0.0)
        queue.withdraw(first)
        queue.release(held[0], 0.1, 0.1)
        self.assertEqual(queue.dequeue(0.1), [second])

    def test_lowest_rank_keeps_a_floor(self) -> None:
        queue, held = full_queue(slots=1)
        running = held[0]
        taken: Counter[int] = Counter()
        for step in range(200):
            now_s = step * 0.01
            queue.offer(make_ticket(rank=0, now_s=now_s), now_s)
            queue.offer(make_ticket(rank=2, target_s=9, now_s=now_s), now_s)
            queue.release(running, now_s, 0.01)
            admitted = [
                ticket
                for ticket in queue.dequeue(now_s)
                if ticket.state is TicketState.ADMITTED
            ]
            running = admitted[0]
            taken[running.rank] += 1
        self.assertGreaterEqual(taken[2], 15)
        self.assertGreaterEqual(taken[0], 170)


@dataclass(frozen=True, slots=True)
class Load:
    """Calls of one rank that a flood test offers."""

    rank: int
    per_s: float
    service_s: float
    target_s: float
    deadline_s: float


@dataclass(slots=True)
class Served:
    """What the callers of each rank got."""

    offered: Counter[int]
    punctual: Counter[int]
    late: Counter[int]

    def share(self, rank: int) -> float:
        """Return the share of a rank that was answered within its target."""
        return self.punctual[rank] / self.offered[rank]


class Flood:
    """Plays loads against the real queue, on a clock of its own."""

    def __init__(self, slots: int, late_ok: bool) -> None:
        self.chance = random.Random(7)
        self.queue = AdmissionQueue()
        self.queue.slots = slots
        self.late_ok = late_ok
        self.served = Served(Counter(), Counter(), Counter())
        self.mean_s: dict[int, float] = {}
        # Ends of service: time, order, ticket, its service time.
        self.ends: list[tuple[float, int, Ticket, float]] = []
        self.order = itertools.count()

    def play(self, loads: list[Load], length_s: float) -> Served:
        """Offer all loads for some seconds, and wait for the last end."""
        self.mean_s = {load.rank: load.service_s for load in loads}
        for at_s, load in sorted(self.arrivals(loads, length_s), key=lambda x: x[0]):
            self.finish_until(at_s)
            self.served.offered[load.rank] += 1
            ticket = make_ticket(
                load.rank, load.target_s, load.deadline_s, self.late_ok, at_s
            )
            if self.queue.offer(ticket, at_s).state is TicketState.ADMITTED:
                self.begin(ticket, at_s)
        self.finish_until(length_s + 20.0)
        return self.served

    def arrivals(self, loads: list[Load], length_s: float) -> list[tuple[float, Load]]:
        """Return the times at which calls come."""
        found = []
        for load in loads:
            at_s = 0.0
            while (at_s := at_s + self.chance.expovariate(load.per_s)) < length_s:
                found.append((at_s, load))
        return found

    def begin(self, ticket: Ticket, now_s: float) -> None:
        """Run a call; its time spreads by a third around the mean."""
        mean_s = self.mean_s[ticket.rank]
        service_s = mean_s * self.chance.lognormvariate(-0.045, 0.3)
        end = (now_s + service_s, next(self.order), ticket, service_s)
        heapq.heappush(self.ends, end)

    def finish_until(self, now_s: float) -> None:
        """End the calls whose time has come, and start those that were waiting."""
        while self.ends and self.ends[0][0] <= now_s:
            end_s, _, ticket, service_s = heapq.heappop(self.ends)
            if end_s <= ticket.target_at_s:
                self.served.punctual[ticket.rank] += 1
            elif end_s <= ticket.deadline_at_s:
                self.served.late[ticket.rank] += 1
            self.queue.release(ticket, end_s, service_s)
            for ready in self.queue.dequeue(end_s):
                if ready.state is TicketState.ADMITTED:
                    self.begin(ready, end_s)


class TestFlood(unittest.TestCase):
    """Floods against the slots of one upstream, and what callers get."""

    SLOTS = 18
    LENGTH_S = 10.0
    URGENT = Load(1, 30.0, 0.1, 0.4, 1.5)
    FLOOD = Load(2, 110.0, 0.48, 2.5, 5.0)
    # Calls of upstreams that hold a slot meanwhile: short, and soon too late.
    NESTED = Load(1, 25.0, 0.055, 0.2, 0.6)
    LONG_FLOOD = Load(2, 60.0, 0.88, 5.0, 15.0)

    def play(self, *loads: Load, late_ok: bool = True) -> Served:
        """Play loads of ten seconds."""
        return Flood(self.SLOTS, late_ok).play(list(loads), self.LENGTH_S)

    def test_urgent_rank_is_served_in_time(self) -> None:
        served = self.play(self.URGENT, self.FLOOD)
        self.assertGreaterEqual(served.share(1), 0.9)

    def test_slots_left_over_serve_the_flood_in_time(self) -> None:
        # 18 slots less 3 for the urgent rank, at 0.48 s each, for 10 s.
        served = self.play(self.URGENT, self.FLOOD)
        self.assertGreaterEqual(served.punctual[2], 0.85 * 15 / 0.48 * self.LENGTH_S)

    def test_no_punctual_call_is_given_up_for_a_late_one(self) -> None:
        without = self.play(self.URGENT, self.FLOOD, late_ok=False)
        served = self.play(self.URGENT, self.FLOOD)
        self.assertGreaterEqual(
            sum(served.punctual.values()), 0.95 * sum(without.punctual.values())
        )

    def test_short_calls_find_a_slot_among_long_ones(self) -> None:
        served = self.play(self.NESTED, self.LONG_FLOOD)
        self.assertGreaterEqual(served.share(1), 0.95)

    def test_kept_slots_cost_the_flood_little(self) -> None:
        served = self.play(self.NESTED, self.LONG_FLOOD)
        # 18 slots less 1.4 for the nested calls and one to spare.
        self.assertGreaterEqual(served.punctual[2], 0.85 * 15.6 / 0.88 * self.LENGTH_S)

    def test_flood_of_one_rank_is_served_in_time_as_far_as_slots_go(self) -> None:
        # Twice what the slots take, all of one rank.
        served = self.play(Load(0, 160.0, 0.22, 0.5, 4.0))
        room = self.SLOTS / 0.22 * self.LENGTH_S
        self.assertGreaterEqual(served.punctual[0], 0.9 * room)
