"""User-facing messages of the command line, collected in one place."""

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
    """Return the message that a change was accepted."""
    return f"accepted as version {version}"


def converged(version: int, nodes: int) -> str:
    """Return the message that a version is in force on every node."""
    return f"version {version} is in force on all {nodes} nodes"


def not_converged(version: int, lagging: int) -> str:
    """Return the message that a version is not in force on some nodes."""
    return f"version {version} is not in force on {lagging} nodes"


def lagging_node(
    address: str, reachable: bool, in_force: int, held: int, code: int
) -> str:
    """Return the message about a lagging node.

    It states the versions that the node runs and holds, and what blocks a newer one.
    """
    if not reachable:
        return f"{address}: can't be reached"
    reason = f", blocked by code {code}" if code else ""
    return f"{address}: runs version {in_force}, holds version {held}{reason}"


def dead_nodes(addresses: list[str]) -> str:
    """Return the message that names the nodes not queried because they are dead."""
    return f"not queried because dead: {', '.join(addresses)}"


def no_such_exception(name: str) -> str:
    """Return the message that an exception does not exist."""
    return f"no exception is named {name!r}"


def settings_valid(path: str) -> str:
    """Return the message that a settings file has no faults."""
    return f"{path}: no faults"
