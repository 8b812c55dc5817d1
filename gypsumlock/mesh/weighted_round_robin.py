"""Distributes the calls of a split route over its services by weight."""

from __future__ import annotations

from gypsumlock.mesh.model import RouteSpec, ServiceShare
from gypsumlock.mesh.recent_table import RecentTable

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin for each split route.

    The state is kept by the name and the shares of a route, so that a configuration
    version that does not change a route does not restart its sequence.
    """

    __slots__ = ("_current_weights",)

    def __init__(self) -> None:
        self._current_weights: RecentTable[
            tuple[str, tuple[ServiceShare, ...]], list[float]
        ] = RecentTable()

    def choose_service(self, route: RouteSpec) -> str:
        """Return the service for the next call of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        key = (route.name, shares)
        current = self._current_weights.get(key, None) or [0.0] * len(shares)
        self._current_weights[key] = current
        total_weight = 0.0
        for index, share in enumerate(shares):
            current[index] += share.weight
            total_weight += share.weight
        chosen = max(range(len(shares)), key=current.__getitem__)
        current[chosen] -= total_weight
        return shares[chosen].service
