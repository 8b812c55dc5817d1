"""The limit of concurrent calls, under loads that keep all slots busy."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass

from gypsumlock.mesh.concurrency_limit import (
    MIN_LOSS_RATIO,
    PRIOR_CALLS,
    ConcurrencyLimit,
)

SLOTS = 5
SERVICE_S = 0.05
DURATION_S = 30.0
# Time after which a call without a response is given up.
SILENCE_S = 0.3


@dataclass(slots=True)
class Result:
    """What became of the calls of a simulation."""

    answered: int = 0
    lost: int = 0
    # Sum of the limit over all sent calls.
    limits: int = 0

    @property
    def mean_limit(self) -> float:
        return self.limits / (self.answered + self.lost)

    @property
    def loss_share(self) -> float:
        return self.lost / (self.answered + self.lost)


def simulate(
    is_lost: Callable[[int, float, random.Random], bool],
    limited: bool = True,
    silent: bool = False,
) -> Result:
    """Keep as many calls in flight as the limit allows.

    Parameters
    ----------
    is_lost : Callable[[int, float, random.Random], bool]
        Whether a call is lost, by the calls that the upstream runs with it, and by
        the time.
    limited : bool
        Whether the limit is applied, and not the slots alone.
    silent : bool
        Whether a lost call gets no response instead of a reset.
    """
    rng = random.Random(5)
    limit = ConcurrencyLimit(SLOTS)
    result = Result()
    ends: list[tuple[float, int, float, int, bool]] = []
    numbers = itertools.count()
    running = in_flight = 0
    now_s = 0.0
    while now_s < DURATION_S:
        while in_flight < (limit.value if limited else SLOTS):
            in_flight += 1
            lost = is_lost(running + 1, now_s, rng)
            running += not lost
            took_s = SERVICE_S * rng.uniform(0.6, 1.4)
            if lost:
                took_s = SILENCE_S if silent else 0.01
            end_s = now_s + took_s
            heapq.heappush(ends, (end_s, next(numbers), now_s, in_flight, lost))
            result.limits += limit.value
        now_s, _, sent_at_s, concurrency, lost = heapq.heappop(ends)
        in_flight -= 1
        running -= not lost
        result.lost += lost
        result.answered += not lost
        limit.record(concurrency, lost, sent_at_s, now_s)
    return result


class TestFullUpstream(unittest.TestCase):
    """An upstream that runs three calls although it announces five slots."""

    def test_calls_are_seldom_lost_once_the_limit_is_known(self) -> None:
        for silent in (False, True):
            with self.subTest(silent=silent):
                unlimited = simulate(lambda n, *_: n > 3, False, silent)
                limited = simulate(lambda n, *_: n > 3, True, silent)
                # More frequent losses lower the limit further.
                max_share = MIN_LOSS_RATIO / PRIOR_CALLS
                self.assertGreater(unlimited.loss_share, max_share)
                self.assertLess(limited.loss_share, max_share)
                self.assertGreater(limited.answered, 0.95 * unlimited.answered)

    def test_limit_follows_an_upstream_that_recovers(self) -> None:
        full_s = 5.0

        def is_lost(running: int, now_s: float, rng: random.Random) -> bool:
            return now_s < full_s and running > 2

        # The limit grows from two calls to five, after 8, 4 and 2 seconds at most.
        slots_s = (
            2 * full_s
            + 2 * 8.0
            + 3 * 4.0
            + 4 * 2.0
            + SLOTS * (DURATION_S - full_s - 8.0 - 4.0 - 2.0)
        )
        self.assertGreater(simulate(is_lost).answered, 0.95 * slots_s / SERVICE_S)


class TestFaultyUpstream(unittest.TestCase):
    """An upstream that loses calls whatever their number."""

    def test_losses_at_any_concurrency_lower_no_limit(self) -> None:
        result = simulate(lambda _, __, rng: rng.random() < 0.2)
        self.assertGreater(result.mean_limit, 0.8 * SLOTS)

    def test_single_losses_lower_no_limit(self) -> None:
        result = simulate(lambda _, __, rng: rng.random() < 0.002)
        self.assertGreater(result.mean_limit, 0.98 * SLOTS)

    def test_idle_upstream_that_loses_calls_keeps_its_slots(self) -> None:
        limit = ConcurrencyLimit(SLOTS)
        for number in range(50):
            limit.record(1, True, float(number), number + 0.1)
        self.assertEqual(limit.value, SLOTS)
