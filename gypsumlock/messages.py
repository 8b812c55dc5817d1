"""User-facing sentences of the command line, in one place."""

from __future__ import annotations

__all__ = [
    "accepted",
    "converged",
    "dead_nodes",
    "lagging_node",
    "no_such_exception",
    "not_converged",
    "settings_valid",
]


def accepted(version: int) -> str:
    """Say that a change was accepted."""
    return f"accepted as version {version}"


def converged(version: int, nodes: int) -> str:
    """Say that a version is in force everywhere."""
    return f"version {version} is in force on all {nodes} nodes"


def not_converged(version: int, lagging: int) -> str:
    """Say that some nodes lack a version."""
    return f"version {version} is not in force on {lagging} nodes"


def lagging_node(
    address: str, reachable: bool, in_force: int, held: int, code: int
) -> str:
    """Say how far one node is, and why no further."""
    if not reachable:
        return f"{address}: can't be reached"
    reason = f", held back by code {code}" if code else ""
    return f"{address}: runs version {in_force}, holds {held}{reason}"


def dead_nodes(addresses: list[str]) -> str:
    """Name the nodes that were not asked because they are dead."""
    return f"dead, and not asked: {', '.join(addresses)}"


def no_such_exception(name: str) -> str:
    """Say that an exception does not exist."""
    return f"no exception is named {name!r}"


def settings_valid(path: str) -> str:
    """Say that a settings file has no faults."""
    return f"{path}: no faults"
