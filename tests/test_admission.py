"""Tests of the queue policies, the adaptive concurrency limit and the gate."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

import anyio
from result import Err, Ok

from gypsumlock.admission import (
    ConcurrencyLimit,
    FifoPolicy,
    Gate,
    Permit,
    QueuePolicy,
    RankedPolicy,
    StrictPolicy,
    Waiter,
)
from gypsumlock.model import Rank
from gypsumlock.result_codes import ResultCode

URGENT = Rank("urgent", 1.0, 0.3, 64)
SEARCH = Rank("search", 2.0, 0.2, 64)
BROWSE = Rank("browse", 5.0, 0.1, 32)
RANKS = (URGENT, SEARCH, BROWSE)


def offer(policy: QueuePolicy, rank: Rank, count: int) -> None:
    """Queue `count` calls of one rank."""
    for _ in range(count):
        policy.offer(Waiter(rank, RANKS.index(rank)))


def take(policy: QueuePolicy, count: int) -> Counter[str]:
    """Take up to `count` calls and count them by rank."""
    taken = [policy.take() for _ in range(count)]
    return Counter(waiter.rank.name for waiter in taken if waiter)


class TestPolicies(unittest.TestCase):
    """Order of admission and limits of the queues."""

    def count_admissions(self, policy: QueuePolicy) -> Counter[str]:
        """Count 1000 admissions by rank while every rank always has waiting calls."""
        taken: Counter[str] = Counter()
        for _ in range(1000):
            for rank in RANKS:
                offer(policy, rank, 2)
            taken += take(policy, 1)
        return taken

    def test_strict_policy_starves_lower_ranks(self) -> None:
        self.assertEqual(self.count_admissions(StrictPolicy()), Counter(urgent=1000))

    def test_ranked_policy_keeps_floor_shares_and_prefers_urgent(self) -> None:
        taken = self.count_admissions(RankedPolicy())
        for rank in RANKS:
            self.assertGreaterEqual(taken[rank.name], 990 * rank.floor_share)
        self.assertGreaterEqual(taken["urgent"], 650)

    def test_ranked_policy_gives_all_slots_to_the_only_waiting_rank(self) -> None:
        policy = RankedPolicy()
        offer(policy, BROWSE, 20)
        self.assertEqual(take(policy, 20), Counter(browse=20))

    def test_fifo_policy_keeps_the_order_of_arrival(self) -> None:
        policy = FifoPolicy()
        offer(policy, BROWSE, 1)
        offer(policy, URGENT, 1)
        first = policy.take()
        assert first is not None
        self.assertIs(first.rank, BROWSE)

    def test_full_queue_refuses_calls_until_a_waiter_gives_up(self) -> None:
        policy = RankedPolicy()
        small = replace(BROWSE, queue_limit=1)
        waiter = Waiter(small, 2)
        self.assertTrue(policy.offer(waiter))
        self.assertFalse(policy.offer(Waiter(small, 2)))
        waiter.done = True
        self.assertTrue(policy.offer(Waiter(small, 2)))


class TestConcurrencyLimit(unittest.TestCase):
    """Adaptation of the limit to latency, between its bounds."""

    def record_calls(
        self, limit: ConcurrencyLimit, latency_s: float, calls: int
    ) -> None:
        for _ in range(calls):
            limit.record_call(latency_s, limit.value)

    def test_limit_grows_from_cold_start_to_all_slots(self) -> None:
        limit = ConcurrencyLimit(20)
        self.assertEqual(limit.value, 10)
        self.record_calls(limit, 0.02, 1000)
        self.assertEqual(limit.value, 20)

    def test_high_latency_shrinks_the_limit_to_its_minimum(self) -> None:
        limit = ConcurrencyLimit(20)
        self.record_calls(limit, 0.02, 400)
        self.record_calls(limit, 0.2, 1000)
        self.assertEqual(limit.value, 5)
        self.record_calls(limit, 0.02, 1000)
        self.assertEqual(limit.value, 20)

    def test_limit_never_exceeds_the_announced_slots(self) -> None:
        limit = ConcurrencyLimit(20)
        self.record_calls(limit, 0.02, 1000)
        limit.set_slots(4)
        self.record_calls(limit, 0.02, 1000)
        self.assertEqual(limit.value, 4)


class TestGate(unittest.IsolatedAsyncioTestCase):
    """Permits, queueing, deadlines and cancellation."""

    def setUp(self) -> None:
        self.gate = Gate(ConcurrencyLimit(2), RankedPolicy())

    async def acquire(self, rank: Rank = URGENT, timeout_s: float = 5.0) -> Permit:
        deadline_s = anyio.current_time() + timeout_s
        acquired = await self.gate.acquire(rank, RANKS.index(rank), deadline_s)
        return acquired.unwrap()

    async def test_freed_slot_goes_to_the_most_urgent_waiter(self) -> None:
        first = await self.acquire()
        order: list[str] = []

        async def wait_for(rank: Rank) -> None:
            permit = await self.acquire(rank)
            order.append(rank.name)
            permit.release(answered=False)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for, BROWSE)
            await anyio.sleep(0.01)
            tasks.start_soon(wait_for, URGENT)
            await anyio.sleep(0.01)
            self.assertEqual(order, [])
            first.release(answered=False)
        self.assertEqual(order, ["urgent", "browse"])
        self.assertEqual(self.gate.in_flight, 0)

    async def test_call_that_cannot_get_a_slot_in_time_is_refused(self) -> None:
        held = await self.acquire()
        deadline_s = anyio.current_time() + 0.05
        refused = await self.gate.acquire(URGENT, 0, deadline_s)
        assert isinstance(refused, Err)
        self.assertIs(refused.err_value.code, ResultCode.CALL_OVERLOADED)
        held.release(answered=False)
        self.assertEqual(self.gate.in_flight, 0)

    async def test_cancelled_waiter_leaks_no_slot(self) -> None:
        held = await self.acquire()

        async def hold_permit() -> None:
            # Releases the permit in `finally`, as the data path does.
            permit = await self.acquire()
            try:
                await anyio.sleep(1)
            finally:
                permit.release(answered=False)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold_permit)
            await anyio.sleep(0.01)
            # Grants the slot and cancels the waiter in one iteration of the event loop.
            held.release(answered=False)
            tasks.cancel_scope.cancel()
        self.assertEqual(self.gate.in_flight, 0)

    async def test_gate_without_limit_admits_every_call(self) -> None:
        gate = Gate(None, FifoPolicy())
        for _ in range(100):
            acquired = await gate.acquire(BROWSE, 2, anyio.current_time() + 1)
            self.assertIsInstance(acquired, Ok)
        self.assertEqual(gate.in_flight, 100)
