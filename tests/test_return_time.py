"""When refused clients are told to return."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from gypsumlock.mesh.return_time import choose_return_s
from tests.standins.wide_service import ClassLoad, WideService


class TestReturnTime(unittest.TestCase):
    """Times told to clients that were refused together."""

    def choose(self, first_s: float, last_s: float) -> list[float]:
        rng = random.Random(3)
        return [choose_return_s(first_s, last_s, rng) for _ in range(200)]

    def test_clients_do_not_all_return_to_the_first_room(self) -> None:
        times_s = self.choose(0.2, 1.0)
        early = sum(time_s < 0.6 for time_s in times_s)
        self.assertLess(early, 0.7 * len(times_s))
        self.assertGreater(early, 0.3 * len(times_s))
        self.assertLessEqual(max(times_s), 1.0)

    def test_single_expectation_is_kept_within_a_quarter(self) -> None:
        for last_s in (0.0, 0.4):
            with self.subTest(last_s=last_s):
                times_s = self.choose(0.4, last_s)
                self.assertGreaterEqual(min(times_s), 0.3)
                self.assertLessEqual(max(times_s), 0.5)
                self.assertEqual(len(set(times_s)), len(times_s))


class TestReturnsInOverload(unittest.TestCase):
    """Half as many calls again as five upstreams of unequal speed can serve."""

    def answered_share(self) -> float:
        service = WideService(
            upstreams=5, callers=12, slots=4, slowness=(0.6, 0.8, 1, 1.3, 1.8)
        )
        capacity = service.capacity_slots()
        urgent = ClassLoad(1, 0.25 * capacity / 0.14, 0.14, 0.5, 1.2)
        flood = ClassLoad(2, 1.25 * capacity / 0.155, 0.155, 0.6, 2.0)
        service.run([urgent, flood], 6.0)
        self.assertGreaterEqual(service.on_time_share(1), 0.95)
        answered = service.on_time[2] + service.late[2]
        return answered / service.offered[2]

    def test_spread_returns_are_answered_more_often(self) -> None:
        spread_share = self.answered_share()

        def choose_first_s(first_s: float, _: float, rng: random.Random) -> float:
            return choose_return_s(first_s, first_s, rng)

        name = "tests.standins.wide_service.choose_return_s"
        with mock.patch(name, choose_first_s):
            self.assertGreater(spread_share, self.answered_share())
