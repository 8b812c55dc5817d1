"""Decides when a call leaves its availability zone, and how many calls do.

Designed for demand that is uneven between zones: one zone has too few slots for a
moment, while upstreams of another one are idle. Traffic between zones is slower and
costs money, so a call leaves only if its caller gains from that. The policy does no
I/O and reads no clock.

Rules:
1. A call stays while an upstream of its zone is expected to answer it well within its
   latency target, and while its zone has not refused such calls lately.
2. Otherwise it leaves if the other zone's advantage exceeds the price of its bytes.
   The threshold for leaving is higher than the one for staying away, so that calls
   don't alternate between zones.
3. Only a share of those calls is sent to another zone. The share grows with each call
   that the zone answers in time, and is halved by each that it refuses, or that its
   links deliver late: all nodes of a zone run short at the same moment, and would
   otherwise overload the other zone together.
4. A call that its own zone refused is offered to another one after that, whatever the
   share, so that the policy notices when the other zone has capacity again.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumlock.mesh.recent_table import RecentTable

if TYPE_CHECKING:
    from gypsumlock.mesh.placement import UpstreamView

__all__ = ["RankedUpstream", "ZonePolicy"]

# Ratio of the expected latency to the latency target above which calls leave their
# zone, and below which they stay again. Service times spread by about half of their
# mean, so a call that is expected at the first is late in about one of ten cases.
LEAVE_LATENCY_RATIO = 0.65
STAY_LATENCY_RATIO = 0.45
# Share of refused calls above which the own zone counts as short of slots, and below
# which it no longer does.
LEAVE_REFUSED_SHARE = 0.3
STAY_REFUSED_SHARE = 0.1
# Share of failed calls above which an upstream counts as unable to serve its zone.
LEAVE_FAILURE_SHARE = 0.1
# Weight of the newest call in the moving average of refused calls.
REFUSED_EWMA_WEIGHT = 0.1
# Extra time that a call may wait in its own zone to keep one KiB from crossing zones,
# in seconds.
CROSS_ZONE_COST_S_PER_KIB = 0.006
# Bounds of the share of calls that leave, its growth for each call that another zone
# answers in time, and the factor for each other one.
MAX_LEAVING_SHARE = 1.0
MIN_LEAVING_SHARE = 0.05
SHARE_INCREASE = 0.05
SHARE_DECREASE_FACTOR = 0.5
# Upstreams of the own zone that a call is offered to before those of other zones.
LOCAL_OFFERS = 2


@dataclass(frozen=True, slots=True)
class RankedUpstream:
    """An upstream that a call may be sent to, with what the call can expect there."""

    view: UpstreamView
    # Risk of a late response, a refusal and a failure, in seconds.
    cost_s: float
    # Ratio of the expected latency to the latency target.
    latency_ratio: float


class _ServiceState:
    """What was learnt of one service from the calls of this node."""

    __slots__ = ("leaving", "refused_share", "shares")

    def __init__(self) -> None:
        # True while calls leave the zone where that pays.
        self.leaving = False
        # Moving average of the calls that the own zone refused.
        self.refused_share = 0.0
        # Share of calls that may be sent to each other zone.
        self.shares: dict[str, float] = {}


class ZonePolicy:
    """Orders the upstreams of a service by zone, for one node.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    rng : random.Random
        Decides which calls belong to the share that leaves.
    """

    __slots__ = ("_rng", "_states", "_zone")

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._states: RecentTable[str, _ServiceState] = RecentTable()

    def order(
        self, service: str, size_bytes: float, ranked: Sequence[RankedUpstream]
    ) -> list[UpstreamView]:
        """Return the upstreams in the order in which a call is offered to them.

        Parameters
        ----------
        service : str
            Service of the call.
        size_bytes : float
            Expected size of the request and the response together.
        ranked : Sequence[RankedUpstream]
            The upstreams, the one with the lowest cost first.
        """
        local = [x for x in ranked if x.view.zone == self._zone]
        remote = [x for x in ranked if x.view.zone != self._zone]
        if not local or not remote:
            return [x.view for x in ranked]
        if self._leaves(service, size_bytes, local[0], remote[0]):
            offered = [remote[0], *local[:1], *remote[1:], *local[1:]]
        else:
            offered = [*local[:LOCAL_OFFERS], *remote, *local[LOCAL_OFFERS:]]
        return [x.view for x in offered]

    def record_offer(self, service: str, zone: str, in_time: bool) -> None:
        """Record whether a zone answered a call within its latency target.

        Parameters
        ----------
        service : str
            Service of the call.
        zone : str
            Zone of the upstream that the call was offered to.
        in_time : bool
            False if it was refused there, or answered too late.
        """
        state = self._state(service)
        if zone == self._zone:
            state.refused_share += REFUSED_EWMA_WEIGHT * (
                (not in_time) - state.refused_share
            )
            return
        share = state.shares.get(zone, MAX_LEAVING_SHARE)
        if in_time:
            share = min(MAX_LEAVING_SHARE, share + SHARE_INCREASE)
        else:
            share = max(MIN_LEAVING_SHARE, share * SHARE_DECREASE_FACTOR)
        state.shares[zone] = share

    def leaving_share(self, service: str, zone: str) -> float:
        """Return the share of the calls short of slots that may go to a zone."""
        return self._state(service).shares.get(zone, MAX_LEAVING_SHARE)

    def _leaves(
        self,
        service: str,
        size_bytes: float,
        local: RankedUpstream,
        remote: RankedUpstream,
    ) -> bool:
        """Return whether a call is offered to another zone first."""
        state = self._state(service)
        max_ratio = STAY_LATENCY_RATIO if state.leaving else LEAVE_LATENCY_RATIO
        max_refused = STAY_REFUSED_SHARE if state.leaving else LEAVE_REFUSED_SHARE
        state.leaving = (
            local.latency_ratio > max_ratio or state.refused_share > max_refused
        )
        price_s = CROSS_ZONE_COST_S_PER_KIB * size_bytes / 1024
        if local.cost_s - remote.cost_s <= price_s:
            return False
        if not state.leaving and not _is_unfit(local):
            return False
        return self._rng.random() < self.leaving_share(service, remote.view.zone)

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service, None)
        if state is None:
            state = _ServiceState()
            self._states[service] = state
        return state


def _is_unfit(upstream: RankedUpstream) -> bool:
    """Return whether even the best upstream of the zone fails or refuses calls."""
    load = upstream.view.load
    return not load.accepting or load.failure_share > LEAVE_FAILURE_SHARE
