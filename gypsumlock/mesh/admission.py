"""Decides which calls an upstream runs, in which order, and which are refused.

Load that this answers: more calls for one upstream than its slots can run in
time, of several ranks at once. The queue is pure: it knows no network and no
clock, and is driven by its owner.

Rules:
1. A call is taken only if it is expected to be answered by its latency target, with
   a margin for the spread of service times.
2. A call that can't be, but wants a late answer, waits behind all punctual ones,
   uses only slots that those don't need, and is taken only if its deadline leaves
   ample room: full slots make upstreams slow, and then punctual calls late.
3. All others are refused at once, with the time at which room is expected.
4. A call leaves those slots free that more urgent calls are about to need: long
   calls in all slots would make short urgent ones wait for the first to end.
5. Ranks go in order, within a rank the earliest target first: calls that upstreams
   make while they hold a slot have the shortest targets. The lowest waiting rank
   gets each `FLOOR_EVERY`th slot.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from gypsumlock.mesh.load_estimates import (
    DEMAND_WINDOW_S,
    FIRST_SERVICE_S,
    Demand,
    ServiceTimes,
    Urgency,
)

__all__ = [
    "DEADLINE_MARGIN_FACTOR",
    "AdmissionDecision",
    "AdmissionQueue",
    "Ticket",
    "TicketState",
]

# Largest share of the slots that is kept free for more urgent calls.
MAX_RESERVED_SHARE = 0.8
# Least share of the slots that is expected to be left by more urgent calls.
MIN_ROOM_SHARE = 0.1
# One of so many freed slots goes to the lowest waiting rank.
FLOOR_EVERY = 10
# A late call is taken if its expected wait fits so many times in what is left.
DEADLINE_MARGIN_FACTOR = 2.0
# Shortest return time told to a refused caller, in seconds.
MIN_RETRY_AFTER_S = 0.05
# An upstream counts as stalled after so many mean service times without an end.
STALL_SERVICES = 3.0
# Class of calls that can only be late: every punctual one goes before them.
LATE_URGENCY = (1_000_000, 0.0)
# Ranks for which a wait is reported; lower ones share the last.
REPORTED_RANKS = 4


class TicketState(Enum):
    """Where a call stands at the owner."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    DROPPED = "dropped"


@dataclass(slots=True, eq=False)
class Ticket:
    """One call that asks for a slot. Times are monotonic seconds."""

    route: str
    rank: int
    # Latency target of the route, in seconds.
    target_s: float
    late_ok: bool
    target_at_s: float
    deadline_at_s: float
    state: TicketState = TicketState.WAITING
    # True once the latency target can't be met any more.
    late: bool = False
    offered_at_s: float = 0.0
    # Expected time in the upstream, and one on the safe side, in seconds; set when
    # the ticket is offered.
    service_s: float = FIRST_SERVICE_S
    safe_s: float = FIRST_SERVICE_S

    @property
    def priority(self) -> Urgency:
        """Return the class of the call."""
        return (self.rank, self.target_s)

    def sort_key(self) -> tuple[bool, int, float]:
        """Return the sort key; smaller ones are served first."""
        return (self.late, self.rank, self.target_at_s)


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Answer to an offered call."""

    state: TicketState
    # For a refused call, time until room is expected, in seconds.
    retry_after_s: float = 0.0


class AdmissionQueue:
    """Slots of one upstream and the calls that wait for them."""

    __slots__ = (
        "_demand",
        "_progress_at_s",
        "_running",
        "_since_lowest",
        "_taken",
        "_waiting",
        "in_flight",
        "service_times",
        "slots",
    )

    def __init__(self) -> None:
        self.slots = 1
        self.in_flight = 0
        self.service_times = ServiceTimes()
        self._waiting: list[Ticket] = []
        self._since_lowest = 0
        self._progress_at_s = 0.0
        # What was asked for here, and the part of it that was not refused.
        self._demand = Demand()
        self._taken = Demand()
        # Calls at the upstream by class.
        self._running: Counter[Urgency] = Counter()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def offer(self, ticket: Ticket, now_s: float) -> AdmissionDecision:
        """Admit a call, let it wait, or refuse it.

        Parameters
        ----------
        ticket : Ticket
            The call. Its expected service time is set here.
        now_s : float
            Monotonic time.
        """
        ticket.offered_at_s = now_s
        ticket.service_s = self.service_times.of(ticket.route)
        ticket.safe_s = self.service_times.safe(ticket.route)
        self._demand.note(ticket.priority, ticket.service_s, now_s)
        verdict = self._judge(ticket, now_s)
        if verdict.state is not TicketState.DROPPED:
            self._taken.note(ticket.priority, ticket.service_s, now_s)
        return verdict

    def _judge(self, ticket: Ticket, now_s: float) -> AdmissionDecision:
        """Admit a call, let it wait, or refuse it."""
        if now_s + ticket.service_s > ticket.deadline_at_s:
            return self._refuse(ticket, 0.0)
        if self._has_slot(ticket) and not self._is_behind(ticket):
            ticket.late = now_s + ticket.service_s > ticket.target_at_s
            self._admit(ticket, now_s)
            return AdmissionDecision(TicketState.ADMITTED)
        wait_s = self.expected_wait_s(ticket.sort_key(), ticket.priority, now_s)
        end_s = now_s + wait_s + ticket.safe_s
        if end_s > ticket.target_at_s:
            if not ticket.late_ok:
                return self._refuse(ticket, end_s - ticket.target_at_s)
            ticket.late = True
            if self._demand.above(LATE_URGENCY) >= self.slots:
                return self._refuse(ticket, wait_s)
            wait_s = self.expected_wait_s(ticket.sort_key(), LATE_URGENCY, now_s)
            left_s = ticket.deadline_at_s - now_s - ticket.service_s
            if wait_s * DEADLINE_MARGIN_FACTOR > left_s:
                return self._refuse(ticket, wait_s)
        insort(self._waiting, ticket, key=Ticket.sort_key)
        return AdmissionDecision(TicketState.WAITING)

    def release(self, ticket: Ticket, now_s: float, service_s: float | None) -> None:
        """Free the slot of an admitted call.

        Parameters
        ----------
        ticket : Ticket
            The call that ended.
        now_s : float
            Monotonic time.
        service_s : float | None
            Time that it took, in seconds, if it was answered.
        """
        self.in_flight -= 1
        self._running[ticket.priority] -= 1
        self._progress_at_s = now_s
        if service_s is not None:
            self.service_times.note(ticket.route, service_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a call out that waits no longer."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        ticket.state = TicketState.DROPPED

    def dequeue(self, now_s: float) -> list[Ticket]:
        """Return the calls that left the queue: admitted, or dropped as hopeless."""
        left = self._drop_hopeless(now_s)
        while self._waiting and self.in_flight < self.slots:
            index = self._next_index()
            if index is None:
                break
            ticket = self._waiting.pop(index)
            self._admit(ticket, now_s)
            left.append(ticket)
        return left

    def expected_wait_s(
        self, order: tuple[bool, int, float], urgency: Urgency, now_s: float
    ) -> float:
        """Return the expected wait of a call, in seconds.

        Calls that are more urgent and have not come yet go before it too, so only
        the slots that those leave are counted.

        Parameters
        ----------
        order : tuple[bool, int, float]
            The call's sort key.
        urgency : tuple[int, float]
            Its class.
        now_s : float
            Monotonic time.
        """
        if self.in_flight < self.slots and not self._waiting:
            return 0.0
        ahead_s = 0.0
        for ticket in self._waiting:
            if ticket.sort_key() > order:
                break
            ahead_s += ticket.service_s
        mean_s = self.service_times.overall_mean_s
        stalled_s = now_s - self._progress_at_s - STALL_SERVICES * mean_s
        room = max(MIN_ROOM_SHARE * self.slots, self.slots - self._taken.above(urgency))
        return (ahead_s + mean_s) / room + max(0.0, stalled_s)

    def waits_by_rank(self, now_s: float) -> tuple[float, ...]:
        """Return the expected wait of a new call by rank, in seconds."""
        if self.in_flight < self.slots:
            return ()
        last = float("inf")
        return tuple(
            round(self.expected_wait_s((False, rank, last), (rank, 0.0), now_s), 4)
            for rank in range(REPORTED_RANKS)
        )

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        if self.in_flight == 0:
            self._progress_at_s = now_s
        ticket.state = TicketState.ADMITTED
        self.in_flight += 1
        self._running[ticket.priority] += 1

    def _has_slot(self, ticket: Ticket) -> bool:
        """Tell whether a call may start without taking a more urgent one's slot."""
        free = self.slots - self.in_flight
        if free <= 0:
            return False
        urgency = LATE_URGENCY if ticket.late else ticket.priority
        share = 1.0 if ticket.late else MAX_RESERVED_SHARE
        expected = self._demand.above(urgency)
        wanted = min(round(expected + math.sqrt(expected)), share * self.slots)
        running = sum(
            count for known, count in self._running.items() if known < urgency
        )
        return free > wanted - running

    def _is_behind(self, ticket: Ticket) -> bool:
        """Tell whether a waiting call goes before this one."""
        return bool(self._waiting) and self._waiting[0].sort_key() <= ticket.sort_key()

    def _refuse(self, ticket: Ticket, over_s: float) -> AdmissionDecision:
        ticket.state = TicketState.DROPPED
        asked = self._demand.above(LATE_URGENCY)
        # Demand beyond the slots has to fade before anybody finds room.
        fade_s = DEMAND_WINDOW_S * max(0.0, 1 - self.slots / max(asked, 1e-9))
        return AdmissionDecision(
            TicketState.DROPPED, max(MIN_RETRY_AFTER_S, over_s + fade_s)
        )

    def _drop_hopeless(self, now_s: float) -> list[Ticket]:
        """Drop calls that can't be answered in time; demote those that may be late.

        A call that wants no late answer is dropped while it can still go elsewhere.
        """
        dropped: list[Ticket] = []
        demoted: list[Ticket] = []
        kept: list[Ticket] = []
        for ticket in self._waiting:
            if now_s + ticket.service_s > ticket.deadline_at_s:
                ticket.state = TicketState.DROPPED
                dropped.append(ticket)
            elif now_s + ticket.safe_s > ticket.target_at_s and not ticket.late:
                ticket.late = True
                if ticket.late_ok:
                    demoted.append(ticket)
                else:
                    ticket.state = TicketState.DROPPED
                    dropped.append(ticket)
            else:
                kept.append(ticket)
        self._waiting = kept
        for ticket in demoted:
            insort(self._waiting, ticket, key=Ticket.sort_key)
        return dropped

    def _next_index(self) -> int | None:
        """Return the place of the call that gets a free slot, if any gets it."""
        lowest = max(
            range(len(self._waiting)),
            key=lambda index: (
                not self._waiting[index].late,
                self._waiting[index].rank,
                -index,
            ),
        )
        first = next(
            (i for i, ticket in enumerate(self._waiting) if self._has_slot(ticket)),
            None,
        )
        if (
            first is not None
            and self._waiting[first].rank >= self._waiting[lowest].rank
        ):
            self._since_lowest = 0
            return first
        self._since_lowest += 1
        if self._since_lowest < FLOOR_EVERY:
            return first
        self._since_lowest = 0
        return lowest
