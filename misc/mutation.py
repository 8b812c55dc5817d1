"""One mechanism that can be taken away, and the test that must then fail."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Mutation"]


@dataclass(frozen=True, slots=True)
class Mutation:
    """One mechanism taken away."""

    mechanism: str
    file: str
    old: str
    new: str
    # Test that must fail without the mechanism.
    test: str
