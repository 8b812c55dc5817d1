"""Tests of the time for which a client had waited before its current attempt."""

from __future__ import annotations

import unittest

from gypsumlock.mesh.request_age import RequestAgeEstimator


class TestRequestAgeEstimator(unittest.TestCase):
    """The longest timeout of a route is taken as that of first attempts."""

    def setUp(self) -> None:
        self.estimator = RequestAgeEstimator()
        self.estimator.age_s("search", 1.5, 0.0)

    def test_first_attempt_has_age_zero(self) -> None:
        self.assertEqual(self.estimator.age_s("search", 1.5, 1.0), 0.0)
        self.assertEqual(self.estimator.age_s("search", 1.49, 1.0), 0.0)

    def test_age_of_a_retry_is_the_time_missing_from_its_timeout(self) -> None:
        self.assertAlmostEqual(self.estimator.age_s("search", 0.9, 1.0), 0.6)

    def test_routes_are_independent(self) -> None:
        self.assertEqual(self.estimator.age_s("browse", 0.9, 1.0), 0.0)

    def test_longest_timeout_expires(self) -> None:
        self.assertEqual(self.estimator.age_s("search", 0.9, 30.0), 0.0)
