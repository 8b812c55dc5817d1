"""Runs one command and returns its exit code."""

from __future__ import annotations

from gypsumlock.cli.parser import make_parser
from gypsumlock.cli.render import print_outcome

__all__ = ["run"]


def run(arguments: list[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : list[str] | None
        Arguments without the program name; None means those of the process.

    Returns
    -------
    int
        Result code; 0 on success.
    """
    parsed = make_parser().parse_args(arguments)
    outcome = parsed.run(parsed)
    print_outcome(outcome, parsed.output)
    return int(outcome.code)
