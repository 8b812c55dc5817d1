"""Chooses the upstream for one attempt of a call.

Order of the choice:
1. Leave out upstreams that this call has tried before.
2. Set aside suspected and ejected ones, as long as others remain; ejections
   beyond the allowed share of a service do not count.
3. Prefer the node's own zone unless its upstreams refused calls just now.
4. Of two upstreams drawn at random, take the one with the smaller expected
   wait. A new upstream is drawn more rarely during its slow start.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

from gypsumlock import defaults
from gypsumlock.model import CompiledRoute, Endpoint, NodeIdentity, RoutingTable
from gypsumlock.routing.endpoint_stats import EndpointStats
from gypsumlock.routing.subset import select_subset

__all__ = ["UpstreamChooser"]

# Draw weight of an upstream at the begin of its slow start.
_FIRST_WEIGHT = 0.1


class UpstreamChooser:
    """Keeps what was seen of each upstream, and chooses among them.

    Parameters
    ----------
    node : NodeIdentity
        The node that calls.
    chance : random.Random
        Source of the draws.
    monotonic, wall : Callable[[], float]
        Clocks, in seconds.
    """

    __slots__ = ("_chance", "_monotonic", "_node", "_stats", "_wall")

    def __init__(
        self,
        node: NodeIdentity,
        chance: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._chance = chance
        self._monotonic = monotonic
        self._wall = wall
        self._stats: dict[str, EndpointStats] = {}

    def stats_of(self, endpoint: Endpoint) -> EndpointStats:
        """Return the figures of an upstream."""
        return self._stats.setdefault(endpoint.call_address, EndpointStats())

    def retain(self, call_addresses: set[str]) -> None:
        """Forget upstreams that are gone and have no calls in flight."""
        for address in set(self._stats) - call_addresses:
            if self._stats[address].in_flight == 0:
                del self._stats[address]

    def choose(
        self, table: RoutingTable, route: CompiledRoute, tried: set[str]
    ) -> Endpoint | None:
        """Return the upstream for the next attempt, or None when all were tried.

        Parameters
        ----------
        table : RoutingTable
            Table that the call started with.
        route : CompiledRoute
            Route of the call.
        tried : set[str]
            Call addresses that this call has tried.
        """
        known = table.endpoints.get(route.service.name, ())
        subset = select_subset(self._node, known, defaults.SUBSET_SIZE)
        untried = [e for e in subset if e.call_address not in tried]
        if not untried:
            return None
        healthy = self._healthy(untried, table)
        return self._draw(self._near(healthy), route)

    def _healthy(
        self, endpoints: Sequence[Endpoint], table: RoutingTable
    ) -> Sequence[Endpoint]:
        now_s = self._monotonic()
        trusted = [e for e in endpoints if not e.suspect] or list(endpoints)
        kept = [e for e in trusted if self.stats_of(e).ejected_until_s <= now_s]
        ejected_share = 1 - len(kept) / len(trusted)
        if not kept or ejected_share > table.policy.limits.max_ejected_share:
            return trusted
        return kept

    def _near(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the nearest group that has an upstream with room."""
        now_s = self._monotonic()
        willing = [e for e in endpoints if self.stats_of(e).refused_until_s <= now_s]
        for nearest in (self._in_zone(willing), self._in_region(willing), willing):
            if nearest:
                return nearest
        return endpoints

    def _in_zone(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        return [e for e in endpoints if e.zone == self._node.zone]

    def _in_region(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        return [e for e in endpoints if e.region == self._node.region]

    def _draw(self, endpoints: Sequence[Endpoint], route: CompiledRoute) -> Endpoint:
        if len(endpoints) == 1:
            return endpoints[0]
        weights = [self._weight(e, route.service.slow_start_s) for e in endpoints]
        first, second = self._chance.choices(endpoints, weights, k=2)
        return min(first, second, key=lambda e: self.stats_of(e).cost() / e.slots)

    def _weight(self, endpoint: Endpoint, slow_start_s: float) -> float:
        age_s = self._wall() - endpoint.serving_since_s
        if slow_start_s <= 0 or age_s >= slow_start_s:
            return 1.0
        return max(_FIRST_WEIGHT, age_s / slow_start_s)
