"""Fair order of the calls of one rank that wait for the slots of an upstream.

Designed for one organisation that sends many times what the upstream can serve, beside
others of its rank that send little. Start-time fair queueing: each organisation has a
start tag, the virtual time at which its next call begins. The call with the smallest
tag is served next, which moves the tag of its organisation on by its service time; an
organisation that begins to wait starts at the current virtual time. An organisation
gains no claim while it does not wait, and owes nothing for slots that nobody else
wanted.

The expected wait follows the same order, so that the organisation that holds most of
the queue is refused first. Calls that others have displaced so far that they would be
late are its last ones, too.

Calls without an organisation form one class. They include the calls that upstreams make
while they hold a slot: such a call goes first if its latency target is shorter and ends
earlier, and moves no tag, as its caller's organisation was served already. Within a
class, calls are served by the earliest target. Without organisations nothing differs
from that order.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from itertools import takewhile

from gypsumlock.mesh.ticket import Ticket

__all__ = ["FairShares"]

# Tags that are kept of organisations that do not wait, but were served beyond the
# virtual time: as many as there are waiting ones, and these.
EXTRA_TAGS = 16


@dataclass(slots=True)
class _RankShares:
    """Virtual time of one rank, and the tags of its organisations."""

    # Start tag of the call that was served last, in seconds of service.
    virtual_s: float = 0.0
    # Start tags that are later than the virtual time.
    start_s: dict[str, float] = field(default_factory=dict)

    def start_tag_s(self, organisation: str) -> float:
        """Return the virtual time at which an organisation's next call begins."""
        return max(self.virtual_s, self.start_s.get(organisation, 0.0))


class FairShares:
    """What the waiting organisations of each rank have been served.

    Organisations that wait have a tag, and about as many that were served lately: one
    that always has a single call waits again at once. Nothing is kept of a rank while
    only one waits.
    """

    __slots__ = ("_by_rank",)

    def __init__(self) -> None:
        self._by_rank: dict[int, _RankShares] = {}

    def __len__(self) -> int:
        """Return the number of organisations with a tag of their own."""
        return sum(len(shares.start_s) for shares in self._by_rank.values())

    def pick(
        self,
        waiting: Sequence[Ticket],
        first: int,
        is_eligible: Callable[[Ticket], bool],
    ) -> int:
        """Return the index of the call that is served next, and count it as served.

        Parameters
        ----------
        waiting : Sequence[Ticket]
            The waiting calls, sorted by `Ticket.sort_key`.
        first : int
            Index of the call that is next without regard to organisations. Only calls
            of its rank are chosen from.
        is_eligible : Callable[[Ticket], bool]
            Returns whether a call may take the free slot. If the first one may not, the
            slot is a share of its rank's own, and every call of the rank may.
        """
        group = _group_of(waiting[first])
        is_own_share = not is_eligible(waiting[first])
        heads: dict[str, int] = {}
        for index in range(first, len(waiting)):
            ticket = waiting[index]
            if _group_of(ticket) != group:
                break
            if ticket.organisation not in heads and (
                index == first or is_own_share or is_eligible(ticket)
            ):
                heads[ticket.organisation] = index
        rank = waiting[first].rank
        if len(heads) == 1:
            self._by_rank.pop(rank, None)
            return first
        shares = self._by_rank.setdefault(rank, _RankShares())
        # Ties go to the earliest target.
        chosen = min(heads.values(), key=lambda i: _order(shares, waiting[i]) + (i,))
        unnamed = heads.get("")
        if unnamed is not None and _precedes(waiting[unnamed], waiting[chosen]):
            return unnamed
        _count_served(shares, waiting[chosen], heads)
        return chosen

    def last_of_largest(self, waiting: Sequence[Ticket]) -> list[Ticket]:
        """Return the calls to refuse first, one of each rank for which several wait.

        It is the last call of the organisation that holds most of the rank's queue, by
        service time.
        """
        if not any(ticket.organisation for ticket in waiting):
            return []
        work_s: dict[tuple[bool, int], dict[str, float]] = {}
        last: dict[tuple[bool, int, str], Ticket] = {}
        for ticket in waiting:
            by_organisation = work_s.setdefault(_group_of(ticket), {})
            held_s = by_organisation.get(ticket.organisation, 0.0)
            by_organisation[ticket.organisation] = held_s + ticket.service_s
            last[(*_group_of(ticket), ticket.organisation)] = ticket
        return [
            last[(*group, max(by_organisation, key=lambda x: by_organisation[x]))]
            for group, by_organisation in work_s.items()
            if len(by_organisation) > 1
        ]

    def work_ahead_s(self, waiting: Sequence[Ticket], ticket: Ticket) -> float:
        """Return the service time of the waiting calls that are served before a call.

        Parameters
        ----------
        waiting : Sequence[Ticket]
            The waiting calls, sorted by `Ticket.sort_key`.
        ticket : Ticket
            The call; it may be one of them or not.
        """
        group = _group_of(ticket)
        shares = self._by_rank.get(ticket.rank) or _RankShares()
        ahead_s = 0.0
        others: list[Ticket] = []
        own_ahead_s = 0.0
        for other in takewhile(lambda other: _group_of(other) <= group, waiting):
            if _group_of(other) < group:
                ahead_s += other.service_s
            elif other.organisation != ticket.organisation:
                others.append(other)
            elif other.target_at_s <= ticket.target_at_s and other is not ticket:
                own_ahead_s += other.service_s
        start_s = shares.start_tag_s(ticket.organisation) + own_ahead_s
        tags_s: dict[str, float] = {}
        for other in others:
            tag_s = tags_s.get(other.organisation)
            if tag_s is None:
                tag_s = shares.start_tag_s(other.organisation)
            if _precedes(ticket, other):
                continue
            if _precedes(other, ticket):
                ahead_s += other.service_s
                continue
            if (tag_s, other.target_at_s) <= (start_s, ticket.target_at_s):
                ahead_s += other.service_s
            tags_s[other.organisation] = tag_s + other.service_s
        return ahead_s + own_ahead_s


def _group_of(ticket: Ticket) -> tuple[bool, int]:
    """Return what orders calls before their organisation does."""
    return (ticket.late, ticket.rank)


def _order(shares: _RankShares, ticket: Ticket) -> tuple[float, float]:
    return (shares.start_tag_s(ticket.organisation), ticket.target_at_s)


def _precedes(ticket: Ticket, other: Ticket) -> bool:
    """Return whether a call without an organisation goes before one with one."""
    return (
        not ticket.organisation
        and bool(other.organisation)
        and ticket.target_s < other.target_s
        and ticket.target_at_s < other.target_at_s
    )


def _count_served(
    shares: _RankShares, ticket: Ticket, waiting: Collection[str]
) -> None:
    """Move the tag of an organisation on, and forget tags that are not needed."""
    start_s = shares.start_tag_s(ticket.organisation)
    shares.virtual_s = start_s
    # The last one is the one that was served last.
    shares.start_s.pop(ticket.organisation, None)
    shares.start_s[ticket.organisation] = start_s + ticket.service_s
    shares.start_s = {
        name: tag_s for name, tag_s in shares.start_s.items() if tag_s > start_s
    }
    excess = len(shares.start_s) - 2 * len(waiting) - EXTRA_TAGS
    if excess > 0:
        idle = [name for name in shares.start_s if name not in waiting]
        for name in idle[:excess]:
            del shares.start_s[name]
