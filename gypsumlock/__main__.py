"""Entry point of the `gypsumlock` command."""

import sys

from gypsumlock.cli import run

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its result code."""
    sys.exit(run())


if __name__ == "__main__":
    main()
