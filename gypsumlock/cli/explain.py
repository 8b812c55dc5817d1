"""Reconstructs the path of one call from the log lines of all nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

__all__ = ["CallStep", "find_call_steps", "read_lines"]

# File name that stands for standard input.
STDIN = "-"


@dataclass(frozen=True, slots=True)
class CallStep:
    """One log line about a call."""

    time: str
    node: str
    part: str
    message: str
    # Inputs and outcome of the decision, as logged by the node.
    fields: dict[str, object]


class _LogLine(msgspec.Struct, frozen=True):
    time: str
    part: str
    message: str
    node: str = ""
    fields: dict[str, object] = {}


_DECODER = msgspec.json.Decoder(_LogLine)


def read_lines(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files; raise OSError if one can't be read."""
    for name in files:
        if name == STDIN:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from file


def find_call_steps(lines: Iterable[str], call_id: str) -> list[CallStep]:
    """Return the steps of a call on all nodes, ordered by time.

    Parameters
    ----------
    lines : Iterable[str]
        Log lines of any nodes in any order. Text before the first brace is ignored,
        and so are lines that no node wrote.
    call_id : str
        Identifier of the call.
    """
    steps: list[CallStep] = []
    for line in lines:
        if call_id not in line:
            continue
        try:
            entry = _DECODER.decode(line[line.index("{") :])
        except (ValueError, msgspec.DecodeError, msgspec.ValidationError):
            continue
        if entry.fields.get("call") != call_id:
            continue
        fields = {name: value for name, value in entry.fields.items() if name != "call"}
        steps.append(
            CallStep(entry.time, entry.node, entry.part, entry.message, fields)
        )
    return sorted(steps, key=lambda step: step.time)
