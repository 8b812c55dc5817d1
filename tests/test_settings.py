"""Validation of settings files: all faults are reported, each with path and code."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from result import Err, Ok

from gypsumlock.options import Options
from gypsumlock.result_codes import ResultCode
from gypsumlock.settings import load_options, load_secrets, parse_options

EXAMPLES = Path(__file__).parents[1] / "examples"

VALID_SETTINGS = """
zone: glasgow
region: scotland
instance: search-1
listen: {calls: "127.0.0.1:1", peers: "127.0.0.1:2",
         local: "127.0.0.1:3", operator: "127.0.0.1:4"}
platform: {url: memory}
fleet_key_file: fleet.key
operator_token_file: operator.token
"""

# Text in the valid settings, its replacement, and the expected code and path.
INVALID_CASES = (
    ("zone: glasgow", "zone: ''", ResultCode.SETTINGS_BAD_VALUE, "zone"),
    ("zone: glasgow", "zone: 7", ResultCode.SETTINGS_BAD_VALUE, "zone"),
    ("zone: glasgow", "", ResultCode.SETTINGS_MISSING_KEY, "zone"),
    ("zone: glasgow", "zone: a\ncolour: b", ResultCode.SETTINGS_UNKNOWN_KEY, "colour"),
    ("url: memory", "url: ftp", ResultCode.SETTINGS_BAD_VALUE, "platform.url"),
    ("url: memory", "uri: memory", ResultCode.SETTINGS_UNKNOWN_KEY, "platform.uri"),
    ("127.0.0.1:3", "localhost", ResultCode.SETTINGS_BAD_VALUE, "listen.local"),
    ("zone: glasgow", "zone: [", ResultCode.SETTINGS_NOT_YAML, ""),
    (
        "url: memory",
        "url: memory, timeout_s: -1",
        ResultCode.SETTINGS_BAD_VALUE,
        "platform.timeout_s",
    ),
)


class TestSettings(unittest.TestCase):
    """Parsing and validation of settings files and secrets."""

    def test_valid_settings_are_parsed(self) -> None:
        parsed = parse_options(VALID_SETTINGS)
        assert isinstance(parsed, Ok)
        self.assertIsInstance(parsed.ok_value, Options)
        self.assertEqual(parsed.ok_value.zone, "glasgow")

    def test_each_fault_is_reported_with_its_path(self) -> None:
        for old, new, code, path in INVALID_CASES:
            with self.subTest(new=new):
                parsed = parse_options(VALID_SETTINGS.replace(old, new))
                assert isinstance(parsed, Err)
                reported = [(fault.code, fault.path) for fault in parsed.err_value]
                self.assertIn((code, path), reported)
                self.assertTrue(all(fault.detail for fault in parsed.err_value))

    def test_all_faults_are_reported_together(self) -> None:
        text = VALID_SETTINGS.replace("zone: glasgow", "zone: ''").replace(
            "memory", "ftp"
        )
        parsed = parse_options(text)
        assert isinstance(parsed, Err)
        self.assertEqual({f.path for f in parsed.err_value}, {"zone", "platform.url"})

    def test_missing_file_is_reported(self) -> None:
        loaded = load_options(Path("/nonexistent/settings.yaml"))
        assert isinstance(loaded, Err)
        self.assertIs(loaded.err_value[0].code, ResultCode.SETTINGS_UNREADABLE)

    def test_short_and_missing_secrets_are_both_reported(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            short = Path(directory) / "short"
            short.write_text("abc")
            options = replace(
                parse_options(VALID_SETTINGS).unwrap(),
                fleet_key_file=str(short),
                operator_token_file=str(Path(directory) / "missing"),
            )
            loaded = load_secrets(options)
        assert isinstance(loaded, Err)
        self.assertEqual(
            [fault.path for fault in loaded.err_value],
            ["fleet_key_file", "operator_token_file"],
        )

    def test_example_settings_are_valid(self) -> None:
        files = sorted(EXAMPLES.glob("*/node.yaml"))
        self.assertEqual(len(files), 2)
        for file in files:
            self.assertIsInstance(load_options(file), Ok, file)
