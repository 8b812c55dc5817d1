"""The command-line tool."""

from gypsumlock.cli.main import run

__all__ = ["run"]
