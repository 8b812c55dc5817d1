"""Simulates a service of many upstreams and the nodes that call it.

Admission and selection are the real ones; the clock is simulated. A call is offered to
owners one after another, as the dispatcher does, and a refused client returns once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gypsumlock.mesh.admission import AdmissionQueue
from gypsumlock.mesh.caller import MAX_LATE_OFFERS, MAX_ON_TIME_OFFERS
from gypsumlock.mesh.model import OwnerLoad, RouteSpec, ServiceShare
from gypsumlock.mesh.placement import CallProfile, UpstreamSelector, UpstreamView
from gypsumlock.mesh.request_age import RequestAgeEstimator
from gypsumlock.mesh.return_time import choose_return_s
from gypsumlock.mesh.ticket import Ticket, TicketState

__all__ = ["ClassLoad", "WideService"]

# Spread of the service times of a class: standard deviation of their logarithm.
SERVICE_SPREAD = 0.5
# Interval at which owners drop waiting calls that can't be answered in time.
SWEEP_INTERVAL_S = 0.03
CALL_BYTES = 500.0
# Largest share of the time left that a client waits before it returns.
MAX_RETURN_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Calls of one route, which arrive as a Poisson process."""

    rank: int
    calls_per_s: float
    service_s: float
    target_s: float
    deadline_s: float
    # Share by which the timeouts of clients fall short of the deadline at most.
    timeout_spread: float = 0.0

    @property
    def route(self) -> RouteSpec:
        """The route of these calls."""
        return RouteSpec(
            name=f"rank-{self.rank}",
            host="a.example",
            prefix="/",
            repeatable=True,
            timeout_s=self.deadline_s,
            target_latency_s=self.target_s,
            rank=self.rank,
            max_attempts=2,
            shares=(ServiceShare("wide", 1.0),),
        )


@dataclass(slots=True)
class SimulatedUpstream:
    """An upstream and the queue of its owner."""

    name: str
    queue: AdmissionQueue
    # Service times are multiplied by this factor.
    slowness: float
    waiting: dict[Ticket, SimulatedCall] = field(default_factory=dict)

    def load(self, route: str, now_s: float) -> OwnerLoad:
        """Return the load that the owner reports with each outcome."""
        return OwnerLoad(
            slots=self.queue.slots,
            in_flight=self.queue.in_flight + self.queue.waiting,
            wait_s=self.queue.waits_by_rank(now_s),
            service_s=self.queue.service_times.observed_mean_s(route),
        )


@dataclass(slots=True)
class SimulatedCaller:
    """A node that calls the service, and what it knows."""

    selector: UpstreamSelector
    views: dict[str, UpstreamView]
    ages: RequestAgeEstimator = field(default_factory=RequestAgeEstimator)


@dataclass(slots=True)
class SimulatedCall:
    """One call of a client."""

    load: ClassLoad
    caller: SimulatedCaller
    arrived_at_s: float
    # The client's deadline, and the end of the latency target as its node sees it.
    deadline_at_s: float
    target_at_s: float = 0.0
    late_ok: bool = False
    # Owners still to be asked in this round of offers.
    candidates: list[UpstreamView] = field(default_factory=list)
    offers: int = 0
    # Times that the owners told after which they expect room.
    room_after_s: list[float] = field(default_factory=list)
    returned: bool = False


class WideService:
    """A service of many upstreams, called by many nodes.

    Parameters
    ----------
    upstreams : int
        Number of upstreams.
    callers : int
        Number of nodes that call the service.
    slots : int
        Slots of each upstream.
    slowness : sequence of float
        Factors of the service times, dealt out to the upstreams in turn.
    """

    def __init__(
        self, upstreams: int, callers: int, slots: int, slowness: Sequence[float]
    ) -> None:
        self.rng = random.Random(11)
        self.upstreams = {}
        for index, factor in zip(range(upstreams), itertools.cycle(slowness)):
            queue = AdmissionQueue()
            queue.slots = slots
            name = f"n-{index}"
            self.upstreams[name] = SimulatedUpstream(name, queue, factor)
        self.callers = [self._make_caller(f"c-{index}") for index in range(callers)]
        self.offered: Counter[int] = Counter()
        self.on_time: Counter[int] = Counter()
        self.late: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        # Refused calls of each rank, while a tenth of all slots or more was idle.
        self.refused_beside_idle_slots: Counter[int] = Counter()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def run(self, loads: Sequence[ClassLoad], duration_s: float) -> None:
        """Offer the loads for some seconds, and finish the last calls."""
        for load in loads:
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(load.calls_per_s)) < duration_s:
                self._schedule(at_s, self._make_arrival(load))
        self._schedule(SWEEP_INTERVAL_S, self._sweep(duration_s))
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            action(at_s)

    def on_time_share(self, rank: int) -> float:
        """Return the share of a rank's calls that was answered within its target."""
        return self.on_time[rank] / self.offered[rank]

    def capacity_slots(self) -> float:
        """Return the number of slots, each weighted with the speed of its upstream."""
        return sum(
            upstream.queue.slots / upstream.slowness
            for upstream in self.upstreams.values()
        )

    # --- calls ---

    def _make_caller(self, name: str) -> SimulatedCaller:
        selector = UpstreamSelector(name, "a", self.rng)
        views = {node: UpstreamView(node, f"i-{node}", "a") for node in self.upstreams}
        return SimulatedCaller(selector, views)

    def _make_arrival(self, load: ClassLoad) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            self.offered[load.rank] += 1
            caller = self.rng.choice(self.callers)
            timeout_s = load.deadline_s * (1 - load.timeout_spread * self.rng.random())
            call = SimulatedCall(load, caller, now_s, now_s + timeout_s)
            self._start_attempt(call, now_s)

        return arrive

    def _start_attempt(self, call: SimulatedCall, now_s: float) -> None:
        """Offer an attempt of a call to owners, as one of the age that it seems."""
        load = call.load
        age_s = call.caller.ages.age_s(
            load.route.name, call.deadline_at_s - now_s, now_s
        )
        call.target_at_s = now_s + load.target_s - age_s
        call.offers = 0
        call.late_ok = now_s >= call.target_at_s
        max_offers = MAX_LATE_OFFERS if call.late_ok else MAX_ON_TIME_OFFERS
        self._rank_candidates(call, max_offers, now_s)
        self._offer_next(call, now_s)

    def _rank_candidates(
        self, call: SimulatedCall, max_offers: int, now_s: float
    ) -> None:
        profile = CallProfile(call.load.route, CALL_BYTES)
        views = list(call.caller.views.values())
        ranked = call.caller.selector.order_by_cost(profile, views, now_s)
        call.candidates = ranked[:max_offers]

    def _offer_next(self, call: SimulatedCall, now_s: float) -> None:
        """Offer a call until an owner admits or queues it."""
        while True:
            if not call.candidates and not call.late_ok:
                call.late_ok = True
                self._rank_candidates(call, MAX_LATE_OFFERS, now_s)
            if not call.candidates:
                self._refuse(call, now_s)
                return
            view = call.candidates.pop(0)
            ticket = self._make_ticket(call)
            upstream = self.upstreams[view.node]
            view.outstanding += 1
            call.offers += 1
            decision = upstream.queue.offer(ticket, now_s)
            state = decision.state
            if state is TicketState.ADMITTED:
                self._start(call, ticket, upstream, now_s)
                return
            if state is TicketState.WAITING:
                upstream.waiting[ticket] = call
                return
            call.room_after_s.append(decision.retry_after_s)
            self._record_outcome(call, upstream, now_s)

    def _make_ticket(self, call: SimulatedCall) -> Ticket:
        load = call.load
        return Ticket(
            route=load.route.name,
            rank=load.rank,
            target_s=load.target_s,
            late_ok=call.late_ok,
            target_at_s=call.target_at_s,
            deadline_at_s=call.deadline_at_s,
            first_offer=call.offers == 0,
        )

    def _start(
        self,
        call: SimulatedCall,
        ticket: Ticket,
        upstream: SimulatedUpstream,
        now_s: float,
    ) -> None:
        spread = self.rng.lognormvariate(-(SERVICE_SPREAD**2) / 2, SERVICE_SPREAD)
        service_s = call.load.service_s * upstream.slowness * spread

        def finish(end_s: float) -> None:
            self._count_answer(call, end_s)
            upstream.queue.release(ticket, end_s, service_s)
            self._record_outcome(call, upstream, end_s)
            self._dequeue(upstream, end_s)

        self._schedule(now_s + service_s, finish)

    def _dequeue(self, upstream: SimulatedUpstream, now_s: float) -> None:
        for ticket in upstream.queue.dequeue(now_s):
            call = upstream.waiting.pop(ticket)
            if ticket.state is TicketState.ADMITTED:
                self._start(call, ticket, upstream, now_s)
            else:
                self._record_outcome(call, upstream, now_s)
                self._offer_next(call, now_s)

    def _sweep(self, end_s: float) -> Callable[[float], None]:
        def sweep(now_s: float) -> None:
            for upstream in self.upstreams.values():
                self._dequeue(upstream, now_s)
            if now_s < end_s:
                self._schedule(now_s + SWEEP_INTERVAL_S, sweep)

        return sweep

    def _record_outcome(
        self, call: SimulatedCall, upstream: SimulatedUpstream, now_s: float
    ) -> None:
        view = call.caller.views[upstream.name]
        view.outstanding -= 1
        route = call.load.route.name
        view.record_load(route, upstream.load(route, now_s), now_s)

    def _refuse(self, call: SimulatedCall, now_s: float) -> None:
        """Count a refusal; the client returns once after the time it was told."""
        if not call.returned:
            left_s = call.deadline_at_s - now_s
            first_s, last_s = min(call.room_after_s), max(call.room_after_s)
            return_s = choose_return_s(first_s, last_s, self.rng)
            delay_s = min(return_s, MAX_RETURN_SHARE * left_s)
            self._schedule(now_s + delay_s, lambda at_s: self._return(call, at_s))
            return
        self.refused[call.load.rank] += 1
        queues = [upstream.queue for upstream in self.upstreams.values()]
        idle_slots = sum(queue.slots - queue.in_flight for queue in queues)
        if idle_slots >= 0.1 * sum(queue.slots for queue in queues):
            self.refused_beside_idle_slots[call.load.rank] += 1

    def _return(self, call: SimulatedCall, now_s: float) -> None:
        call.returned = True
        self._start_attempt(call, now_s)

    def _count_answer(self, call: SimulatedCall, now_s: float) -> None:
        took_s = now_s - call.arrived_at_s
        if took_s <= call.load.target_s:
            self.on_time[call.load.rank] += 1
        elif now_s <= call.deadline_at_s:
            self.late[call.load.rank] += 1

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))
