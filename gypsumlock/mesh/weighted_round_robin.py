"""Deals the calls of a split route to its services in their shares."""

from __future__ import annotations

from gypsumlock.mesh.model import RouteSpec, ServiceShare

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin for each split route.

    Counts stay with the route's name and its shares, so that a version which
    leaves a route alone does not start its sequence anew.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[ServiceShare, ...]], list[float]] = {}

    def choose_service(self, route: RouteSpec) -> str:
        """Return the service for the next call of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        counts = self._credits.setdefault((route.name, shares), [0.0] * len(shares))
        total = 0.0
        for index, share in enumerate(shares):
            counts[index] += share.weight
            total += share.weight
        chosen = max(range(len(shares)), key=counts.__getitem__)
        counts[chosen] -= total
        return shares[chosen].service
