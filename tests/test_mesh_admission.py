"""Admission at the owner: order, refusals, floors, and what callers get of it."""

from __future__ import annotations

import heapq
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
        self.assertEqual(queue.take_ready(0.1), [urgent])

    def test_within_a_rank_the_earliest_target_goes_first(self) -> None:
        queue, held = full_queue()
        patient, hasty = make_ticket(target_s=1.0), make_ticket(target_s=0.5)
        queue.offer(patient, 0.0)
        queue.offer(hasty, 0.0)
        queue.release(held[0], 0.1, 0.1)
        self.assertEqual(queue.take_ready(0.1), [hasty])

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
        self.assertEqual(queue.take_ready(0.1), [punctual])

    def test_call_past_its_deadline_is_dropped_without_a_release(self) -> None:
        queue, _ = full_queue()
        ticket = make_ticket(target_s=0.3, deadline_s=0.4)
        queue.offer(ticket, 0.0)
        self.assertEqual(queue.take_ready(0.35), [ticket])
        self.assertIs(ticket.state, TicketState.DROPPED)

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
        self.assertEqual(queue.take_ready(0.1), [second])

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
                for ticket in queue.take_ready(now_s)
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


class TestFlood(unittest.TestCase):
    """A flood of the least urgent rank, three times what the slots can take."""

    SLOTS = 18
    LENGTH_S = 10.0
    URGENT = Load(1, 30.0, 0.1, 0.4, 1.5)
    FLOOD = Load(2, 110.0, 0.48, 2.5, 5.0)

    def play(self, late_ok: bool) -> tuple[Counter[int], Counter[int], Counter[int]]:
        """Return offered, punctual and late answers by rank."""
        chance = random.Random(7)
        queue = AdmissionQueue()
        queue.slots = self.SLOTS
        offered: Counter[int] = Counter()
        punctual: Counter[int] = Counter()
        late: Counter[int] = Counter()
        arrivals: list[tuple[float, int, Load]] = []
        for load in (self.URGENT, self.FLOOD):
            at_s = 0.0
            while (at_s := at_s + chance.expovariate(load.per_s)) < self.LENGTH_S:
                arrivals.append((at_s, len(arrivals), load))
        arrivals.sort()
        # Ends of service: time, order, ticket, its service time.
        ends: list[tuple[float, int, Ticket, float]] = []
        loads = {load.rank: load for load in (self.URGENT, self.FLOOD)}

        def begin(ticket: Ticket, now_s: float) -> None:
            service_s = chance.expovariate(1 / loads[ticket.rank].service_s)
            end = (now_s + service_s, len(ends) + chance.random(), ticket, service_s)
            heapq.heappush(ends, end)  # type: ignore[misc]

        def finish_until(now_s: float) -> None:
            while ends and ends[0][0] <= now_s:
                end_s, _, ticket, service_s = heapq.heappop(ends)
                done = punctual if end_s <= ticket.target_at_s else late
                if end_s <= ticket.deadline_at_s:
                    done[ticket.rank] += 1
                queue.release(ticket, end_s, service_s)
                for ready in queue.take_ready(end_s):
                    if ready.state is TicketState.ADMITTED:
                        begin(ready, end_s)

        for at_s, _, load in arrivals:
            finish_until(at_s)
            offered[load.rank] += 1
            ticket = make_ticket(
                load.rank, load.target_s, load.deadline_s, late_ok, at_s
            )
            if queue.offer(ticket, at_s).state is TicketState.ADMITTED:
                begin(ticket, at_s)
        finish_until(self.LENGTH_S + 10.0)
        return offered, punctual, late

    def test_urgent_rank_is_served_in_time(self) -> None:
        offered, punctual, _ = self.play(late_ok=True)
        self.assertGreaterEqual(punctual[1] / offered[1], 0.9)

    def test_slots_left_over_serve_the_flood_in_time(self) -> None:
        # 18 slots less 3 for the urgent rank, at 0.48 s each, for 10 s.
        _, punctual, _ = self.play(late_ok=True)
        self.assertGreaterEqual(punctual[2], 0.85 * 15 / 0.48 * self.LENGTH_S)

    def test_no_punctual_call_is_given_up_for_a_late_one(self) -> None:
        _, without, _ = self.play(late_ok=False)
        _, punctual, _ = self.play(late_ok=True)
        self.assertGreaterEqual(sum(punctual.values()), 0.95 * sum(without.values()))
