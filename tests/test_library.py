"""Tests that the examples in docs/LIBRARY.md run without changes."""

from __future__ import annotations

import re
import subprocess
import sys
import unittest
from pathlib import Path

PAGE = Path(__file__).parents[1] / "docs" / "LIBRARY.md"
EXAMPLE_COUNT = 6
TIMEOUT_S = 30


class TestLibraryPage(unittest.TestCase):
    """Every Python example of the page."""

    def test_every_example_runs(self) -> None:
        examples = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
        self.assertEqual(len(examples), EXAMPLE_COUNT)
        for example in examples:
            with self.subTest(example=example.splitlines()[0]):
                completed = subprocess.run(
                    [sys.executable, "-c", example],
                    capture_output=True,
                    text=True,
                    check=False,
                    timeout=TIMEOUT_S,
                )
                self.assertEqual(completed.returncode, 0, completed.stderr)
