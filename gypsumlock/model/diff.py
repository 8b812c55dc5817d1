"""Differences between two snapshots, value by value."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from gypsumlock.model.snapshot import Snapshot

__all__ = ["Difference", "diff_snapshots"]


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs; `before` or `after` is None where the value is absent."""

    path: str
    before: Any
    after: Any


def diff_snapshots(before: Snapshot, after: Snapshot) -> list[Difference]:
    """Return all differing values of defaults and exceptions, sorted by path."""
    before_values = dict(_flatten("defaults", msgspec.to_builtins(before.defaults)))
    before_values.update(_flatten("exceptions", msgspec.to_builtins(before.exceptions)))
    after_values = dict(_flatten("defaults", msgspec.to_builtins(after.defaults)))
    after_values.update(_flatten("exceptions", msgspec.to_builtins(after.exceptions)))
    return [
        Difference(path, before_values.get(path), after_values.get(path))
        for path in sorted(before_values.keys() | after_values.keys())
        if before_values.get(path) != after_values.get(path)
    ]


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each non-empty leaf."""
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _flatten(f"{path}.{key}", child)
    elif isinstance(value, list | tuple) and any(isinstance(x, dict) for x in value):
        for child in value:
            yield from _flatten(f"{path}.{child['name']}", child)
    elif value not in (None, "", [], ()):
        # An empty value carries no information and is treated as absent.
        yield path, value
