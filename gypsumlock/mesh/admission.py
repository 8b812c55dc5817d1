"""Admits calls to one upstream, queues them in order of priority, or refuses them.

Designed for overload: more calls for one upstream than its slots can serve in time,
of several ranks at once. The queue does no I/O and reads no clock; its owner (the
node beside the upstream) passes the time in.

Rules:
1. A call is accepted if its response is expected within its latency target, with a
   margin for the spread of service times.
2. A call that will miss its target, but whose caller accepts a late response, waits
   behind all calls that are still on time, uses only slots that those don't need, and
   is accepted only if its expected wait leaves an ample margin before its deadline:
   an upstream with all slots busy slows down, and then calls that were on time
   become late too.
3. Every other call is refused at once, with the time after which a free slot is
   expected.
4. A call may not take slots that more urgent calls are expected to need soon, if those
   calls can't wait until slots become free: if long calls held all slots, short urgent
   ones would miss their targets. Urgent calls that can wait go to the head of the queue
   instead, and no slot stays idle for them.
5. Calls are served in order of rank, and within a rank by the earliest target, since
   calls that upstreams make while they hold a slot have the shortest targets. One of
   every `LOWEST_RANK_INTERVAL` slots goes to the lowest waiting rank.
6. Organisations of one rank get equal shares of the slots that they wait for; see
   `FairShares`.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter

from gypsumlock.mesh.load_estimates import (
    DEMAND_WINDOW_S,
    Priority,
    ServiceTimes,
    SlotDemand,
)
from gypsumlock.mesh.ticket import AdmissionDecision, Ticket, TicketState
from gypsumlock.organisations.fair_queue import FairShares

__all__ = ["DEADLINE_MARGIN_FACTOR", "AdmissionQueue"]

# Largest share of the slots that is kept free for more urgent calls.
MAX_RESERVED_SHARE = 0.8
# Smallest share of the slots that more urgent calls are assumed to leave available.
MIN_AVAILABLE_SHARE = 0.1
# Calls whose latency targets leave at least this many mean intervals between two slots
# becoming free are queued; no slots are kept free for them.
QUEUEABLE_INTERVALS = 4.0
# The lowest waiting rank gets one of this many freed slots.
LOWEST_RANK_INTERVAL = 10
# A late call is accepted only if its expected wait, multiplied by this factor, fits
# into the time that its deadline leaves for waiting.
DEADLINE_MARGIN_FACTOR = 2.0
# Shortest retry delay that is returned with a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.05
# Shortest time before its deadline at which a waiting call is dropped, in seconds: the
# time until the next check and for the way of the refusal to the client.
REFUSAL_LEAD_S = 0.05
# An upstream counts as stalled if no call ends for this many mean service times.
STALL_SERVICE_TIMES = 3.0
# Priority of calls that can only be answered late: less urgent than all on-time calls.
LATE_PRIORITY = (1_000_000, 0.0)
# Ranks for which an expected wait is reported; lower ranks share the last value.
REPORTED_RANKS = 4


class AdmissionQueue:
    """Slots of one upstream and the queue of calls that wait for them."""

    __slots__ = (
        "_accepted_demand",
        "_fair_shares",
        "_in_flight_by_priority",
        "_last_progress_at_s",
        "_offered_demand",
        "_slots_since_lowest_rank",
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
        self._fair_shares = FairShares()
        # Free slots since the last one that went to the lowest waiting rank.
        self._slots_since_lowest_rank = 0
        # When a call last ended, or started at an idle upstream.
        self._last_progress_at_s = 0.0
        # Demand of all offered calls, and of those that were not refused on arrival.
        self._offered_demand = SlotDemand()
        self._accepted_demand = SlotDemand()
        self._in_flight_by_priority: Counter[Priority] = Counter()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def offer(self, ticket: Ticket, now_s: float) -> AdmissionDecision:
        """Admit a call, queue it, or refuse it.

        Parameters
        ----------
        ticket : Ticket
            The call. Its service time estimates are set here.
        now_s : float
            Monotonic time.
        """
        ticket.offered_at_s = now_s
        ticket.service_s = self.service_times.expected_s(ticket.route)
        ticket.conservative_service_s = self.service_times.conservative_s(ticket.route)
        if ticket.first_offer:
            self._offered_demand.record(ticket.priority, ticket.service_s, now_s)
        decision = self._decide(ticket, now_s)
        if decision.state is not TicketState.DROPPED:
            self._accepted_demand.record(ticket.priority, ticket.service_s, now_s)
        return decision

    def _decide(self, ticket: Ticket, now_s: float) -> AdmissionDecision:
        """Admit a call, queue it, or refuse it; demand is recorded by the caller."""
        if now_s + ticket.service_s > ticket.deadline_at_s:
            return self._refuse(ticket, 0.0, now_s)
        if self._may_take_slot(ticket, now_s) and not self._has_call_ahead(ticket):
            ticket.late = now_s + ticket.service_s > ticket.target_at_s
            self._admit(ticket, now_s)
            return AdmissionDecision(TicketState.ADMITTED)
        wait_s = self.expected_wait_s(ticket.sort_key(), ticket.priority, now_s, ticket)
        end_at_s = now_s + wait_s + ticket.conservative_service_s
        if end_at_s > ticket.target_at_s:
            if not ticket.late_ok:
                return self._refuse(ticket, end_at_s - ticket.target_at_s, now_s)
            ticket.late = True
            if self._offered_demand.slots_above(LATE_PRIORITY, now_s) >= self.slots:
                return self._refuse(ticket, wait_s, now_s)
            wait_s = self.expected_wait_s(
                ticket.sort_key(), LATE_PRIORITY, now_s, ticket
            )
            max_wait_s = ticket.deadline_at_s - now_s - ticket.service_s
            if wait_s * DEADLINE_MARGIN_FACTOR > max_wait_s:
                return self._refuse(ticket, wait_s, now_s)
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
            Its service time in seconds, or None if it was not answered.
        """
        self.in_flight -= 1
        self._in_flight_by_priority[ticket.priority] -= 1
        self._last_progress_at_s = now_s
        if service_s is not None:
            self.service_times.record(ticket.route, service_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a call from the queue and mark it as dropped."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        ticket.state = TicketState.DROPPED

    def dequeue(self, now_s: float) -> list[Ticket]:
        """Remove and return the calls that are admitted now or have to be dropped.

        A call is dropped once it can no longer be answered in time.
        """
        removed = self._drop_or_demote_late(now_s) + self._drop_displaced(now_s)
        while self._waiting and self.in_flight < self.slots:
            index = self._next_index(now_s)
            if index is None:
                break
            index = self._fair_shares.pick(
                self._waiting, index, lambda x: self._may_take_slot(x, now_s)
            )
            ticket = self._waiting.pop(index)
            self._admit(ticket, now_s)
            removed.append(ticket)
        return removed

    def expected_wait_s(
        self,
        sort_key: tuple[bool, int, float],
        priority: Priority,
        now_s: float,
        ticket: Ticket | None = None,
    ) -> float:
        """Return the expected wait of a call for a slot, in seconds.

        More urgent calls that have not arrived yet will be served before it too, so
        only the slots that those leave available are counted.

        Parameters
        ----------
        sort_key : tuple[bool, int, float]
            Sort key of the call; see `Ticket.sort_key`.
        priority : tuple[int, float]
            Rank and latency target of the call.
        now_s : float
            Monotonic time.
        ticket : Ticket | None
            The call; None if its organisation doesn't matter.
        """
        if self.in_flight < self.slots and not self._waiting:
            return 0.0
        if ticket is not None and self._has_organisations(ticket):
            ahead_s = self._fair_shares.work_ahead_s(self._waiting, ticket)
        else:
            ahead_s = 0.0
            for other in self._waiting:
                if other.sort_key() > sort_key:
                    break
                ahead_s += other.service_s
        mean_s = self.service_times.overall_mean_s
        stalled_s = now_s - self._last_progress_at_s - STALL_SERVICE_TIMES * mean_s
        available_slots = max(
            MIN_AVAILABLE_SHARE * self.slots,
            self.slots - self._accepted_demand.slots_above(priority, now_s),
        )
        return (ahead_s + mean_s) / available_slots + max(0.0, stalled_s)

    def waits_by_rank(self, now_s: float) -> tuple[float, ...]:
        """Return the expected wait of a new call for each rank, in seconds.

        The result is empty while a slot is free.
        """
        if self.in_flight < self.slots:
            return ()
        # Sorts behind every waiting call of the same rank.
        target_at_s = float("inf")
        return tuple(
            round(
                self.expected_wait_s((False, rank, target_at_s), (rank, 0.0), now_s), 4
            )
            for rank in range(REPORTED_RANKS)
        )

    def _has_organisations(self, ticket: Ticket) -> bool:
        """Return whether a call, or one that waits, belongs to an organisation."""
        return bool(ticket.organisation) or any(x.organisation for x in self._waiting)

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        if self.in_flight == 0:
            self._last_progress_at_s = now_s
        ticket.state = TicketState.ADMITTED
        self.in_flight += 1
        self._in_flight_by_priority[ticket.priority] += 1

    def _may_take_slot(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a slot is free beyond those kept for more urgent calls."""
        free_slots = self.slots - self.in_flight
        if free_slots <= 0:
            return False
        if ticket.late:
            priority, max_share, max_slack_s = LATE_PRIORITY, 1.0, math.inf
        else:
            priority, max_share = ticket.priority, MAX_RESERVED_SHARE
            # Interval at which slots become free if calls like this one hold them all.
            slot_interval_s = ticket.service_s / self.slots
            max_slack_s = QUEUEABLE_INTERVALS * slot_interval_s
        expected_slots = self._offered_demand.slots_above(priority, now_s, max_slack_s)
        reserved_slots = min(
            round(expected_slots + math.sqrt(expected_slots)), max_share * self.slots
        )
        used_slots = sum(
            self._in_flight_by_priority[other]
            for other in self._offered_demand.classes_above(priority, max_slack_s)
        )
        return free_slots > reserved_slots - used_slots

    def _has_call_ahead(self, ticket: Ticket) -> bool:
        """Return whether a waiting call is served before this one."""
        return bool(self._waiting) and self._waiting[0].sort_key() <= ticket.sort_key()

    def _refuse(
        self, ticket: Ticket, delay_s: float, now_s: float
    ) -> AdmissionDecision:
        ticket.state = TicketState.DROPPED
        demand_slots = self._offered_demand.slots_above(LATE_PRIORITY, now_s)
        # No call finds a free slot until demand in excess of the slots has decayed.
        decay_s = DEMAND_WINDOW_S * max(0.0, 1 - self.slots / max(demand_slots, 1e-9))
        return AdmissionDecision(
            TicketState.DROPPED, max(MIN_RETRY_AFTER_S, delay_s + decay_s)
        )

    def _drop_or_demote_late(self, now_s: float) -> list[Ticket]:
        """Drop waiting calls that can't be answered in time; return the dropped ones.

        A call that will miss its latency target moves behind those that are still on
        time if its caller accepts a late response. Otherwise it is dropped, while it
        can still be sent to another upstream.
        """
        dropped: list[Ticket] = []
        demoted: list[Ticket] = []
        kept: list[Ticket] = []
        for ticket in self._waiting:
            needed_s = max(ticket.service_s, REFUSAL_LEAD_S)
            if now_s + needed_s > ticket.deadline_at_s:
                ticket.state = TicketState.DROPPED
                dropped.append(ticket)
            elif (
                now_s + ticket.conservative_service_s > ticket.target_at_s
                and not ticket.late
            ):
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

    def _drop_displaced(self, now_s: float) -> list[Ticket]:
        """Drop calls that will be late since other organisations go first.

        They can still be sent to another upstream now.
        """
        dropped: list[Ticket] = []
        for ticket in self._fair_shares.last_of_largest(self._waiting):
            wait_s = self.expected_wait_s(
                ticket.sort_key(), ticket.priority, now_s, ticket
            )
            end_at_s = now_s + wait_s + ticket.service_s
            if not ticket.late_ok and end_at_s > ticket.target_at_s:
                self.withdraw(ticket)
                dropped.append(ticket)
        return dropped

    def _next_index(self, now_s: float) -> int | None:
        """Return the index of the waiting call that gets a free slot.

        None if the slots that are left are kept for more urgent calls.
        """
        lowest_index = max(
            range(len(self._waiting)),
            key=lambda index: (
                not self._waiting[index].late,
                self._waiting[index].rank,
                -index,
            ),
        )
        first_index = next(
            (
                i
                for i, ticket in enumerate(self._waiting)
                if self._may_take_slot(ticket, now_s)
            ),
            None,
        )
        if (
            first_index is not None
            and self._waiting[first_index].rank >= self._waiting[lowest_index].rank
        ):
            self._slots_since_lowest_rank = 0
            return first_index
        self._slots_since_lowest_rank += 1
        if self._slots_since_lowest_rank < LOWEST_RANK_INTERVAL:
            return first_index
        self._slots_since_lowest_rank = 0
        return lowest_index
