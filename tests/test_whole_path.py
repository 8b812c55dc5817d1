"""End-to-end tests with separate processes: calls, changes and their convergence."""

from __future__ import annotations

import hashlib
import unittest

from gypsumlock.model import Overrides, Selector
from tests.standins.fleet import BOWLINE_INSTANCES, Fleet, load_example_defaults


class TestWholePath(unittest.TestCase):
    """Calls and configuration changes in a fleet of four instances."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(BOWLINE_INSTANCES[:4]).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        cls.fleet.wait_upstreams()
        version = cls.fleet.load_defaults(
            load_example_defaults("bowline"), cls.fleet.instances[0]
        )
        cls.fleet.wait_version(version)

    def test_call_through_every_node_gets_a_complete_response(self) -> None:
        for instance in self.fleet.instances:
            response = instance.request("/book/a", method="POST", content=b"x" * 1000)
            headers = dict(response.headers)
            self.assertEqual(response.status, 200)
            self.assertEqual(
                headers[b"x-test-digest"].decode(),
                hashlib.sha256(response.content).hexdigest(),
            )
            self.assertEqual(
                headers[b"x-test-request-digest"].decode(),
                hashlib.sha256(b"x" * 1000).hexdigest(),
            )

    def test_default_is_in_force_on_all_nodes(self) -> None:
        first, *_, last = self.fleet.instances
        version = self.fleet.set_default("routes.book.timeout_s", 2.5, first)
        self.fleet.wait_version(version)
        report = self.fleet.convergence_report(version, last)
        self.assertTrue(report.converged)
        self.assertEqual(report.nodes, 4)

    def test_exception_is_in_force_on_all_nodes(self) -> None:
        first = self.fleet.instances[0]
        version = self.fleet.add_exception(
            "no-bookings-in-stirling",
            first,
            Selector(route="book", zone="stirling"),
            Overrides(accept_calls=False),
        )
        self.fleet.wait_version(version)
        in_zone = self.fleet["bookings-1"].request("/book/a", method="POST")
        out_of_zone = self.fleet["bookings-2"].request("/book/a", method="POST")
        self.assertEqual(in_zone.status, 503)
        self.assertEqual(dict(in_zone.headers)[b"gypsumlock-outcome"], b"not-run")
        self.assertEqual(out_of_zone.status, 200)

    def test_call_to_unknown_route_is_rejected_as_not_run(self) -> None:
        response = self.fleet.instances[0].request("/nothing")
        self.assertEqual(response.status, 404)
        self.assertEqual(dict(response.headers)[b"gypsumlock-code"], b"80")
