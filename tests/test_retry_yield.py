"""Retries of two services, of which one fails because of the other."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from gypsumlock.mesh.retry_budget import RetryBudgets
from gypsumlock.mesh.retry_yield import RetryYield

RATIO = 0.2
ALLOWANCE = 2.0
DURATION_S = 30.0
CALLS_PER_S = 50.0


def saved_calls(
    archive_failures: float, desk_success: float, shared: bool = True
) -> tuple[int, int]:
    """Return the successful retries of `archive` and `desk` on one node.

    Parameters
    ----------
    archive_failures : float
        Share of the calls to `archive` that fail; nine of ten retries succeed.
    desk_success : float
        Share of the retries of `desk` that succeed; a third of its calls fail.
    shared : bool
        Whether `desk` is called at all.
    """
    rng = random.Random(7)
    budgets = RetryBudgets(10.0)
    saved = {"archive": 0, "desk": 0}

    def call(service: str, failures: float, success: float, now_s: float) -> None:
        budgets.record_first_attempt(service, service, now_s)
        if rng.random() >= failures:
            return
        if budgets.try_spend(service, service, now_s, RATIO, ALLOWANCE):
            succeeded = rng.random() < success
            budgets.yields.record_result(service, succeeded)
            saved[service] += succeeded

    for step in range(int(DURATION_S * CALLS_PER_S)):
        now_s = step / CALLS_PER_S
        call("archive", archive_failures, 0.9, now_s)
        if shared:
            call("desk", 1 / 3, desk_success, now_s)
    return saved["archive"], saved["desk"]


class TestRetryYield(unittest.TestCase):
    """Which retries are sent while there are too few."""

    def test_retries_that_fail_again_give_way(self) -> None:
        alone, _ = saved_calls(0.4, 0.2, shared=False)
        archive, _ = saved_calls(0.4, 0.2)
        self.assertGreater(archive, 0.8 * alone)

    def test_other_retries_are_sent_as_before(self) -> None:
        # Retries that succeed, and retries of which there are enough.
        for archive_failures, desk_success in ((0.4, 0.8), (0.02, 0.2)):
            with self.subTest(archive_failures=archive_failures):
                _, desk = saved_calls(archive_failures, desk_success)
                with mock.patch.object(RetryYield, "gives_way", return_value=False):
                    _, before = saved_calls(archive_failures, desk_success)
                self.assertGreater(desk, 0.8 * before)

    def test_shortage_ends(self) -> None:
        yields = RetryYield()
        for _ in range(20):
            yields.record_result("desk", False)
            yields.record_result("archive", True)
        yields.record_denied("archive", 1.0)
        self.assertTrue(yields.gives_way("desk", 1.5))
        self.assertFalse(yields.gives_way("archive", 1.5))
        self.assertFalse(yields.gives_way("desk", 2.5))
