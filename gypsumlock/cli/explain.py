"""Tells the way of one call from the log lines of all nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

__all__ = ["CallStep", "find_steps", "read_lines"]

# Standard input among the files.
STDIN = "-"


@dataclass(frozen=True, slots=True)
class CallStep:
    """One log line that concerns a call."""

    time: str
    node: str
    part: str
    message: str
    # Inputs of the decision and its outcome, as the node logged them.
    fields: dict[str, object]


class _Line(msgspec.Struct, frozen=True):
    time: str
    part: str
    message: str
    node: str = ""
    fields: dict[str, object] = {}


_DECODER = msgspec.json.Decoder(_Line)


def read_lines(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files; raises OSError for one that can't be read."""
    for name in files:
        if name == STDIN:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from file


def find_steps(lines: Iterable[str], call: str) -> list[CallStep]:
    """Return the steps of a call over all nodes, in the order of their time.

    Parameters
    ----------
    lines : Iterable[str]
        Log lines of any nodes in any order. What stands before the first brace is
        passed over, as are lines that aren't of a node.
    call : str
        Identifier of the call.
    """
    steps: list[CallStep] = []
    for line in lines:
        if call not in line:
            continue
        try:
            found = _DECODER.decode(line[line.index("{") :])
        except (ValueError, msgspec.DecodeError, msgspec.ValidationError):
            continue
        if found.fields.get("call") != call:
            continue
        fields = {name: x for name, x in found.fields.items() if name != "call"}
        steps.append(
            CallStep(found.time, found.node, found.part, found.message, fields)
        )
    return sorted(steps, key=lambda step: step.time)
