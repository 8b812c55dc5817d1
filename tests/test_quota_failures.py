"""Quotas under usual and excessive demand, and while nodes or the store fail."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

from gypsumlock.leases import LEASE_TABLE, decode_lease
from gypsumlock.mesh.model import Organisation
from gypsumlock.quota import (
    Balance,
    GrantLedger,
    HolderLocator,
    Lot,
    PartLimit,
    part_slots,
    slot_lease,
)
from gypsumlock.quota.account import QuotaRefusal
from gypsumlock.result_codes import ResultCode
from tests.standins.quota_fleet import QUOTA_BOUNDS, QuotaFleet
from tests.standins.simulated_clock import run_simulated

# Usual demand as a share of the quota.
USUAL = 1 / 1.6
OVER = ResultCode.CALL_OVER_QUOTA
UNAVAILABLE = ResultCode.CALL_QUOTA_UNAVAILABLE
# Time from the start in which leases are acquired, in seconds.
START_S = 2.0


class _Traffic:
    """Offers calls at random nodes, and counts the results."""

    def __init__(self, fleet: QuotaFleet, organisation: Organisation) -> None:
        self.fleet = fleet
        self.organisation = organisation
        self.results: Counter[ResultCode | None] = Counter()
        self.retry_after_s: list[float] = []
        self.longest_wait_s = 0.0
        # Node that gets all calls; empty for any.
        self.node = ""

    async def run(self, share: float, duration_s: float) -> Counter[ResultCode | None]:
        """Offer a share of the quota; return the results, by code (None: charged)."""
        self.results.clear()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = set()
        while loop.time() < end_s:
            rate_per_s = share * self.organisation.rate_per_s
            await asyncio.sleep(self.fleet.rng.expovariate(rate_per_s))
            tasks.add(loop.create_task(self.call()))
        await asyncio.gather(*tasks)
        return self.results

    async def call(self) -> None:
        alive = [x.name for x in self.fleet.nodes.values() if x.alive]
        node = self.fleet.nodes[self.node or self.fleet.rng.choice(alive)]
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        result = await node.call(self.organisation)
        self.longest_wait_s = max(self.longest_wait_s, loop.time() - began_s)
        if isinstance(result, QuotaRefusal):
            self.results[result.code] += 1
            self.retry_after_s.append(result.retry_after_s)
        elif result is not None:
            self.results[None] += 1


_Case = Callable[[QuotaFleet, _Traffic], Awaitable[None]]


class TestFailures(unittest.TestCase):
    """Guards against refusals below the limit, and use of grants that are not valid."""

    def simulate(self, case: _Case, size: int = 8, rate_per_s: float = 60.0) -> None:
        organisation = Organisation("o", rate_per_s=rate_per_s, burst=rate_per_s / 5)

        async def run() -> None:
            fleet = QuotaFleet(size, (organisation,))
            await asyncio.sleep(START_S)
            await case(fleet, _Traffic(fleet, organisation))
            fleet.stop()

        run_simulated(run())

    def granting_node(self, fleet: QuotaFleet, traffic: _Traffic) -> str:
        """Return the node that holds the first part."""
        slot = part_slots(traffic.organisation, QUOTA_BOUNDS)[0]
        return fleet.holders()[slot_lease(slot)][0]

    def assert_refused(
        self, results: Counter[ResultCode | None], at_most: float
    ) -> None:
        refused = results.total() - results[None]
        self.assertLessEqual(refused, at_most * results.total(), results)

    def test_usual_demand_of_80_nodes(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            fleet.message_count = 0
            calls = fleet.store.call_count
            results = await traffic.run(USUAL, 10.0)
            self.assert_refused(results, 0.0)
            # One request and one grant for each call at most, but for a few redirected.
            self.assertLess(fleet.message_count, 2.2 * results.total())
            self.assertLess(traffic.longest_wait_s, 0.06)
            self.assertLess(fleet.store.call_count - calls, 150)

        self.simulate(case, size=80, rate_per_s=300.0)

    def test_nine_times_the_usual_demand(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            results = await traffic.run(9 * USUAL, 10.0)
            self.assertGreater(results[None], 0.95 * 10.0 * 60.0)
            self.assertEqual(results[UNAVAILABLE], 0)
            self.assertLess(fleet.message_count, 3 * results.total())
            spread = traffic.retry_after_s
            self.assertEqual(len(set(spread)), len(spread))
            self.assertGreater(min(spread), 0.0)

        self.simulate(case)

    def test_granting_node_killed(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            await traffic.run(USUAL, 3.0)
            fleet.kill(self.granting_node(fleet, traffic))
            # Two parts of three remain, with hardly more than the usual demand.
            self.assert_refused(await traffic.run(USUAL, 20.0), 0.1)
            self.assert_refused(await traffic.run(USUAL, 10.0), 0.0)

        self.simulate(case)

    def test_paused_past_its_lease(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            name = self.granting_node(fleet, traffic)
            slot = part_slots(traffic.organisation, QUOTA_BOUNDS)[0]
            fleet.pause(name)
            await asyncio.sleep(25.0)
            holder = fleet.holders()[slot_lease(slot)]
            fleet.resume(name)
            self.assertNotEqual(holder, [name])
            self.assertEqual(fleet.holders()[slot_lease(slot)], holder)
            self.assert_refused(await traffic.run(USUAL, 5.0), 0.0)

        self.simulate(case)

    def test_granting_node_cut_off(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            name = self.granting_node(fleet, traffic)
            fleet.cut_off(name)
            await asyncio.sleep(20.0)
            traffic.node = name
            results = await traffic.run(USUAL, 3.0)
            self.assertEqual(set(results), {UNAVAILABLE})
            fleet.heal()
            await asyncio.sleep(3.0)
            self.assert_refused(await traffic.run(USUAL, 3.0), 0.0)

        self.simulate(case)

    def test_store_away(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            fleet.store.down = True
            self.assert_refused(await traffic.run(USUAL, 9.0), 0.0)
            await asyncio.sleep(8.0)
            self.assertEqual(set(await traffic.run(USUAL, 2.0)), {UNAVAILABLE})
            fleet.store.down = False
            await asyncio.sleep(2.0)
            self.assert_refused(await traffic.run(USUAL, 5.0), 0.0)

        self.simulate(case)

    def test_all_nodes_restart(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            lease = slot_lease(part_slots(traffic.organisation, QUOTA_BOUNDS)[0])
            rows = fleet.store.tables[LEASE_TABLE]
            before = decode_lease(rows[lease].value)
            for name in list(fleet.nodes):
                fleet.start(name)
            await asyncio.sleep(1.5)
            after = decode_lease(rows[lease].value)
            assert before is not None and after is not None
            self.assertGreater(after.token, before.token)
            self.assert_refused(await traffic.run(USUAL, 5.0), 0.01)

        self.simulate(case)

    def test_graceful_stop_hands_the_slot_over(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            await traffic.run(USUAL, 2.0)
            name = self.granting_node(fleet, traffic)
            fleet.nodes[name].state.stopping_since_s = 0.0
            self.assert_refused(await traffic.run(USUAL, 6.0), 0.0)
            self.assertNotEqual(self.granting_node(fleet, traffic), name)

        self.simulate(case)

    def test_changed_limits(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            for rate_per_s in (6.0, 300.0):
                changed = Organisation("o", rate_per_s=rate_per_s, burst=rate_per_s / 5)
                fleet.configure((changed,))
                traffic.organisation = changed
                await asyncio.sleep(2.0)
                fleet.uses_s.clear()
                await traffic.run(9 * USUAL, 10.0)
                used = len(fleet.uses_s["o"])
                self.assertLessEqual(used, rate_per_s * 10.2 * 1.1 + 20)
                self.assertGreater(used, rate_per_s * 9.0)
            fleet.configure(())
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.nodes["n0"].granter.refresh(), ())
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.holders(), {})

        self.simulate(case)

    def test_first_node_hands_its_slots_over(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            records = fleet.records
            for name in list(fleet.nodes):
                fleet.start(name).directory.update({})
            fleet.store.tables.clear()
            first = dict(list(records.items())[:1])
            for node in fleet.nodes.values():
                node.directory.update(first)
            await asyncio.sleep(3.0)
            for node in fleet.nodes.values():
                node.directory.update(records)
            self.assert_refused(await traffic.run(USUAL, 60.0), 0.001)
            held = Counter(x for names in fleet.holders().values() for x in names)
            self.assertLessEqual(max(held.values()), 4)

        self.simulate(case, size=24)

    def test_small_limit_without_a_burst(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            self.assert_refused(await traffic.run(USUAL, 300.0), 0.01)

        self.simulate(case, rate_per_s=6.0)

    def test_grant_that_arrives_late_is_not_used(self) -> None:
        async def case(fleet: QuotaFleet, traffic: _Traffic) -> None:
            held = {x for names in fleet.holders().values() for x in names}
            traffic.node = next(x for x in fleet.nodes if x not in held)
            # A request and its grant take longer than the lifetime, 0.125 s.
            fleet.latency_s = (0.065, 0.07)
            results = await traffic.run(USUAL, 3.0)
            self.assertEqual(results[None], 0, results)

        self.simulate(case, size=16)


class TestParts(unittest.TestCase):
    """Guards against tokens that are used when they should not be."""

    def test_expired_token_is_not_spent_but_returned(self) -> None:
        balance = Balance((3,))
        balance.add(Lot(3, 1, 2, 5000, 10.0, 10.125), 10.01)
        self.assertIsNotNone(balance.spend(10.124))
        self.assertIsNone(balance.spend(10.125))
        returned = balance.take_returns(3, 1, 10.2)
        self.assertEqual([(x.issued_ms, x.count) for x in returned], [(5000, 1)])

    def test_refunded_token_can_be_spent_until_it_expires(self) -> None:
        balance = Balance((3,))
        balance.add(Lot(3, 1, 1, 5000, 10.0, 10.125), 10.01)
        lot = balance.spend(10.02)
        assert lot is not None
        self.assertIsNone(balance.spend(10.03))
        balance.refund(lot, 10.05)
        self.assertIs(type(balance.spend(10.1)), Lot)
        balance.refund(lot, 10.2)
        self.assertIsNone(balance.spend(10.2))

    def test_new_holder_starts_with_empty_buckets(self) -> None:
        ledger = GrantLedger(7)
        ledger.set_limits({"o": PartLimit(10.0, 5.0)}, 100.0)
        self.assertEqual(ledger.grant("o", 5, 100.0)[0], 0)
        self.assertEqual(ledger.grant("o", 5, 100.3)[0], 3)

    def test_denied_requests_are_told_different_times(self) -> None:
        ledger = GrantLedger(7)
        ledger.set_limits({"o": PartLimit(10.0, 5.0)}, 100.0)
        times_s = [ledger.grant("o", 1, 100.0)[1] for _ in range(5)]
        for number, time_s in enumerate(times_s, 1):
            self.assertAlmostEqual(time_s, 0.1 * number)

    def test_grants_with_an_old_token_are_ignored(self) -> None:
        locator = HolderLocator()
        self.assertTrue(locator.accept("n2", 5, 100.0))
        self.assertFalse(locator.accept("n1", 4, 101.0))
        self.assertEqual(locator.target(["n1"], 101.0), "n2")


if __name__ == "__main__":
    unittest.main()
