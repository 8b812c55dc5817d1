"""Shares of an upstream's slots that organisations of one rank get in a flood."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from gypsumlock.mesh.admission import AdmissionQueue
from gypsumlock.mesh.ticket import Ticket, TicketState
from gypsumlock.organisations.fair_queue import FairShares

SLOTS = 6
DURATION_S = 30.0
SERVICE_S = 0.2
# Calls per second that the slots can serve.
CAPACITY_PER_S = SLOTS / SERVICE_S


@dataclass(frozen=True, slots=True)
class Load:
    """Calls of one organisation that arrive as a Poisson process."""

    organisation: str
    calls_per_s: float
    service_s: float = SERVICE_S
    target_s: float = 1.0
    deadline_s: float = 3.0


def make_ticket(
    organisation: str,
    target_s: float = 1.0,
    now_s: float = 0.0,
    deadline_s: float = 3.0,
    late_ok: bool = False,
) -> Ticket:
    """Return a ticket of rank 1; its target and deadline are relative to `now_s`."""
    target_at_s, deadline_at_s = now_s + target_s, now_s + deadline_s
    return Ticket(
        f"to-{target_s}", 1, target_s, late_ok, target_at_s, deadline_at_s,
        first_offer=not late_ok, organisation=organisation,
    )  # fmt: skip


class Simulation:
    """Offers the calls of organisations to a queue, first for an on-time response."""

    def __init__(self) -> None:
        self.rng = random.Random(11)
        self.queue = AdmissionQueue()
        self.queue.slots = SLOTS
        self.offered: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.busy_s: defaultdict[str, float] = defaultdict(float)
        self.in_service: list[tuple[float, int, Ticket, float]] = []
        self.service_s: dict[Ticket, float] = {}
        self.sequence = itertools.count()

    def run(self, loads: list[Load]) -> None:
        """Offer the loads, and finish the last calls."""
        arrivals = []
        for load in loads:
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(load.calls_per_s)) < DURATION_S:
                arrivals.append((at_s, load))
        for at_s, load in sorted(arrivals, key=lambda arrival: arrival[0]):
            self.finish_until(at_s)
            self.offer(load, at_s)
        self.finish_until(DURATION_S + 10.0)

    def offer(self, load: Load, now_s: float) -> None:
        """Offer a call, and once more for a late response if it is refused."""
        self.offered[load.organisation] += 1
        for late_ok in (False, True):
            ticket = make_ticket(
                load.organisation, load.target_s, now_s, load.deadline_s, late_ok
            )
            # Service times vary by about 30 % around the mean.
            factor = self.rng.lognormvariate(-0.045, 0.3)
            self.service_s[ticket] = load.service_s * factor
            state = self.queue.offer(ticket, now_s).state
            if state is TicketState.ADMITTED:
                self.start(ticket, now_s)
            if state is not TicketState.DROPPED:
                return

    def start(self, ticket: Ticket, now_s: float) -> None:
        """Start a call."""
        service_s = self.service_s[ticket]
        call = (now_s + service_s, next(self.sequence), ticket, service_s)
        heapq.heappush(self.in_service, call)

    def finish_until(self, now_s: float) -> None:
        """Finish the calls that end by `now_s`, and start those that are admitted."""
        while self.in_service and self.in_service[0][0] <= now_s:
            end_s, _, ticket, service_s = heapq.heappop(self.in_service)
            self.busy_s[ticket.organisation] += service_s
            if end_s <= ticket.deadline_at_s:
                self.answered[ticket.organisation] += 1
            self.queue.release(ticket, end_s, service_s)
            for dequeued in self.queue.dequeue(end_s):
                if dequeued.state is TicketState.ADMITTED:
                    self.start(dequeued, end_s)

    def answered_share(self, organisation: str) -> float:
        """Return the share of an organisation's calls that were answered."""
        return self.answered[organisation] / self.offered[organisation]


def simulate(*loads: Load) -> Simulation:
    """Return the simulation of some loads."""
    simulation = Simulation()
    simulation.run(list(loads))
    return simulation


class TestFlood(unittest.TestCase):
    """One organisation floods an upstream that others of its rank use."""

    FLOOD = Load("flood", 9 * CAPACITY_PER_S)
    NAMES = tuple(f"small-{number}" for number in range(8))

    def check_small(self, simulation: Simulation) -> None:
        """Check that the small organisations are served, and no slot stays idle."""
        for name in self.NAMES:
            self.assertGreaterEqual(simulation.answered_share(name), 0.9, name)
        busy_s = sum(simulation.busy_s.values())
        self.assertGreaterEqual(busy_s, 0.9 * SLOTS * DURATION_S)

    def test_small_organisations_beside_a_flood(self) -> None:
        small = [Load(name, 0.05 * CAPACITY_PER_S) for name in self.NAMES]
        self.check_small(simulate(self.FLOOD, *small))

    def test_flood_of_calls_with_a_shorter_target(self) -> None:
        flood = Load("flood", 9 * SLOTS / 0.05, 0.05, 0.3, 1.0)
        small = [Load(name, 0.05 * CAPACITY_PER_S) for name in self.NAMES]
        self.check_small(simulate(flood, *small))

    def test_flood_without_an_organisation(self) -> None:
        small = [Load(name, 0.05 * CAPACITY_PER_S) for name in self.NAMES]
        self.check_small(simulate(Load("", 9 * CAPACITY_PER_S), *small))

    def test_organisations_that_want_more_get_equal_shares(self) -> None:
        small = [Load(name, CAPACITY_PER_S) for name in self.NAMES[:4]]
        simulation = simulate(self.FLOOD, *small)
        equal_s = SLOTS * DURATION_S / 5
        for load in (self.FLOOD, *small):
            busy_s = simulation.busy_s[load.organisation]
            self.assertGreaterEqual(busy_s, 0.75 * equal_s)
            self.assertLessEqual(busy_s, 1.25 * equal_s)

    def test_none_is_served_a_quarter_as_often_as_all(self) -> None:
        # The users' limit, at skewed demand: each wants twice what the one before does.
        loads = [Load(f"n{n}", 0.05 * 2**n * CAPACITY_PER_S) for n in range(8)]
        simulation = simulate(*loads)
        total = sum(simulation.answered.values()) / sum(simulation.offered.values())
        for load in loads:
            share = simulation.answered_share(load.organisation)
            self.assertGreaterEqual(share, total / 4, load)


class TestOrder(unittest.TestCase):
    """Which of the waiting calls is served next, and which is refused."""

    def make_queue(self, *tickets: Ticket) -> tuple[AdmissionQueue, Ticket]:
        """Return a queue with one slot in which calls wait, and the holder."""
        queue = AdmissionQueue()
        holder = make_ticket("a")
        queue.offer(holder, 0.0)
        for ticket in tickets:
            self.assertIs(queue.offer(ticket, 0.0).state, TicketState.WAITING)
        return queue, holder

    def test_organisations_alternate(self) -> None:
        first, second = make_ticket("a", 1.0), make_ticket("a", 1.1)
        other = make_ticket("b", 1.2)
        queue, running = self.make_queue(first, second, other)
        for expected in (first, other, second):
            queue.release(running, 0.1, 0.1)
            self.assertEqual(queue.dequeue(0.1), [expected])
            running = expected

    def test_nested_call_goes_before_calls_of_organisations(self) -> None:
        nested = make_ticket("", 0.5)
        queue, running = self.make_queue(make_ticket("a"), make_ticket("b"), nested)
        queue.release(running, 0.1, 0.1)
        self.assertEqual(queue.dequeue(0.1), [nested])

    def test_organisation_with_most_calls_is_refused_first(self) -> None:
        calls = [make_ticket("a", 0.7) for _ in range(6)]
        queue, _ = self.make_queue(*calls)
        self.assertIs(
            queue.offer(make_ticket("a", 0.7), 0.0).state, TicketState.DROPPED
        )
        small = [make_ticket("b", 0.7), make_ticket("c", 0.7)]
        for ticket in small:
            self.assertIs(queue.offer(ticket, 0.0).state, TicketState.WAITING)
        self.assertEqual(queue.dequeue(0.0), [calls[-1]])

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9))))
    def test_calls_of_one_organisation_are_ordered_as_without(
        self, arrivals: list[tuple[str, int]]
    ) -> None:
        # With a single organisation, or without any, only rank and target decide.
        for name in ("", "a"):
            shares = FairShares()
            waiting = [make_ticket(name, target / 10) for _, target in arrivals]
            waiting.sort(key=Ticket.sort_key)
            while waiting:
                self.assertEqual(shares.pick(waiting, 0, lambda _: True), 0)
                ahead_s = sum(
                    x.service_s
                    for x in waiting[:-1]
                    if x.target_at_s <= waiting[-1].target_at_s
                )
                self.assertAlmostEqual(
                    shares.work_ahead_s(waiting, waiting[-1]), ahead_s
                )
                waiting.pop(0)

    @given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=30))
    def test_waiting_organisations_differ_by_one_call_at_most(
        self, names: list[str]
    ) -> None:
        shares = FairShares()
        waiting = [make_ticket(name) for name in names]
        served: Counter[str] = Counter()
        while waiting:
            left = {ticket.organisation for ticket in waiting}
            ticket = waiting.pop(shares.pick(waiting, 0, lambda _: True))
            served[ticket.organisation] += 1
            if len(left) > 1:
                counts = [served[name] for name in left]
                self.assertLessEqual(max(counts) - min(counts), 1)

    def test_state_is_bounded_by_the_waiting_organisations(self) -> None:
        shares = FairShares()
        waiting = [make_ticket(f"n{number}") for number in range(10)]
        for number in range(10, 5_000):
            waiting.pop(shares.pick(waiting, 0, lambda _: True))
            waiting.append(make_ticket(f"n{number}"))
            self.assertLessEqual(len(shares), 50)
