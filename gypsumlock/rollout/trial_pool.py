"""Chooses the candidate's upstreams that get the calls of a trial.

Designed for versions that fail only under load: a few upstreams get all of the share,
so that each is about as loaded as an established one. There are at least two, so that
a faulty machine can be told from a faulty version. If the share does not suffice to
load two, they take turns.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from gypsumlock.mesh.model import RolloutEntry, UpstreamRecord
from gypsumlock.pair_hash import rendezvous_score

__all__ = ["TrialPool", "choose_pool"]

MIN_POOL_SIZE = 2
# Time for which an upstream has its turn, in seconds.
TURN_S = 2.0


@dataclass(frozen=True, slots=True)
class TrialPool:
    """Nodes whose upstreams are on trial, and how many of them have calls at a time."""

    nodes: tuple[str, ...] = ()
    in_turn: int = 0

    def nodes_in_turn(self, wall_s: float) -> Collection[str]:
        """Return the nodes that get the calls of the trial at a Unix time."""
        if self.in_turn >= len(self.nodes):
            return self.nodes
        first = int(wall_s / TURN_S) * self.in_turn
        count = len(self.nodes)
        return {self.nodes[(first + i) % count] for i in range(self.in_turn)}


def choose_pool(
    entry: RolloutEntry,
    established: Collection[UpstreamRecord],
    candidates: Collection[UpstreamRecord],
) -> TrialPool:
    """Return the pool; all nodes with the same records choose the same one.

    Parameters
    ----------
    entry : RolloutEntry
        Entry of a running trial.
    established, candidates : Collection[UpstreamRecord]
        Serving upstreams of both versions.
    """
    usable = [x for x in candidates if x.instance not in entry.suspects]
    usable.sort(key=lambda x: rendezvous_score(entry.candidate, x.instance))
    slots = entry.share * sum(max(1, x.slots) for x in established)
    chosen: list[str] = []
    in_turn = 0
    for record in usable:
        # An upstream whose larger half would stay idle is left out.
        if slots > 0.5 * max(1, record.slots) or not chosen:
            in_turn += 1
        elif len(chosen) >= MIN_POOL_SIZE:
            break
        slots -= max(1, record.slots)
        chosen.append(record.node)
    return TrialPool(tuple(chosen), in_turn)
