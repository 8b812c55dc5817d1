"""Renders docs/RESULT_CODES.md from the registry of result codes."""

from __future__ import annotations

from pathlib import Path

from gypsumlock.result_codes import CODE_TABLE

__all__ = ["render"]

PAGE_FILE = Path(__file__).parents[1] / "docs" / "RESULT_CODES.md"

PAGE_HEADER = """# Result codes

Every error names one of these codes: as the exit status of a command, in the
JSON of an HTTP answer, in the header `gypsumlock-code` of a refused call, and in
log lines. This page is rendered from `gypsumlock/result_codes.py` by
`python -m misc.render_result_codes`; a test compares them.

| code | name | HTTP status | meaning | what to do |
|---|---|---|---|---|
"""


def render() -> str:
    """Return the Markdown text of the page."""
    rows = (
        f"| {entry.code.value} | {entry.code.name} | {entry.http_status or '-'} "
        f"| {entry.meaning} | {entry.action} |\n"
        for entry in CODE_TABLE
    )
    return PAGE_HEADER + "".join(rows)


if __name__ == "__main__":
    PAGE_FILE.write_text(render())
