"""Chooses the upstream for one attempt by its expected time to an answer.

Load that this answers: upstreams of unequal speed in several availability zones,
some of them full, slow, failing or cut off. The choice is pure: it reads what
this node has heard of each upstream, and when.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT
from gypsumlock.mesh.model import OwnerLoad, RouteSpec
from gypsumlock.mesh.pacer import PIECE_BYTES

__all__ = ["CallProfile", "UpstreamSelector", "UpstreamView"]

# Time in which a report of load loses most of its weight, in seconds.
LOAD_MEMORY_S = 1.0
# Assumed service time as a share of the latency target, before any report.
FIRST_SERVICE_SHARE = 0.3
# Share of busy slots above which an upstream is expected to slow down.
BUSY_SHARE = 0.7
# Growth of the service time from that share to all slots busy.
BUSY_SLOWDOWN = 0.5
# Time that a call may wait longer in its own zone to keep one KiB there.
ZONE_S_PER_KIB = 0.006
# Calls of at least this size leave their zone only if no upstream serves there.
ZONE_BOUND_BYTES = 65_536
# Share of the latency target that such a call may take on its owner's link.
LINK_BOUND_SHARE = 0.7
# Growth of the risk of a late answer with the expected share of the target.
RISK_EXPONENT = 4
# Growth of the cost past the target.
LATE_SLOPE = 4.0
# Time on the way to another zone and back, in seconds.
ZONE_ROUND_TRIP_S = 0.002
# Cost of a call that fails, and of one that is surely refused, as a share of the
# latency target.
FAILURE_COST_SHARE = 3.0
REFUSAL_COST_SHARE = 10.0
# Share of failed calls from which an upstream no longer serves.
FAILING_SHARE = 0.3
# Spread that keeps nodes from choosing the same upstream all at once.
JITTER_SHARE = 0.1
# Avoidance after a failed connection: first and longest, in seconds.
FIRST_EJECTION_S = 0.25
MAX_EJECTION_S = 4.0


@dataclass(frozen=True, slots=True)
class CallProfile:
    """What placing a call needs to know of it."""

    route: RouteSpec
    # Expected size of request and answer together, in bytes.
    size_bytes: float


@dataclass(slots=True)
class UpstreamView:
    """What a node has heard and seen of one upstream."""

    node: str
    instance: str
    zone: str
    # Bandwidth of its machine's link in megabits a second; 0 if it is not known.
    link_mbps: float = 0.0
    load: OwnerLoad = field(default_factory=OwnerLoad)
    load_at_s: float = float("-inf")
    # Calls of this node that the upstream has not answered yet.
    outstanding: int = 0
    # Value of `outstanding` at the last report.
    outstanding_at_report: int = 0
    # True while the upstream can't be reached as far as this node knows.
    ejected: bool = False
    # Monotonic time of the next look at an avoided upstream.
    next_probe_at_s: float = float("-inf")
    ejection_s: float = FIRST_EJECTION_S
    # Mean service time by route as the owner reports it, in seconds.
    service_s: dict[str, float] = field(default_factory=dict)

    def record_load(self, route: str, load: OwnerLoad, now_s: float) -> None:
        """Take a report of the owner in."""
        self.load = load
        self.load_at_s = now_s
        self.outstanding_at_report = self.outstanding
        if load.service_s > 0:
            self.service_s[route] = load.service_s

    def eject(self, now_s: float) -> None:
        """Avoid the upstream until a probe reaches it; probe later each time."""
        self.ejected = True
        self.next_probe_at_s = now_s + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)

    def restore(self) -> None:
        """Note that the upstream can be reached."""
        self.ejected = False
        self.next_probe_at_s = float("-inf")
        self.ejection_s = FIRST_EJECTION_S

    def freshness(self, now_s: float) -> float:
        """Return how much the last report still says, from 1 down to 0."""
        return max(0.0, 1 - (now_s - self.load_at_s) / LOAD_MEMORY_S)

    def in_flight(self, now_s: float) -> float:
        """Return the calls expected to be at the owner now."""
        fresh = self.freshness(now_s)
        others = max(0, self.load.in_flight - self.outstanding_at_report)
        return self.outstanding + others * fresh


class UpstreamSelector:
    """Compares upstreams for a call.

    Parameters
    ----------
    node : str
        Name of this node: what its own upstream answers takes no link.
    zone : str
        Its availability zone.
    chance : random.Random
        Source of the jitter.
    """

    __slots__ = ("_chance", "_node", "_zone")

    def __init__(self, node: str, zone: str, chance: random.Random) -> None:
        self._node = node
        self._zone = zone
        self._chance = chance

    def order_by_cost(
        self, shape: CallProfile, views: Sequence[UpstreamView], now_s: float
    ) -> list[UpstreamView]:
        """Return the upstreams worth trying, the best one first.

        Upstreams that are avoided come last, and only if no other is left.
        """
        usual_s = _usual_service_s(shape.route, views)
        open_views = [view for view in views if not view.ejected]
        open_views = open_views or list(views)
        open_views = list(self._within_zone(shape, open_views, now_s))
        costed = [
            (self.cost_s(shape, view, usual_s, now_s), index)
            for index, view in enumerate(open_views)
        ]
        costed.sort()
        return [open_views[index] for _, index in costed]

    def cost_s(
        self, shape: CallProfile, view: UpstreamView, usual_s: float, now_s: float
    ) -> float:
        """Return the cost of a choice, in seconds of the latency target.

        An answer well within the target is as good as a faster one, so the cost is
        the risk of a late answer, and what the way to another zone costs.
        """
        target_s = route_target_s(shape.route)
        share = self._expected_s(shape, view, usual_s, now_s) / target_s
        share *= 1 + JITTER_SHARE * self._chance.random()
        if share <= 1:
            cost_s = target_s * share**RISK_EXPONENT
        else:
            cost_s = target_s * (1 + LATE_SLOPE * (share - 1))
        if not view.load.accepting:
            cost_s += REFUSAL_COST_SHARE * target_s * view.freshness(now_s)
        fresh = max(0.2, view.freshness(now_s))
        cost_s += FAILURE_COST_SHARE * target_s * view.load.failure_share * fresh
        if view.zone != self._zone:
            cost_s += ZONE_S_PER_KIB * shape.size_bytes / 1024
        return cost_s

    def _expected_s(
        self, shape: CallProfile, view: UpstreamView, usual_s: float, now_s: float
    ) -> float:
        """Return the expected time to an answer, in seconds."""
        route = shape.route
        service_s = view.service_s.get(route.name, usual_s)
        busy = view.in_flight(now_s) / max(1, view.load.slots)
        over = max(0.0, min(1.0, busy) - BUSY_SHARE) / (1 - BUSY_SHARE)
        expected_s = service_s * (1 + BUSY_SLOWDOWN * over + max(0.0, busy - 1))
        if view.load.wait_s:
            index = min(route.rank, len(view.load.wait_s) - 1)
            expected_s += view.load.wait_s[index] * view.freshness(now_s)
        if view.zone != self._zone:
            expected_s += ZONE_ROUND_TRIP_S
        if view.node != self._node:
            expected_s += _transfer_s(shape, view, now_s)
        return expected_s

    def _within_zone(
        self, shape: CallProfile, views: Sequence[UpstreamView], now_s: float
    ) -> Sequence[UpstreamView]:
        """Return the upstreams that a large call may go to."""
        if shape.size_bytes < ZONE_BOUND_BYTES:
            return views
        link_bound_s = LINK_BOUND_SHARE * route_target_s(shape.route)
        near = [
            view
            for view in views
            if view.zone == self._zone
            and view.load.failure_share < FAILING_SHARE
            and (view.load.accepting or view.freshness(now_s) == 0)
            and _transfer_s(shape, view, now_s) < link_bound_s
        ]
        return near or views


def _transfer_s(shape: CallProfile, view: UpstreamView, now_s: float) -> float:
    """Return the expected time of an answer on the link of the owner's machine."""
    is_large = shape.size_bytes > PIECE_BYTES
    waits_s = view.load.egress_s * view.freshness(now_s) if is_large else 0.0
    if view.link_mbps <= 0:
        return waits_s
    return waits_s + shape.size_bytes / (view.link_mbps * BYTES_PER_MEGABIT)


def route_target_s(route: RouteSpec) -> float:
    """Return the latency target of a route, never zero."""
    return max(route.target_latency_s, 0.001)


def _usual_service_s(route: RouteSpec, views: Sequence[UpstreamView]) -> float:
    """Return the mean service time over the upstreams that reported one."""
    known = [
        view.service_s[route.name] for view in views if route.name in view.service_s
    ]
    if not known:
        return route.target_latency_s * FIRST_SERVICE_SHARE
    return sum(known) / len(known)
