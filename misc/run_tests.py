"""Runs all tests, or the named ones, and judges the run.

Usage: `python -m misc.run_tests [TEST …]`. Tests that KNOWN-RED.txt lists may
fail; they are run and printed all the same, and one that passes is reported, so
that its entry can go. Every other failure fails the run.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

import nose2

from misc.outcome_plugin import OutcomePlugin

__all__ = ["KnownRed", "read_known_red"]

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
FIELDS = 4


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One listed failure."""

    test_id: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the list of known failures; a malformed entry raises `ValueError`."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"KNOWN-RED entry needs {FIELDS} fields: {line}")
        entries.append(KnownRed(*fields))
    return entries


def main() -> int:
    """Run and judge; return the exit code."""
    known = {entry.test_id: entry for entry in read_known_red(_read())}
    outcomes = OutcomePlugin.outcomes
    arguments = ["nose2", "--verbose", *sys.argv[1:]]
    nose2.main(module=None, argv=arguments, exit=False)
    failed = sorted(test_id for test_id, passed in outcomes.items() if not passed)
    unexpected = [test_id for test_id in failed if test_id not in known]
    for test_id, entry in known.items():
        state = _state(outcomes.get(test_id))
        print(f"known red, {state}: {test_id} ({entry.issue}): {entry.seen}")
    for test_id in unexpected:
        print(f"failed: {test_id}")
    print(f"{len(outcomes) - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not outcomes else 0


def _state(passed: bool | None) -> str:
    if passed is None:
        return "not run"
    return "did not fail" if passed else "failed"


def _read() -> str:
    return KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ""


if __name__ == "__main__":
    sys.exit(main())
