"""What differs between two snapshots, value by value."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from gypsumlock.model.snapshot import Snapshot

__all__ = ["Difference", "diff_snapshots"]


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs; None where it is absent."""

    path: str
    before: Any
    after: Any


def diff_snapshots(before: Snapshot, after: Snapshot) -> list[Difference]:
    """Return every differing value of defaults and exceptions, by path."""
    left = dict(_flatten("defaults", msgspec.to_builtins(before.defaults)))
    left.update(_flatten("exceptions", msgspec.to_builtins(before.exceptions)))
    right = dict(_flatten("defaults", msgspec.to_builtins(after.defaults)))
    right.update(_flatten("exceptions", msgspec.to_builtins(after.exceptions)))
    return [
        Difference(path, left.get(path), right.get(path))
        for path in sorted(left.keys() | right.keys())
        if left.get(path) != right.get(path)
    ]


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _flatten(f"{path}.{key}", child)
    elif isinstance(value, list | tuple) and any(isinstance(x, dict) for x in value):
        for child in value:
            yield from _flatten(f"{path}.{child['name']}", child)
    elif value not in (None, "", [], ()):
        # An empty value says nothing; it counts as absent.
        yield path, value
