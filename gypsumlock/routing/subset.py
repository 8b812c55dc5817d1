"""Bounds how many upstreams of a service one node connects to.

The subset is chosen by rendezvous hashing, the own zone first: it is stable
while members come and go, and different nodes get different subsets.
"""

from __future__ import annotations

from collections.abc import Sequence

from gypsumlock.model import Endpoint, NodeIdentity
from gypsumlock.pair_hash import rendezvous_score

__all__ = ["select_subset"]


def select_subset(
    node: NodeIdentity, endpoints: Sequence[Endpoint], size: int
) -> Sequence[Endpoint]:
    """Return at most `size` of the endpoints for one node."""
    if len(endpoints) <= size:
        return endpoints

    def rank(endpoint: Endpoint) -> tuple[bool, bool, bytes]:
        return (
            endpoint.zone != node.zone,
            endpoint.region != node.region,
            rendezvous_score(node.address, endpoint.call_address),
        )

    ranked = sorted(endpoints, key=rank)
    # Half of the places go to other zones, so that a zone can be lost.
    near = [e for e in ranked if e.zone == node.zone][: size // 2]
    far = [e for e in ranked if e.zone != node.zone]
    chosen = near + far[: size - len(near)]
    left = [e for e in ranked if e not in chosen]
    return chosen + left[: size - len(chosen)]
