"""A source mutation that disables a mechanism, and the test that must detect it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Mutation"]


@dataclass(frozen=True, slots=True)
class Mutation:
    """A replacement of source text that disables one mechanism."""

    # What the source guarantees without the mutation.
    mechanism: str
    file: str
    # Text to replace; it must occur exactly once in the file.
    old: str
    new: str
    # Id of the test that must fail with the mutation.
    test: str
