"""Selects the upstream for one attempt of a call by the expected latency.

Designed for upstreams of unequal speed in several availability zones, some of them
overloaded, slow, failing or unreachable. The selection does no I/O: it uses what this
node last learned of each upstream, and the age of that information.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, usable_mbps
from gypsumlock.mesh.model import OwnerLoad, RouteSpec
from gypsumlock.mesh.pacer import CHUNK_BYTES
from gypsumlock.mesh.recent_table import RecentTable
from gypsumlock.mesh.zone_policy import RankedUpstream, ZonePolicy

__all__ = ["CallProfile", "UpstreamSelector", "UpstreamView"]

# Age at which a load report has lost its weight, in seconds. The failure share in it
# keeps a fifth of its weight.
LOAD_REPORT_LIFETIME_S = 1.0
# Service time assumed before the first report, as a share of the latency target.
INITIAL_SERVICE_SHARE = 0.3
# Share of busy slots above which the service time of an upstream is expected to grow.
BUSY_SHARE = 0.7
# Relative growth of the service time from that point until all slots are busy.
BUSY_SLOWDOWN = 0.5
# Calls of at least this size leave their zone only if no upstream in it can serve them.
ZONE_BOUND_BYTES = 65_536
# Share of the latency target that the transfer of such a call may take on the network
# link of an upstream in the zone.
MAX_TRANSFER_SHARE = 0.7
# Exponent with which the risk of a late response grows with the ratio of the expected
# latency to the latency target.
LATE_RISK_EXPONENT = 4
# Slope of the cost where the expected latency exceeds the latency target.
LATE_COST_SLOPE = 4.0
# Network round-trip time to another zone, in seconds.
CROSS_ZONE_ROUND_TRIP_S = 0.002
# Cost of a call that fails, and of one that is certain to be refused, as a multiple of
# the latency target.
FAILURE_COST_FACTOR = 3.0
REFUSAL_COST_FACTOR = 10.0
# Share of failed calls from which an upstream no longer counts as able to serve.
FAILING_SHARE = 0.3
# Random spread of the expected latency, which keeps nodes from choosing the same
# upstream all at once.
JITTER_SHARE = 0.1
# Backoff between probes of an ejected upstream: initial and maximum, in seconds.
INITIAL_PROBE_BACKOFF_S = 0.25
MAX_PROBE_BACKOFF_S = 4.0


@dataclass(frozen=True, slots=True)
class CallProfile:
    """Properties of a call that the selection of its upstream depends on."""

    route: RouteSpec
    # Expected size of the request and the response together, in bytes.
    size_bytes: float
    # Rank of the call; None if it is that of the route.
    rank: int | None = None
    # Service that the call is sent to.
    service: str = ""


@dataclass(slots=True)
class UpstreamView:
    """State of one upstream as one node knows it."""

    node: str
    instance: str
    zone: str
    # Bandwidth of its machine's network link, in megabits per second; 0 if unknown.
    link_mbps: float = 0.0
    load: OwnerLoad = field(default_factory=OwnerLoad)
    load_at_s: float = float("-inf")
    # Calls of this node that the upstream has not answered yet.
    outstanding: int = 0
    # Value of `outstanding` at the last load report.
    outstanding_at_report: int = 0
    # True from the time that its node could not be reached until a probe succeeds.
    ejected: bool = False
    # Monotonic time of the next probe while the upstream is ejected, in seconds.
    next_probe_at_s: float = float("-inf")
    # Delay until the probe that the next ejection schedules, in seconds.
    probe_backoff_s: float = INITIAL_PROBE_BACKOFF_S
    # Mean service time by route as its owner reports it, in seconds.
    service_s: RecentTable[str, float] = field(default_factory=RecentTable)
    # Version of its software; empty if it is not known.
    version: str = ""

    def record_load(self, route: str, load: OwnerLoad, now_s: float) -> None:
        """Record a load report from the owner, the node beside the upstream."""
        self.load = load
        self.load_at_s = now_s
        self.outstanding_at_report = self.outstanding
        if load.service_s > 0:
            self.service_s[route] = load.service_s

    def eject(self, now_s: float) -> None:
        """Eject the upstream until a probe succeeds, and double the probe backoff."""
        self.ejected = True
        self.next_probe_at_s = now_s + self.probe_backoff_s
        self.probe_backoff_s = min(MAX_PROBE_BACKOFF_S, 2 * self.probe_backoff_s)

    def restore(self) -> None:
        """End the ejection and reset the probe backoff."""
        self.ejected = False
        self.next_probe_at_s = float("-inf")
        self.probe_backoff_s = INITIAL_PROBE_BACKOFF_S

    def freshness(self, now_s: float) -> float:
        """Return the weight of the last load report: 1 when new, falling to 0."""
        return max(0.0, 1 - (now_s - self.load_at_s) / LOAD_REPORT_LIFETIME_S)

    def in_flight(self, now_s: float) -> float:
        """Return the estimated number of calls at the upstream, running or queued."""
        return self.in_flight_at(self.freshness(now_s))

    def in_flight_at(self, freshness: float) -> float:
        """Return the same, for a weight of the last load report."""
        # Calls that other nodes sent.
        others = self.load.in_flight - self.outstanding_at_report
        return self.outstanding + others * freshness if others > 0 else self.outstanding


class UpstreamSelector:
    """Orders the upstreams of a service for one attempt of a call.

    Parameters
    ----------
    node : str
        Name of this node. Responses of the local upstream cross no link.
    zone : str
        Availability zone of this node.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ("_node", "_rng", "_zone", "_zone_policy")

    def __init__(self, node: str, zone: str, rng: random.Random) -> None:
        self._node = node
        self._zone = zone
        self._rng = rng
        self._zone_policy = ZonePolicy(zone, rng)

    def order_by_cost(
        self, profile: CallProfile, views: Sequence[UpstreamView], now_s: float
    ) -> list[UpstreamView]:
        """Return the upstreams to try, the best one first.

        The best one has the lowest cost, in the node's own zone unless leaving it pays.
        Ejected upstreams are returned only if all of them are ejected.
        """
        fallback_service_s = _fallback_service_s(profile.route, views)
        candidates = [view for view in views if not view.ejected]
        candidates = candidates or list(views)
        candidates = list(self._restrict_to_zone(profile, candidates, now_s))
        ranked = [
            self.rank_upstream(profile, view, fallback_service_s, now_s)
            for view in candidates
        ]
        ranked.sort(key=_cost_s)
        return self._zone_policy.order(profile.service, profile.size_bytes, ranked)

    def record_offer(self, service: str, view: UpstreamView, in_time: bool) -> None:
        """Record whether an upstream answered a call within its latency target."""
        self._zone_policy.record_offer(service, view.zone, in_time)

    def rank_upstream(
        self,
        profile: CallProfile,
        view: UpstreamView,
        fallback_service_s: float,
        now_s: float,
    ) -> RankedUpstream:
        """Return an upstream with the cost of sending a call to it.

        A response well within the latency target is as good as a faster one, so the
        cost is the risk of a late response and not the expected latency. The risks of a
        refusal and of a failure are added.
        """
        target_s = route_target_s(profile.route)
        # Computed once: the selection does this for each upstream of a service.
        freshness = view.freshness(now_s)
        latency_ratio = (
            self._expected_latency_s(
                profile, view, fallback_service_s, freshness, now_s
            )
            / target_s
        )
        latency_ratio *= 1 + JITTER_SHARE * self._rng.random()
        if latency_ratio <= 1:
            cost_s = target_s * latency_ratio**LATE_RISK_EXPONENT
        else:
            cost_s = target_s * (1 + LATE_COST_SLOPE * (latency_ratio - 1))
        if not view.load.accepting:
            cost_s += REFUSAL_COST_FACTOR * target_s * freshness
        if view.load.failure_share:
            failure_weight = max(0.2, freshness)
            cost_s += (
                FAILURE_COST_FACTOR
                * target_s
                * view.load.failure_share
                * failure_weight
            )
        return RankedUpstream(view, cost_s, latency_ratio)

    def _expected_latency_s(
        self,
        profile: CallProfile,
        view: UpstreamView,
        fallback_service_s: float,
        freshness: float,
        now_s: float,
    ) -> float:
        """Return the expected latency of a call, in seconds."""
        route = profile.route
        service_s = view.service_s.get(route.name, fallback_service_s)
        calls_per_slot = view.in_flight_at(freshness) / (view.load.slots or 1)
        expected_s = service_s
        if calls_per_slot > BUSY_SHARE:
            # 0 up to BUSY_SHARE, 1 once all slots are busy.
            saturation = (min(1.0, calls_per_slot) - BUSY_SHARE) / (1 - BUSY_SHARE)
            expected_s *= 1 + BUSY_SLOWDOWN * saturation + max(0.0, calls_per_slot - 1)
        if view.load.wait_s:
            rank = route.rank if profile.rank is None else profile.rank
            index = min(rank, len(view.load.wait_s) - 1)
            expected_s += view.load.wait_s[index] * freshness
        if view.zone != self._zone:
            expected_s += CROSS_ZONE_ROUND_TRIP_S
        if view.node != self._node:
            expected_s += _transfer_s(profile, view, now_s)
        return expected_s

    def _restrict_to_zone(
        self, profile: CallProfile, views: Sequence[UpstreamView], now_s: float
    ) -> Sequence[UpstreamView]:
        """Return the upstreams that a call may be sent to.

        A large call stays in its zone if an upstream there can serve it.
        """
        if profile.size_bytes < ZONE_BOUND_BYTES:
            return views
        max_transfer_s = MAX_TRANSFER_SHARE * route_target_s(profile.route)
        in_zone = [
            view
            for view in views
            if view.zone == self._zone
            and view.load.failure_share < FAILING_SHARE
            and (view.load.accepting or view.freshness(now_s) == 0)
            and _transfer_s(profile, view, now_s) < max_transfer_s
        ]
        return in_zone or views


def _cost_s(ranked: RankedUpstream) -> float:
    return ranked.cost_s


def _transfer_s(profile: CallProfile, view: UpstreamView, now_s: float) -> float:
    """Return the expected time on the upstream's network link, in seconds."""
    is_large = profile.size_bytes > CHUNK_BYTES
    queueing_s = view.load.egress_delay_s * view.freshness(now_s) if is_large else 0.0
    if view.link_mbps <= 0:
        return queueing_s
    bytes_per_s = usable_mbps(view.link_mbps) * BYTES_PER_MEGABIT
    return queueing_s + profile.size_bytes / bytes_per_s


def route_target_s(route: RouteSpec) -> float:
    """Return the latency target of a route, in seconds; at least 1 ms."""
    return max(route.target_latency_s, 0.001)


def _fallback_service_s(route: RouteSpec, views: Sequence[UpstreamView]) -> float:
    """Return the service time assumed of upstreams that have reported none.

    It is the mean over those that have, or else a share of the latency target.
    """
    name = route.name
    times_s = [view.service_s.get(name, None) for view in views]
    reported_s = [time_s for time_s in times_s if time_s is not None]
    if not reported_s:
        return route.target_latency_s * INITIAL_SERVICE_SHARE
    return sum(reported_s) / len(reported_s)
