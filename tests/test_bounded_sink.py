"""Logs that are bounded and never wait."""

from __future__ import annotations

import json
import os
import time
import unittest

from gypsumlock.bounded_sink import BoundedSink, LineBudget


class TestLineBudget(unittest.TestCase):
    """Lines of each part in a second."""

    def test_part_has_its_own_budget(self) -> None:
        budget = LineBudget(lines=2, warnings=1)
        taken = [budget.take("route", False, 0.0) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])
        self.assertTrue(budget.take("admit", False, 0.0))

    def test_flood_does_not_hide_warnings(self) -> None:
        budget = LineBudget(lines=1, warnings=1)
        budget.take("route", False, 0.0)
        budget.take("route", False, 0.0)
        self.assertTrue(budget.take("route", True, 0.0))

    def test_next_second_starts_anew(self) -> None:
        budget = LineBudget(lines=1, warnings=1)
        budget.take("route", False, 0.0)
        self.assertTrue(budget.take("route", False, 1.0))


class TestBoundedSink(unittest.TestCase):
    """A pipe that is read, full, or closed at the other end."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.now_s = 0.0
        self.sink = BoundedSink(self.writer, lambda: self.now_s, LineBudget(10, 10))
        self.addCleanup(os.close, self.writer)

    def write(self, count: int) -> None:
        """Write lines of one part."""
        for number in range(count):
            self.sink.write("route", False, {"time": "t", "number": number})

    def read(self) -> list[dict[str, object]]:
        """Return the lines that came through."""
        data = os.read(self.reader, 1_000_000)
        return [json.loads(line) for line in data.splitlines()]

    def test_lines_left_out_are_counted(self) -> None:
        self.addCleanup(os.close, self.reader)
        self.write(25)
        self.now_s = 1.0
        self.write(1)
        lines = self.read()
        self.assertEqual(len(lines), 12)
        self.assertEqual(lines[10]["fields"], {"route": 15})

    def test_reader_that_does_not_read_stops_nothing(self) -> None:
        self.addCleanup(os.close, self.reader)
        began_s = time.monotonic()
        for second in range(400):
            self.now_s = float(second)
            for _ in range(10):
                self.sink.write("route", False, {"time": "t", "text": "x" * 500})
        self.assertLess(time.monotonic() - began_s, 2.0)

    def test_lines_are_whole_after_the_pipe_was_full(self) -> None:
        self.addCleanup(os.close, self.reader)
        for second in range(300):
            self.now_s = float(second)
            self.sink.write("route", False, {"time": "t", "text": "x" * 3000})
        first = os.read(self.reader, 1_000_000)
        for second in range(300, 303):
            self.now_s = float(second)
            self.sink.write("route", False, {"time": "t", "text": "later"})
        lines = (first + os.read(self.reader, 1_000_000)).splitlines()
        decoded = [json.loads(line) for line in lines]
        self.assertTrue(any(line.get("part") == "log" for line in decoded))

    def test_closed_reader_stops_nothing(self) -> None:
        os.close(self.reader)
        self.write(5)
