"""Builds the controllers of a node that takes part in roll-outs."""

from __future__ import annotations

from gypsumlock.controller import Controller
from gypsumlock.leases import LeaseKeeper
from gypsumlock.mesh.feed_store import FeedStore
from gypsumlock.mesh.node import MeshNode
from gypsumlock.rollout.candidates import LEASE_NAME, ConductorCandidates
from gypsumlock.rollout.controller import RolloutController
from gypsumlock.rollout.lease import ConductorLease
from gypsumlock.rollout.reporter import VersionReporter
from gypsumlock.rollout.rows import RolloutRows

__all__ = ["LEASE_DURATION_S", "rollout_controllers"]

# Short, as another node has to take over within a roll-out, which takes some 12 s. A
# store that is away for longer only pauses the trial.
LEASE_DURATION_S = 4.0


class _KeeperLease(ConductorLease):
    """The lease as its keeper holds it."""

    __slots__ = ("_keeper",)

    def __init__(self, keeper: LeaseKeeper) -> None:
        self._keeper = keeper

    def token(self) -> int | None:
        """Return the fencing token, or None if this node does not hold the lease."""
        return self._keeper.held(LEASE_NAME)


def rollout_controllers(
    store: FeedStore, node: MeshNode, rows: RolloutRows
) -> list[Controller]:
    """Return the controllers, and connect them to a node.

    Parameters
    ----------
    store : FeedStore
        The store.
    node : MeshNode
        The node, whose settings bound roll-outs.
    rows : RolloutRows
        Names and formats of the rows of orders and of their status.
    """
    state = node.state
    candidates = ConductorCandidates(state)
    keeper = LeaseKeeper(
        store,
        state.node,
        candidates.leases,
        duration_s=LEASE_DURATION_S,
        store_era=state.store_era,
        fleet_start=state.fleet_start,
    )
    conductor = RolloutController(store, state, node.feed, _KeeperLease(keeper), rows)
    node.peer_server.report_handler = conductor

    def broadcast_load() -> None:
        node.peer_server.broadcast_load(node.owner.load())

    reporter = VersionReporter(
        state, node.owner, node.directory, conductor, broadcast_load
    )
    return [keeper, conductor, reporter]
