"""Shows that each proof fails without its mechanism.

Usage: `python -m misc.check_proofs [WORD …]`. For each entry of
`misc.mutations` (or those whose mechanism contains a word) the tree is copied,
the mechanism taken away, and the test run. Prints a line for each, and exits
with 1 if a test still passed.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from misc.mutations import MUTATIONS, Mutation

__all__ = ["fails_without"]

ROOT = Path(__file__).parents[1]
TIMEOUT_S = 240
COPIED = ("gypsumlock", "tests", "misc", "examples", "nose2.cfg", "docs")


def main() -> int:
    """Check every proof; return the exit code."""
    words = sys.argv[1:]
    chosen = [m for m in MUTATIONS if not words or any(w in m.mechanism for w in words)]
    idle = 0
    for mutation in chosen:
        failed = fails_without(mutation)
        idle += not failed
        verdict = "fails without it" if failed else "STILL PASSES without it"
        print(f"{mutation.mechanism}: {mutation.test} {verdict}", flush=True)
    print(f"{len(chosen) - idle} passed, {idle} failed")
    return 1 if idle else 0


def fails_without(mutation: Mutation) -> bool:
    """Take a mechanism away in a scratch copy; tell whether its test fails."""
    with tempfile.TemporaryDirectory(prefix="gypsumlock-proof-") as scratch:
        copy = Path(scratch)
        for name in COPIED:
            _copy(ROOT / name, copy / name)
        file = copy / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(f"{mutation.mechanism}: text not found exactly once")
        file.write_text(text.replace(mutation.old, mutation.new))
        done = subprocess.run(
            [sys.executable, "-m", "misc.run_tests", mutation.test],
            cwd=copy,
            capture_output=True,
            check=False,
            timeout=TIMEOUT_S,
        )
        # A test that did not run proves nothing.
        return done.returncode != 0 and b" 0 failed" not in done.stdout


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        shutil.copy(source, target)


if __name__ == "__main__":
    sys.exit(main())
