"""Chooses which nodes read the store, and whom the others follow.

Load that this answers: at every change of the store, each node that waits there
asks again, so calls to the store must not grow with nodes times changes. In each
zone a few nodes read it and hand on what they learn. The choice is pure, and need
not be the same everywhere: whoever is followed reads the store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.pair_hash import rendezvous_score

__all__ = ["readers_of_zone", "sources_of"]

# Fewest nodes of a zone that read the store.
MIN_READERS = 2
# Nodes for which one reader is enough: it sends each of them every change.
NODES_PER_READER = 20


def readers_of_zone(records: Iterable[UpstreamRecord], zone: str) -> list[str]:
    """Return the nodes of a zone that should read the store.

    Those with the fastest links come first: a version can be hundreds of kilobytes,
    and while a slow link carries one, calls wait behind it.

    Parameters
    ----------
    records : Iterable[UpstreamRecord]
        Records of all nodes.
    zone : str
        The availability zone.
    """
    nodes = [x for x in records if x.zone == zone and x.serving]
    count = max(MIN_READERS, math.ceil(len(nodes) / NODES_PER_READER))
    nodes.sort(
        key=lambda record: (-record.link_mbps, rendezvous_score(zone, record.node))
    )
    return [record.node for record in nodes[:count]]


def sources_of(node: str, readers: Iterable[str]) -> list[str]:
    """Return the readers that a node follows, in its order of preference.

    Rendezvous hashing spreads the followers over the readers.
    """
    others = [reader for reader in readers if reader != node]
    return sorted(others, key=lambda reader: rendezvous_score(node, reader))
