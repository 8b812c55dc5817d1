"""How long a client has waited before the attempt at hand."""

from __future__ import annotations

import unittest

from gypsumlock.mesh.request_age import RequestAgeEstimator


class TestClientAges(unittest.TestCase):
    """The longest deadline of a route is that of first attempts."""

    def setUp(self) -> None:
        self.ages = RequestAgeEstimator()
        self.ages.age_s("search", 1.5, 0.0)

    def test_first_attempts_are_new(self) -> None:
        self.assertEqual(self.ages.age_s("search", 1.5, 1.0), 0.0)
        self.assertEqual(self.ages.age_s("search", 1.49, 1.0), 0.0)

    def test_second_attempt_lacks_what_has_passed(self) -> None:
        self.assertAlmostEqual(self.ages.age_s("search", 0.9, 1.0), 0.6)

    def test_routes_are_kept_apart(self) -> None:
        self.assertEqual(self.ages.age_s("browse", 0.9, 1.0), 0.0)

    def test_longest_deadline_is_forgotten(self) -> None:
        self.assertEqual(self.ages.age_s("search", 0.9, 30.0), 0.0)
