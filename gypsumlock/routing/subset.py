"""Limits the number of upstreams of a service that one node connects to.

The subset is chosen by rendezvous hashing, with the node's own zone first. It stays
stable while members join and leave, and different nodes get different subsets.
"""

from __future__ import annotations

from collections.abc import Sequence

from gypsumlock.model import Endpoint, NodeIdentity
from gypsumlock.pair_hash import rendezvous_score

__all__ = ["select_subset"]


def select_subset(
    node: NodeIdentity, endpoints: Sequence[Endpoint], size: int
) -> Sequence[Endpoint]:
    """Return the endpoints that a node uses, at most `size` of them."""
    if len(endpoints) <= size:
        return endpoints

    def sort_key(endpoint: Endpoint) -> tuple[bool, bool, bytes]:
        return (
            endpoint.zone != node.zone,
            endpoint.region != node.region,
            rendezvous_score(node.address, endpoint.call_address),
        )

    sorted_endpoints = sorted(endpoints, key=sort_key)
    # Half of the subset comes from other zones, so that it survives the loss of a zone.
    same_zone = [e for e in sorted_endpoints if e.zone == node.zone][: size // 2]
    other_zones = [e for e in sorted_endpoints if e.zone != node.zone]
    chosen = same_zone + other_zones[: size - len(same_zone)]
    remaining = [e for e in sorted_endpoints if e not in chosen]
    return chosen + remaining[: size - len(chosen)]
