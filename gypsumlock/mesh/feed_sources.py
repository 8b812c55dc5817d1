"""Selects which nodes read the store, and which nodes the others follow.

Every change in the store wakes each waiting node, which then calls the store again.
If all nodes waited there, the number of calls would grow with nodes times changes.
Instead, a few nodes in each zone read the store and forward the updates.

The functions are pure. Nodes need not agree on the result, because every node that
has followers reads the store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.pair_hash import rendezvous_score

__all__ = ["rank_sources", "select_zone_readers"]

# Minimum number of readers in a zone.
MIN_ZONE_READERS = 2
# Maximum number of nodes in a zone per reader: a reader sends each of its followers
# every change.
NODES_PER_READER = 20


def select_zone_readers(records: Iterable[UpstreamRecord], zone: str) -> list[str]:
    """Return the nodes of a zone that should read the store.

    Nodes with the fastest links come first. A configuration version can be hundreds
    of kilobytes, and while a slow link transfers it, calls queue behind it.

    Parameters
    ----------
    records : Iterable[UpstreamRecord]
        Records of all nodes.
    zone : str
        The availability zone.
    """
    candidates = [x for x in records if x.zone == zone and x.serving]
    count = max(MIN_ZONE_READERS, math.ceil(len(candidates) / NODES_PER_READER))
    candidates.sort(
        key=lambda record: (-record.link_mbps, rendezvous_score(zone, record.node))
    )
    return [record.node for record in candidates[:count]]


def rank_sources(node: str, readers: Iterable[str]) -> list[str]:
    """Return the readers that a node can follow, in its order of preference.

    Rendezvous hashing distributes the followers over the readers.
    """
    others = [reader for reader in readers if reader != node]
    return sorted(others, key=lambda reader: rendezvous_score(node, reader))
