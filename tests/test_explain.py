"""The way of a call from the log lines of all nodes."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from gypsumlock.cli.explain import find_call_steps
from gypsumlock.result_codes import ResultCode
from tests.test_command_line import run


def line(time: str, call: str, message: str, node: str = "n-1") -> str:
    """Return a log line as a node writes it."""
    return json.dumps(
        {
            "time": time,
            "level": "INFO",
            "part": "route",
            "message": message,
            "fields": {"call": call, "code": 83},
            "node": node,
        }
    )


LINES = [
    line("2026-01-01T00:00:02", "c-1", "call not answered"),
    "not a log line that names c-1",
    '{"time": "cut short c-1',
    line("2026-01-01T00:00:01", "c-1", "call refused by the owner", "n-2"),
    line("2026-01-01T00:00:01", "c-12", "call answered"),
    "   3.2 n-3 " + line("2026-01-01T00:00:03", "c-1", "with a prefix", "n-3"),
]


class TestExplain(unittest.TestCase):
    """Lines in any order, of any node, some of them damaged."""

    def test_steps_are_in_order_of_time(self) -> None:
        steps = find_call_steps(LINES, "c-1")
        self.assertEqual([step.node for step in steps], ["n-2", "n-1", "n-3"])

    def test_inputs_of_the_decision_are_kept(self) -> None:
        self.assertEqual(find_call_steps(LINES, "c-12")[0].fields, {"code": 83})

    def test_command_prints_a_line_a_step(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.log")
            path.write_text("\n".join(LINES))
            done = run("explain", "c-1", str(path))
        self.assertEqual(done.returncode, 0)
        self.assertEqual(len(done.stdout.splitlines()), 3)
        self.assertIn("n-2 route: call refused by the owner code=83", done.stdout)

    def test_unknown_call_has_its_code(self) -> None:
        done = run("explain", "c-9", __file__)
        self.assertEqual(done.returncode, ResultCode.CALL_NOT_IN_LOGS.value)

    def test_unreadable_file_has_its_code(self) -> None:
        done = run("explain", "c-9", "no-such-file.log")
        self.assertEqual(done.returncode, ResultCode.LOGS_UNREADABLE.value)
