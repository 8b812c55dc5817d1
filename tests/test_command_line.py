"""The command line, as its users type it."""

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
    """Verbs, output formats and exit codes against a running node."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet([InstancePlan("one", "a", "")]).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        done = cls.gypsumlock("default", "load", "examples/bowline/defaults.yaml")
        assert done.returncode == 0, done.stderr
        cls.fleet.wait_version(1)

    @classmethod
    def gypsumlock(cls, *arguments: str) -> subprocess.CompletedProcess[str]:
        return run(
            "--node",
            f"http://{cls.fleet['one'].operator_address}",
            "--token-file",
            str(cls.fleet.directory / "operator.token"),
            *arguments,
        )

    def json_of(self, *arguments: str) -> dict[str, object]:
        done = self.gypsumlock("--output", "json", *arguments)
        decoded: dict[str, object] = json.loads(done.stdout)
        self.assertEqual(decoded["code"], done.returncode)
        return decoded

    def test_exceptions_from_add_to_remove(self) -> None:
        added = self.gypsumlock(
            "exception", "add", "late", "--route", "book", "--set-timeout", "9",
            "--reason", "a slow night", "--review-on", "2026-01-01",
        )  # fmt: skip
        self.assertEqual(added.returncode, 0, added.stderr)
        version = int(added.stdout.split()[-1])
        self.fleet.wait_version(version)
        listed = self.gypsumlock("exception", "list")
        self.assertIn("a slow night", listed.stdout)
        self.assertIn("overdue_exceptions:\n- late", self.gypsumlock("status").stdout)
        edited = self.gypsumlock(
            "exception", "edit", "late", "--route", "book", "--set-timeout", "8",
            "--reason", "slower still",
        )  # fmt: skip
        self.assertEqual(edited.returncode, 0, edited.stderr)
        self.fleet.wait_version(version + 1)
        diff = self.gypsumlock("diff", str(version), str(version + 1))
        self.assertIn("late.overrides.timeout_s: 9.0 -> 8.0", diff.stdout)
        removed = self.gypsumlock("exception", "remove", "late")
        self.assertEqual(removed.returncode, 0, removed.stderr)
        self.fleet.wait_version(version + 2)
        history = self.gypsumlock("history", "--limit", "1")
        self.assertIn("exception late removed", history.stdout)
        restored = self.gypsumlock("restore", "1", "--reason", "start again")
        self.assertEqual(restored.returncode, ResultCode.CONFIG_NO_CHANGE)

    def test_repeated_operation_id_is_accepted_once(self) -> None:
        arguments = (
            "exception", "add", "once", "--set-rank", "search", "--reason", "why",
            "--operation-id", "operation-1",
        )  # fmt: skip
        first, second = self.gypsumlock(*arguments), self.gypsumlock(*arguments)
        self.assertEqual(first.stdout, second.stdout)
        self.assertEqual(second.returncode, 0)
        self.fleet.wait_version(int(first.stdout.split()[-1]))
        self.assertEqual(self.gypsumlock("exception", "remove", "once").returncode, 0)

    def test_failures_exit_with_their_code(self) -> None:
        cases = (
            (("default", "set", "no.such", "1"), ResultCode.CONFIG_UNKNOWN_PATH),
            (("exception", "remove", "nobody"), ResultCode.CONFIG_UNKNOWN_EXCEPTION),
            (("default", "load", "/nowhere"), ResultCode.CONFIG_BAD_DOCUMENT),
            (("--timeout", "0.5", "wait", "99"), ResultCode.NOT_CONVERGED),
            (("settings", "check", "/nowhere"), ResultCode.SETTINGS_UNREADABLE),
            (("--token-file", "/nowhere", "status"), ResultCode.OPERATOR_TOKEN_MISSING),
            (
                ("--node", "http://127.0.0.1:1", "status"),
                ResultCode.OPERATOR_UNREACHABLE,
            ),
            (("sing",), ResultCode.USAGE),
        )
        for arguments, code in cases:
            with self.subTest(arguments=arguments):
                done = self.gypsumlock(*arguments)
                self.assertEqual(done.returncode, code, done.stderr)
                self.assertNotIn("Traceback", done.stderr)

    def test_json_output(self) -> None:
        for verb in ("status", "upstreams", "history"):
            self.assertEqual(self.json_of(verb)["code"], 0)
        failed = self.json_of("exception", "remove", "nobody")
        self.assertEqual(failed["code"], ResultCode.CONFIG_UNKNOWN_EXCEPTION)

    def test_every_verb_has_help(self) -> None:
        for verb in ("default set", "exception add", "wait", "restore", "diff"):
            self.assertEqual(run(*verb.split(), "--help").returncode, 0)


class TestSettingsCheck(unittest.TestCase):
    """`settings check` reports every fault with its code."""

    def test_faults_are_listed(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "node.yaml"
            path.write_text("zone: 7\nshape: round\n")
            done = run("settings", "check", str(path))
        self.assertIn("[12] shape", done.stderr)
        self.assertIn("[13] zone", done.stderr)
        self.assertIn("[14] listen", done.stderr)
        self.assertEqual(done.returncode, ResultCode.SETTINGS_MISSING_KEY)
