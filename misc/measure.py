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
from misc.measures.memory import measure_mesh_memory  # noqa: E402
from misc.measures.parts import measure_parts  # noqa: E402

__all__ = ["MEASUREMENTS"]

PAGE_FILE = ROOT / "docs" / "MEASUREMENTS.md"
FIGURES_DIRECTORY = ROOT / "docs" / "figures"

MEASUREMENTS: dict[str, Callable[[], Iterator[Figure]]] = {
    "parts": measure_parts,
    "mesh_memory": measure_mesh_memory,
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
class MeasurementRun:
    """Figures of one run of a measurement, as stored under docs/figures."""

    name: str
    # ISO date of the run.
    date: str
    figures: list[Figure]


def main() -> int:
    """Run the requested measurements; return the exit code."""
    parser = argparse.ArgumentParser(description="Run measurements.")
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--list", action="store_true", help="list all measurements")
    parser.add_argument(
        "--all", action="store_true", help="run all and render the page"
    )
    parser.add_argument("--render", action="store_true", help="render the page")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(MEASUREMENTS))
        return 0
    unknown = set(arguments.names) - set(MEASUREMENTS)
    if unknown:
        print(f"unknown measurements: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    names = list(MEASUREMENTS) if arguments.all else arguments.names
    for name in names:
        save_run(name, run_measurement(name))
    if arguments.all or arguments.render:
        PAGE_FILE.write_text(render_page([load_run(name) for name in MEASUREMENTS]))
    return 0


def run_measurement(name: str) -> list[Figure]:
    """Run one measurement and print its figures."""
    figures = []
    started_s = time.monotonic()
    for figure in MEASUREMENTS[name]():
        print(msgspec.json.encode(figure).decode(), flush=True)
        figures.append(figure)
    elapsed_s = time.monotonic() - started_s
    print(f"{name} finished after {elapsed_s:.0f} s", file=sys.stderr)
    return figures


def save_run(name: str, figures: list[Figure]) -> None:
    """Write the figures of a measurement to its file."""
    FIGURES_DIRECTORY.mkdir(exist_ok=True)
    today = datetime.now(UTC).date().isoformat()
    encoded = msgspec.json.encode(MeasurementRun(name, today, figures))
    (FIGURES_DIRECTORY / f"{name}.json").write_bytes(msgspec.json.format(encoded))


def load_run(name: str) -> MeasurementRun:
    """Return the last stored run of a measurement."""
    return msgspec.json.decode(
        (FIGURES_DIRECTORY / f"{name}.json").read_bytes(), type=MeasurementRun
    )


def render_page(runs: list[MeasurementRun]) -> str:
    """Return the Markdown page of the figures of all runs."""
    lines = [
        "# Measurements",
        "",
        f"Rendered by `make measure` with Python {platform.python_version()} on a "
        "shared 8-core machine, over loopback only. The figures of direct calls show "
        "the noise of the machine. Targets come from the brief, letter 1 and the "
        "issues; `-` means that they give none. To run one measurement: "
        "`python misc/measure.py NAME`.",
    ]
    for run in runs:
        first_line = (MEASUREMENTS[run.name].__doc__ or "").strip().splitlines()[0]
        lines += ["", f"## {run.name}", "", f"{first_line} Run on {run.date}.", ""]
        lines += ["| figure | value | unit | target | met |", "|---|---|---|---|---|"]
        lines += [_render_row(figure) for figure in run.figures]
    return "\n".join(lines) + "\n"


def _render_row(figure: Figure) -> str:
    target = "-" if figure.target is None else f"{figure.target:g}"
    return (
        f"| {figure.measure} | {figure.value:g} | {figure.unit} | {target} "
        f"| {_render_met(figure)} |"
    )


def _render_met(figure: Figure) -> str:
    if figure.target is None:
        return "-"
    if figure.better == "lower":
        return "yes" if figure.value <= figure.target else "no"
    return "yes" if figure.value >= figure.target else "no"


if __name__ == "__main__":
    sys.exit(main())
