"""Reconstruction of the path of a call from the log lines of all nodes."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from gypsumlock.cli.explain import find_call_steps
from gypsumlock.result_codes import ResultCode
from tests.test_command_line import run


def log_line(time: str, call: str, message: str, node: str = "n-1") -> str:
    """Return a log line in the format of a node."""
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
    log_line("2026-01-01T00:00:02", "c-1", "call not answered"),
    "not a log line that names c-1",
    '{"time": "cut short c-1',
    log_line("2026-01-01T00:00:01", "c-1", "call refused by the owner", "n-2"),
    log_line("2026-01-01T00:00:01", "c-12", "call answered"),
    "   3.2 n-3 " + log_line("2026-01-01T00:00:03", "c-1", "with a prefix", "n-3"),
]


class TestExplain(unittest.TestCase):
    """Lines of several nodes, out of order, some of them malformed."""

    def test_steps_are_ordered_by_time(self) -> None:
        steps = find_call_steps(LINES, "c-1")
        self.assertEqual([step.node for step in steps], ["n-2", "n-1", "n-3"])

    def test_fields_of_the_log_line_are_kept(self) -> None:
        self.assertEqual(find_call_steps(LINES, "c-12")[0].fields, {"code": 83})

    def test_command_prints_one_line_per_step(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "node.log")
            path.write_text("\n".join(LINES))
            completed = run("explain", "c-1", str(path))
        self.assertEqual(completed.returncode, 0)
        self.assertEqual(len(completed.stdout.splitlines()), 3)
        self.assertIn("n-2 route: call refused by the owner code=83", completed.stdout)

    def test_unknown_call_exits_with_its_result_code(self) -> None:
        completed = run("explain", "c-9", __file__)
        self.assertEqual(completed.returncode, ResultCode.CALL_NOT_IN_LOGS.value)

    def test_unreadable_file_exits_with_its_result_code(self) -> None:
        completed = run("explain", "c-9", "no-such-file.log")
        self.assertEqual(completed.returncode, ResultCode.LOGS_UNREADABLE.value)
