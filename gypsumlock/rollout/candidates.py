"""Chooses the nodes that try to become the conductor.

Designed for up to 1,300 nodes, of which only a few should call the store for the lease.
The rows of terminated machines stay in the table; a roll-out leaves the rows of all old
upstreams, so that only nodes whose upstream may get calls count.
"""

from __future__ import annotations

import heapq

from gypsumlock.mesh.state import MeshState
from gypsumlock.pair_hash import rendezvous_score
from gypsumlock.rollout.version_table import ServiceVersions

__all__ = ["LEASE_NAME", "ConductorCandidates"]

LEASE_NAME = "rollouts"
CANDIDATES = 5


class ConductorCandidates:
    """Tells whether this node is one of them.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    """

    __slots__ = ("_nodes", "_services", "_state")

    def __init__(self, state: MeshState) -> None:
        self._state = state
        # Candidates by the version table as of its last change.
        self._services: dict[str, ServiceVersions] = {}
        self._nodes: frozenset[str] = frozenset()

    def leases(self) -> tuple[str, ...]:
        """Return the lease if this node should hold it, or nothing."""
        state = self._state
        if state.stopping or state.bounds.rollout is None:
            return ()
        services = state.versions.services
        if services is not self._services:
            self._services = services
            self._nodes = frozenset(_choose(services))
        return (LEASE_NAME,) if state.node in self._nodes else ()


def _choose(services: dict[str, ServiceVersions]) -> list[str]:
    nodes = {
        record.node
        for versions in services.values()
        for version, records in versions.serving.items()
        if version in versions.allowed
        for record in records
    }
    return heapq.nsmallest(
        CANDIDATES, nodes, key=lambda node: rendezvous_score(LEASE_NAME, node)
    )
