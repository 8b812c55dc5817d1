"""The registry of result codes and the documentation page rendered from it."""

from __future__ import annotations

import unittest
from pathlib import Path

from gypsumlock.result_codes import CODE_TABLE, ResultCode
from misc.render_result_codes import render

PAGE = Path(__file__).parents[1] / "docs" / "RESULT_CODES.md"


class TestResultCodes(unittest.TestCase):
    """Every code has one entry, and is a valid exit status."""

    def test_every_code_has_one_entry(self) -> None:
        self.assertEqual([entry.code for entry in CODE_TABLE], list(ResultCode))

    def test_codes_are_valid_exit_statuses(self) -> None:
        self.assertTrue(all(0 <= code <= 255 for code in ResultCode))

    def test_page_matches_the_registry(self) -> None:
        self.assertEqual(PAGE.read_text(), render())
