"""The bound on an organisation's calls holds whatever fails, on a simulated clock."""

from __future__ import annotations

import asyncio
import unittest
from itertools import pairwise

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gypsumlock.mesh.model import Organisation
from gypsumlock.mesh.state import QuotaBounds
from gypsumlock.quota import (
    PartLimit,
    TokenBucket,
    grant_lifetime_s,
    part_count,
    part_limit,
)
from tests.standins.quota_fleet import QUOTA_BOUNDS, QuotaFleet
from tests.standins.simulated_clock import run_simulated

NODES = 5
# Little more than what the parts may grant in all.
BOUNDS = QuotaBounds(window_s=5.0, excess=0.03, allowance=2.0)
# Time within which all nodes apply a version, in seconds.
APPLY_S = 1.0


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Return the largest number of times within a window."""
    most = first = 0
    for index, time_s in enumerate(times_s):
        while times_s[first] < time_s - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most


class TestReturnedTokens(unittest.TestCase):
    """Guards against returned tokens that raise what a bucket gives out in all."""

    @settings(max_examples=400, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0.0, 0.03, 0.1, 0.45, 1.9, 30.0)),
                st.booleans(),
                st.integers(1, 12),
            ),
            min_size=20,
            max_size=60,
        )
    )
    def test_used_tokens_are_those_of_a_plain_bucket(
        self, events: list[tuple[float, bool, int]]
    ) -> None:
        limit = PartLimit(rate_per_s=8.0, capacity=6.0)
        now_s = 1000.0
        bucket = TokenBucket(limit, now_s)
        # Time and number of the tokens of each grant that were not taken back.
        used: list[list[float]] = []
        for delay_s, is_return, number in events:
            now_s += delay_s
            if is_return and used:
                grant = used[-1 - number % len(used)]
                grant[1] -= bucket.give_back(int(grant[1]), grant[0], now_s)
            else:
                used.append([now_s, float(bucket.take(number, now_s))])
        for first in range(len(used)):
            total = 0.0
            for time_s, count in used[first:]:
                total += count
                most = limit.capacity + limit.rate_per_s * (time_s - used[first][0])
                self.assertLessEqual(total, most + 1e-6)


class TestDivision(unittest.TestCase):
    """Guards against a division into parts whose sum exceeds the bound."""

    @settings(max_examples=500, deadline=None)
    @given(
        st.floats(0.01, 1e5),
        st.floats(0, 1e4),
        st.floats(0.5, 60),
        st.floats(0, 1),
        st.floats(0, 100),
    )
    def test_sum_of_parts(
        self, rate: float, burst: float, window_s: float, excess: float, slack: float
    ) -> None:
        bounds = QuotaBounds(window_s, excess, slack)
        bound = (rate * window_s + burst) * (1 + excess) + slack
        count = part_count(rate, burst, bounds)
        limit = part_limit(rate, burst, bounds)
        time_s = window_s + grant_lifetime_s(bounds)
        most = count * (limit.capacity + limit.rate_per_s * time_s)
        # No bucket can grant less than one token.
        self.assertLessEqual(most, max(1.0, bound) + 1e-3 + 1e-9 * bound)

    def test_three_parts_with_the_usual_bounds(self) -> None:
        self.assertEqual(part_count(1.0, 0.0, QUOTA_BOUNDS), 3)
        self.assertEqual(part_count(1.0, 0.0, QuotaBounds(5.0, 0.1, 1.0)), 1)
        self.assertEqual(grant_lifetime_s(QUOTA_BOUNDS), 0.125)


def _organisations(scale: float) -> tuple[Organisation, ...]:
    return (
        Organisation("large", rate_per_s=40.0 * scale, burst=10.0 * scale),
        Organisation("small", rate_per_s=4.0, burst=0.0),
    )


_NODE = st.integers(0, NODES - 1)
_EVENT = st.tuples(
    st.sampled_from(
        ("pause", "pause", "resume", "cut", "heal", "kill", "restart", "restart")
        + ("limits", "slow", "store", "burst", "burst")
    ),
    _NODE,
    st.sampled_from((0.06, 0.3, 1.0, 3.0, 16.0)),
)


class TestBound(unittest.TestCase):
    """Guards against more calls than the quota allows, summed over all nodes."""

    @settings(
        max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow]
    )
    @given(st.lists(_EVENT, min_size=3, max_size=10), st.integers(0, 1000))
    def test_random_failures(
        self, events: list[tuple[str, int, float]], seed: int
    ) -> None:
        run_simulated(self.run_events(events, seed))

    async def run_events(self, events: list[tuple[str, int, float]], seed: int) -> None:
        fleet = QuotaFleet(NODES, _organisations(1.0), seed, BOUNDS)
        loop = asyncio.get_running_loop()
        # Start of each version, and the scale of its limit.
        versions = [(0.0, 1.0)]
        tasks = [
            loop.create_task(self.offer(fleet, index, 3 * rate))
            for index, rate in enumerate((40.0, 4.0))
        ]
        await asyncio.sleep(2.0)
        for kind, number, duration_s in events:
            name = f"n{number}"
            if kind == "limits":
                scale = (0.25, 1.0, 2.0, 0.5, 1.5)[number]
                versions.append((loop.time(), scale))
                fleet.configure(_organisations(scale))
            elif kind == "burst":
                for _ in range(60):
                    self.call(fleet, 0)
            else:
                apply_event(fleet, kind, name)
            await asyncio.sleep(duration_s)
            for nodes in fleet.holders().values():
                self.assertLessEqual(len(nodes), 1)
        fleet.stop()
        for task in tasks:
            task.cancel()
        self.check_bound(fleet, versions, loop.time())

    def call(self, fleet: QuotaFleet, index: int) -> None:
        node = fleet.nodes[fleet.rng.choice(list(fleet.nodes))]
        table = node.state.route_table
        assert table is not None
        loop = asyncio.get_running_loop()
        loop.create_task(node.call(table.config.organisations[index]))

    async def offer(self, fleet: QuotaFleet, index: int, rate_per_s: float) -> None:
        while True:
            await asyncio.sleep(fleet.rng.expovariate(rate_per_s))
            self.call(fleet, index)

    def check_bound(
        self, fleet: QuotaFleet, versions: list[tuple[float, float]], end_s: float
    ) -> None:
        """Check each version's time, and all windows against the highest limit."""
        window_s = BOUNDS.window_s
        changes = [*versions, (end_s, 1.0)]
        spans = [
            (start_s + APPLY_S + grant_lifetime_s(BOUNDS), next_s, scale)
            for (start_s, scale), (next_s, _) in pairwise(changes)
        ]
        spans.append((0.0, end_s, max(scale for _, scale in versions)))
        for start_s, next_s, scale in spans:
            for organisation in _organisations(scale):
                times_s = fleet.uses_s.get(organisation.name, [])
                inside = [x for x in times_s if start_s <= x <= next_s]
                bound = organisation.rate_per_s * window_s + organisation.burst
                bound = bound * (1 + BOUNDS.excess) + BOUNDS.allowance
                self.assertLessEqual(most_in_window(inside, window_s), bound)


def apply_event(fleet: QuotaFleet, kind: str, name: str) -> None:
    """Bring about one failure, or end it."""
    if kind == "pause":
        fleet.pause(name)
    elif kind == "resume":
        fleet.resume(name)
    elif kind == "cut":
        fleet.cut_off(name)
    elif kind == "heal":
        fleet.heal()
        fleet.store.down = False
        fleet.latency_s = (0.0005, 0.002)
    elif kind == "kill":
        fleet.kill(name)
    elif kind == "restart":
        fleet.start(name)
    elif kind == "slow":
        fleet.latency_s = (0.01, 0.2)
    elif kind == "store":
        fleet.store.down = True


if __name__ == "__main__":
    unittest.main()
