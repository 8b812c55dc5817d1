"""The command line, run as a subprocess."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from gypsumlock.result_codes import ResultCode
from tests.standins.fleet import Fleet, InstancePlan

ROOT = Path(__file__).parents[1]
TIMEOUT_S = 60


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command and capture what it prints."""
    return subprocess.run(
        [sys.executable, "-m", "gypsumlock", *arguments],
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
        timeout=TIMEOUT_S,
    )


class TestCommandLine(unittest.TestCase):
    """Commands, output formats and exit codes against a running node."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet([InstancePlan("one", "a", "")]).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        completed = cls.run_on_node("default", "load", "examples/bowline/defaults.yaml")
        assert completed.returncode == 0, completed.stderr
        cls.fleet.wait_version(1)

    @classmethod
    def run_on_node(cls, *arguments: str) -> subprocess.CompletedProcess[str]:
        return run(
            "--node",
            f"http://{cls.fleet['one'].operator_address}",
            "--token-file",
            str(cls.fleet.directory / "operator.token"),
            *arguments,
        )

    def run_json(self, *arguments: str) -> dict[str, object]:
        completed = self.run_on_node("--output", "json", *arguments)
        decoded: dict[str, object] = json.loads(completed.stdout)
        self.assertEqual(decoded["code"], completed.returncode)
        return decoded

    def test_exception_is_added_edited_and_removed(self) -> None:
        added = self.run_on_node(
            "exception", "add", "late", "--route", "book", "--set-timeout", "9",
            "--reason", "slow upstream", "--review-on", "2026-01-01",
        )  # fmt: skip
        self.assertEqual(added.returncode, 0, added.stderr)
        version = int(added.stdout.split()[-1])
        self.fleet.wait_version(version)
        listed = self.run_on_node("exception", "list")
        self.assertIn("slow upstream", listed.stdout)
        self.assertIn("overdue_exceptions:\n- late", self.run_on_node("status").stdout)
        edited = self.run_on_node(
            "exception", "edit", "late", "--route", "book", "--set-timeout", "8",
            "--reason", "even slower upstream",
        )  # fmt: skip
        self.assertEqual(edited.returncode, 0, edited.stderr)
        self.fleet.wait_version(version + 1)
        diff = self.run_on_node("diff", str(version), str(version + 1))
        self.assertIn("late.overrides.timeout_s: 9.0 -> 8.0", diff.stdout)
        removed = self.run_on_node("exception", "remove", "late")
        self.assertEqual(removed.returncode, 0, removed.stderr)
        self.fleet.wait_version(version + 2)
        history = self.run_on_node("history", "--limit", "1")
        self.assertIn("exception late removed", history.stdout)
        restored = self.run_on_node("restore", "1", "--reason", "undo changes")
        self.assertEqual(restored.returncode, ResultCode.CONFIG_NO_CHANGE)

    def test_repeated_operation_is_accepted_once(self) -> None:
        arguments = (
            "exception", "add", "once", "--set-rank", "search", "--reason", "test",
            "--operation-id", "operation-1",
        )  # fmt: skip
        first, second = self.run_on_node(*arguments), self.run_on_node(*arguments)
        self.assertEqual(first.stdout, second.stdout)
        self.assertEqual(second.returncode, 0)
        self.fleet.wait_version(int(first.stdout.split()[-1]))
        self.assertEqual(self.run_on_node("exception", "remove", "once").returncode, 0)

    def test_failed_commands_exit_with_their_result_code(self) -> None:
        cases = (
            (("default", "set", "no.such", "1"), ResultCode.CONFIG_UNKNOWN_PATH),
            (("exception", "remove", "nobody"), ResultCode.CONFIG_UNKNOWN_EXCEPTION),
            (("default", "load", "/nonexistent"), ResultCode.CONFIG_BAD_DOCUMENT),
            (("--timeout", "0.5", "wait", "99"), ResultCode.NOT_CONVERGED),
            (("settings", "check", "/nonexistent"), ResultCode.SETTINGS_UNREADABLE),
            (
                ("--token-file", "/nonexistent", "status"),
                ResultCode.OPERATOR_TOKEN_MISSING,
            ),
            (
                ("--node", "http://127.0.0.1:1", "status"),
                ResultCode.OPERATOR_UNREACHABLE,
            ),
            (("no-such-verb",), ResultCode.USAGE),
        )
        for arguments, code in cases:
            with self.subTest(arguments=arguments):
                completed = self.run_on_node(*arguments)
                self.assertEqual(completed.returncode, code, completed.stderr)
                self.assertNotIn("Traceback", completed.stderr)

    def test_json_output(self) -> None:
        for command in ("status", "upstreams", "history"):
            self.assertEqual(self.run_json(command)["code"], 0)
        failed = self.run_json("exception", "remove", "nobody")
        self.assertEqual(failed["code"], ResultCode.CONFIG_UNKNOWN_EXCEPTION)

    def test_subcommands_have_help(self) -> None:
        for command in ("default set", "exception add", "wait", "restore", "diff"):
            self.assertEqual(run(*command.split(), "--help").returncode, 0)


class TestSettingsCheck(unittest.TestCase):
    """`settings check` reports all faults with their codes."""

    def test_faults_are_listed(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "node.yaml"
            path.write_text("zone: 7\nshape: round\n")
            completed = run("settings", "check", str(path))
        self.assertIn("[12] shape", completed.stderr)
        self.assertIn("[13] zone", completed.stderr)
        self.assertIn("[14] listen", completed.stderr)
        self.assertEqual(completed.returncode, ResultCode.SETTINGS_MISSING_KEY)
