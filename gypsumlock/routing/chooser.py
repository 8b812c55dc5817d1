"""Chooses the upstream for one attempt of a call.

An `Endpoint` is an upstream as the routing table lists it. Only the upstreams in the
node's subset of the service are considered; see `select_subset`. The steps, in order:
1. Exclude upstreams that this call has already tried.
2. Exclude suspected and ejected upstreams as long as others remain. Ejections are
   ignored if they exceed the allowed share of a service.
3. Prefer the node's own zone, then its own region, unless the upstreams there have
   recently refused calls.
4. Of two upstreams drawn at random, take the one with the shorter expected wait per
   slot. A new upstream is drawn less often during its slow start.
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

# Weight of an upstream in the random draw at the beginning of its slow start.
_MIN_SLOW_START_WEIGHT = 0.1


class UpstreamChooser:
    """Keeps statistics of each upstream, and chooses among the upstreams.

    Parameters
    ----------
    node : NodeIdentity
        The calling node.
    rng : random.Random
        Random number generator for the draws.
    monotonic, wall_clock : Callable[[], float]
        Clocks, in seconds.
    """

    __slots__ = ("_monotonic", "_node", "_rng", "_stats", "_wall_clock")

    def __init__(
        self,
        node: NodeIdentity,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._rng = rng
        self._monotonic = monotonic
        self._wall_clock = wall_clock
        self._stats: dict[str, EndpointStats] = {}

    def stats_of(self, endpoint: Endpoint) -> EndpointStats:
        """Return the statistics of an upstream."""
        return self._stats.setdefault(endpoint.call_address, EndpointStats())

    def retain(self, call_addresses: set[str]) -> None:
        """Forget upstreams not in `call_addresses` that have no calls in flight."""
        for address in set(self._stats) - call_addresses:
            if self._stats[address].in_flight == 0:
                del self._stats[address]

    def choose(
        self, table: RoutingTable, route: CompiledRoute, tried: set[str]
    ) -> Endpoint | None:
        """Return the upstream for the next attempt, or None if all were tried.

        Parameters
        ----------
        table : RoutingTable
            Routing table with which the call started.
        route : CompiledRoute
            Route of the call.
        tried : set[str]
            Call addresses that this call has already tried.
        """
        service_endpoints = table.endpoints.get(route.service.name, ())
        subset = select_subset(self._node, service_endpoints, defaults.SUBSET_SIZE)
        untried = [e for e in subset if e.call_address not in tried]
        if not untried:
            return None
        healthy = self._healthy_endpoints(untried, table)
        return self._pick_of_two(self._nearest_accepting(healthy), route)

    def _healthy_endpoints(
        self, endpoints: Sequence[Endpoint], table: RoutingTable
    ) -> Sequence[Endpoint]:
        now_s = self._monotonic()
        candidates = [e for e in endpoints if not e.suspect] or list(endpoints)
        available = [e for e in candidates if self.stats_of(e).ejected_until_s <= now_s]
        ejected_share = 1 - len(available) / len(candidates)
        if not available or ejected_share > table.policy.limits.max_ejected_share:
            return candidates
        return available

    def _nearest_accepting(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the nearest upstreams that did not refuse a call recently, or all."""
        now_s = self._monotonic()
        accepting = [e for e in endpoints if self.stats_of(e).refused_until_s <= now_s]
        for nearest in (
            self._in_own_zone(accepting),
            self._in_own_region(accepting),
            accepting,
        ):
            if nearest:
                return nearest
        return endpoints

    def _in_own_zone(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        return [e for e in endpoints if e.zone == self._node.zone]

    def _in_own_region(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        return [e for e in endpoints if e.region == self._node.region]

    def _pick_of_two(
        self, endpoints: Sequence[Endpoint], route: CompiledRoute
    ) -> Endpoint:
        if len(endpoints) == 1:
            return endpoints[0]
        weights = [
            self._slow_start_weight(e, route.service.slow_start_s) for e in endpoints
        ]
        first, second = self._rng.choices(endpoints, weights, k=2)
        return min(
            first, second, key=lambda e: self.stats_of(e).expected_wait_s() / e.slots
        )

    def _slow_start_weight(self, endpoint: Endpoint, slow_start_s: float) -> float:
        age_s = self._wall_clock() - endpoint.serving_since_s
        if slow_start_s <= 0 or age_s >= slow_start_s:
            return 1.0
        return max(_MIN_SLOW_START_WEIGHT, age_s / slow_start_s)
