"""Prints the outcome of a command, as text or as JSON."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import msgspec
import yaml

from gypsumlock import messages
from gypsumlock.cli.commands import Outcome, SettingsReport
from gypsumlock.cli.explain import CallStep
from gypsumlock.distribution import HistoryEntry
from gypsumlock.model.diff import Difference
from gypsumlock.operator.messages import (
    ConvergenceReport,
    DefaultsReport,
    ExceptionsReport,
    StatusReport,
    UpstreamEntry,
    VersionReport,
)

__all__ = ["print_outcome"]


def print_outcome(outcome: Outcome, output_format: str) -> None:
    """Print the value to standard output and the faults to standard error.

    Parameters
    ----------
    outcome : Outcome
        Result of the command.
    output_format : str
        `text` or `json`. In JSON the faults go to standard output as well.
    """
    if output_format == "json":
        print(_as_json(outcome))
        return
    if outcome.value is not None:
        for line in _text_lines(outcome.value):
            print(line)
    for fault in outcome.faults:
        print(f"gypsumlock: {fault.text()}", file=sys.stderr)


def _as_json(outcome: Outcome) -> str:
    faults = [
        {"code": f.code.value, "name": f.code.name, "detail": f.detail, "path": f.path}
        for f in outcome.faults
    ]
    document = {"code": outcome.code.value, "value": outcome.value, "faults": faults}
    return msgspec.json.encode(document).decode()


@singledispatch
def _text_lines(value: Any) -> Iterator[str]:
    yield _as_yaml(value)


@_text_lines.register
def _(value: CallStep) -> Iterator[str]:
    field_text = " ".join(f"{name}={field}" for name, field in value.fields.items())
    yield f"{value.time} {value.node} {value.part}: {value.message} {field_text}"


@_text_lines.register
def _(value: list) -> Iterator[str]:  # type: ignore[type-arg]
    for item in value:
        yield from _text_lines(item)


@_text_lines.register
def _(value: VersionReport) -> Iterator[str]:
    yield messages.accepted(value.version)


@_text_lines.register
def _(value: DefaultsReport) -> Iterator[str]:
    yield f"# version {value.version}, defaults last changed in {value.revision}"
    yield _as_yaml(value.defaults)


@_text_lines.register
def _(value: ExceptionsReport) -> Iterator[str]:
    for item in value.exceptions:
        yield _as_yaml(item)
    if not value.exceptions:
        yield "no exceptions"


@_text_lines.register
def _(value: HistoryEntry) -> Iterator[str]:
    origin = value.origin
    reason = f" (reason: {origin.reason})" if origin.reason else ""
    yield (
        f"{value.version}  {origin.accepted_at}  {origin.author}: "
        f"{origin.summary}{reason}"
    )


@_text_lines.register
def _(value: Difference) -> Iterator[str]:
    yield f"{value.path}: {value.before} -> {value.after}"


@_text_lines.register
def _(value: UpstreamEntry) -> Iterator[str]:
    state = "suspect" if value.suspect else "serving"
    yield (
        f"{value.service}  {value.call_address}  {value.zone}  "
        f"{value.slots} slots  {state}"
    )


@_text_lines.register
def _(value: ConvergenceReport) -> Iterator[str]:
    if value.converged:
        yield messages.converged(value.version, value.nodes)
    for node in value.lagging:
        yield messages.lagging_node(
            node.address,
            node.reachable,
            node.in_force_version,
            node.held_version,
            node.code,
        )
    if value.dead:
        yield messages.dead_nodes(value.dead)


@_text_lines.register
def _(value: SettingsReport) -> Iterator[str]:
    yield messages.settings_valid(value.file)


@_text_lines.register
def _(value: StatusReport) -> Iterator[str]:
    yield _as_yaml(value)


def _as_yaml(value: Any) -> str:
    builtins = msgspec.to_builtins(value)
    return yaml.safe_dump(builtins, sort_keys=False, allow_unicode=True).rstrip()
