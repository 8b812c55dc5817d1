"""Runs measurements and prints one JSON line for each figure.

Usage: `python misc/measure.py NAME …`, `--list`, `--all`, or `--render`. The figures
of the last run of each measurement are kept under docs/figures; with `--all` or
`--render` docs/MEASUREMENTS.md is rendered from them.
"""

from __future__ import annotations

import argparse
import platform
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from misc.measures import Figure  # noqa: E402
from misc.measures.calls import (  # noqa: E402
    measure_call_overhead,
    measure_node_throughput,
    measure_retry_amplification,
)
from misc.measures.config import (  # noqa: E402
    measure_control_cost,
    measure_convergence,
    measure_convergence_64,
    measure_convergence_faults,
    measure_source_load,
)
from misc.measures.floods import (  # noqa: E402
    measure_flood_low,
    measure_flood_urgent,
    measure_policies_low,
    measure_policies_urgent,
)
from misc.measures.parts import measure_parts  # noqa: E402

__all__ = ["MEASURES"]

PAGE = ROOT / "docs" / "MEASUREMENTS.md"
FIGURES = ROOT / "docs" / "figures"

MEASURES: dict[str, Callable[[], Iterator[Figure]]] = {
    "parts": measure_parts,
    "convergence": measure_convergence,
    "convergence_64": measure_convergence_64,
    "convergence_faults": measure_convergence_faults,
    "source_load": measure_source_load,
    "control_cost": measure_control_cost,
    "call_overhead": measure_call_overhead,
    "node_throughput": measure_node_throughput,
    "retry_amplification": measure_retry_amplification,
    "flood_low": measure_flood_low,
    "flood_urgent": measure_flood_urgent,
    "policies_low": measure_policies_low,
    "policies_urgent": measure_policies_urgent,
}


@dataclass(frozen=True, slots=True)
class Run:
    """The figures of one run of a measurement."""

    name: str
    # ISO date of the run.
    date: str
    figures: list[Figure]


def main() -> int:
    """Run the wanted measurements; return the exit code."""
    parser = argparse.ArgumentParser(description="Run measurements.")
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--list", action="store_true", help="name all measurements")
    parser.add_argument("--all", action="store_true", help="run all, render the page")
    parser.add_argument("--render", action="store_true", help="render the page")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(MEASURES))
        return 0
    unknown = set(arguments.names) - set(MEASURES)
    if unknown:
        print(f"unknown: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    names = list(MEASURES) if arguments.all else arguments.names
    for name in names:
        keep(name, run(name))
    if arguments.all or arguments.render:
        PAGE.write_text(render([kept(name) for name in MEASURES]))
    return 0


def run(name: str) -> list[Figure]:
    """Run one measurement and print its figures."""
    figures = []
    started_s = time.monotonic()
    for figure in MEASURES[name]():
        print(msgspec.json.encode(figure).decode(), flush=True)
        figures.append(figure)
    elapsed_s = time.monotonic() - started_s
    print(f"{name} took {elapsed_s:.0f} s", file=sys.stderr)
    return figures


def keep(name: str, figures: list[Figure]) -> None:
    """Write the figures of a run to its file."""
    FIGURES.mkdir(exist_ok=True)
    today = datetime.now(UTC).date().isoformat()
    encoded = msgspec.json.encode(Run(name, today, figures))
    (FIGURES / f"{name}.json").write_bytes(msgspec.json.format(encoded))


def kept(name: str) -> Run:
    """Return the last run of a measurement."""
    return msgspec.json.decode((FIGURES / f"{name}.json").read_bytes(), type=Run)


def render(runs: list[Run]) -> str:
    """Return the page of all figures."""
    lines = [
        "# Measurements",
        "",
        f"Rendered by `make measure`, Python {platform.python_version()}, on a shared "
        "8-core machine, loopback only. The machine's own noise shows in the figures "
        "of direct calls. Targets come from the brief, letter 1 and the issues; `-` "
        "where they give none. One measurement: `python misc/measure.py NAME`.",
    ]
    for run_ in runs:
        first_line = (MEASURES[run_.name].__doc__ or "").strip().splitlines()[0]
        lines += ["", f"## {run_.name}", "", f"{first_line} Run on {run_.date}.", ""]
        lines += ["| figure | value | unit | target | met |", "|---|---|---|---|---|"]
        lines += [_row(figure) for figure in run_.figures]
    return "\n".join(lines) + "\n"


def _row(figure: Figure) -> str:
    target = "-" if figure.target is None else f"{figure.target:g}"
    return (
        f"| {figure.measure} | {figure.value:g} | {figure.unit} | {target} "
        f"| {_met(figure)} |"
    )


def _met(figure: Figure) -> str:
    if figure.target is None:
        return "-"
    if figure.better == "lower":
        return "yes" if figure.value <= figure.target else "no"
    return "yes" if figure.value >= figure.target else "no"


if __name__ == "__main__":
    sys.exit(main())
