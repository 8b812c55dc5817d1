"""The registry of result codes and its page in the docs."""

from __future__ import annotations

import unittest
from pathlib import Path

from gypsumlock.result_codes import CODE_TABLE, ResultCode
from misc.render_result_codes import render

PAGE = Path(__file__).parents[1] / "docs" / "RESULT_CODES.md"


class TestResultCodes(unittest.TestCase):
    """Every code is described once, and fits an exit status."""

    def test_every_code_has_one_entry(self) -> None:
        self.assertEqual([entry.code for entry in CODE_TABLE], list(ResultCode))

    def test_codes_fit_an_exit_status(self) -> None:
        self.assertTrue(all(0 <= code <= 255 for code in ResultCode))

    def test_page_is_the_rendered_registry(self) -> None:
        self.assertEqual(PAGE.read_text(), render())
