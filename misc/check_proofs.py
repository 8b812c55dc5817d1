"""Checks that tests fail when the mechanism that they cover is disabled.

Usage: `python -m misc.check_proofs [WORD …]`. For each entry of `misc.mutations`, or
only those whose mechanism contains one of the words, the source tree is copied, the
mutation is applied to the copy, and the test is run there. Prints one line for each
entry, and exits with 1 if any of the tests did not fail.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from misc.mutations import MUTATIONS, Mutation

__all__ = ["is_detected"]

ROOT = Path(__file__).parents[1]
TEST_TIMEOUT_S = 240
COPIED_PATHS = ("gypsumlock", "tests", "misc", "examples", "nose2.cfg", "docs")


def main() -> int:
    """Check the selected mutations; return the exit code."""
    words = sys.argv[1:]
    selected = [
        mutation
        for mutation in MUTATIONS
        if not words or any(word in mutation.mechanism for word in words)
    ]
    undetected = 0
    for mutation in selected:
        detected = is_detected(mutation)
        undetected += not detected
        verdict = "fails without it" if detected else "STILL PASSES without it"
        print(f"{mutation.mechanism}: {mutation.test} {verdict}", flush=True)
    print(f"{len(selected) - undetected} passed, {undetected} failed")
    return 1 if undetected else 0


def is_detected(mutation: Mutation) -> bool:
    """Return whether the test fails with the mutation applied to a copy of the tree."""
    with tempfile.TemporaryDirectory(prefix="gypsumlock-proof-") as scratch:
        copy_root = Path(scratch)
        for name in COPIED_PATHS:
            _copy_path(ROOT / name, copy_root / name)
        file = copy_root / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.mechanism}: the text must occur exactly once in "
                f"{mutation.file}"
            )
        file.write_text(text.replace(mutation.old, mutation.new))
        completed = subprocess.run(
            [sys.executable, "-m", "misc.run_tests", mutation.test],
            cwd=copy_root,
            capture_output=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
        # The run also exits with an error if no test ran, which does not show that the
        # test detects the mutation.
        return completed.returncode != 0 and b" 0 failed" not in completed.stdout


def _copy_path(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        shutil.copy(source, target)


if __name__ == "__main__":
    sys.exit(main())
