"""Runs all tests, or the named ones, and reports unexpected failures.

Usage: `python -m misc.run_tests [TEST …]`. Tests listed in KNOWN-RED.txt may fail. They
are still run and reported; one that did not fail is reported as such, so that its entry
can be removed. Any other failure makes the run fail.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

import nose2

from misc.outcome_plugin import OutcomePlugin

__all__ = ["KnownFailure", "parse_known_failures"]

KNOWN_FAILURES_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
FIELD_COUNT = 4


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A known failure, as listed in KNOWN-RED.txt."""

    test_id: str
    # Command and seed that reproduce the failure.
    command: str
    # What was observed.
    observed: str
    issue: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse the list of known failures; a malformed entry raises `ValueError`."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(
                f"KNOWN-RED.txt: expected {FIELD_COUNT} non-empty fields: {line}"
            )
        entries.append(KnownFailure(*fields))
    return entries


def main() -> int:
    """Run the tests and print the results; return the exit code."""
    known_failures = {
        entry.test_id: entry for entry in parse_known_failures(_read_known_failures())
    }
    outcomes = OutcomePlugin.outcomes
    arguments = ["nose2", "--verbose", *sys.argv[1:]]
    nose2.main(module=None, argv=arguments, exit=False)
    failed = sorted(test_id for test_id, passed in outcomes.items() if not passed)
    unexpected_failures = [
        test_id for test_id in failed if test_id not in known_failures
    ]
    for test_id, entry in known_failures.items():
        state = _describe_outcome(outcomes.get(test_id))
        print(f"known failure, {state}: {test_id} ({entry.issue}): {entry.observed}")
    for test_id in unexpected_failures:
        print(f"failed: {test_id}")
    print(f"{len(outcomes) - len(failed)} passed, {len(unexpected_failures)} failed")
    return 1 if unexpected_failures or not outcomes else 0


def _describe_outcome(passed: bool | None) -> str:
    if passed is None:
        return "not run"
    return "did not fail" if passed else "failed"


def _read_known_failures() -> str:
    return KNOWN_FAILURES_FILE.read_text() if KNOWN_FAILURES_FILE.exists() else ""


if __name__ == "__main__":
    sys.exit(main())
