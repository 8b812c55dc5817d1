"""Which nodes try to hold a granting slot, and which node is asked for its tokens.

The candidates of a slot are ordered by rendezvous hashing over the serving nodes, with
the first two places spread evenly over the nodes: if two parts of an organisation were
at one node, its loss would leave less than two thirds of the quota. The first two
always try to hold the slot; a later one does while other nodes ask it, which they do if
those before it don't answer. So a slot finds a holder however many nodes are gone, and
only two nodes for each slot call the store while all is well.

The load it is for: a fleet that starts one node after another, so that the order
changes often; and machines that vanish while their records still say that they serve.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Collection, Sequence

from gypsumlock.pair_hash import rendezvous_score
from gypsumlock.quota.parts import SLOT_COUNT, slot_lease

__all__ = ["Candidacy", "HolderLocator", "SlotOrder"]

# Candidates that always try to hold a slot.
FIRST_CANDIDATES = 2
# Candidates from this place on release a slot in any case.
HOLDING_CANDIDATES = 4
# Time by which the first candidate precedes the others when the nodes begin to seek
# slots, in seconds.
FIRST_LEAD_S = 0.6
# Interval at which a node releases slots, in seconds. The next holder has begun by
# then, so that few parts are away at a time.
RELEASE_INTERVAL_S = 5.0
# Time for which a node does not seek a slot that it has released, in seconds.
ABSTENTION_S = 10.0
# Time for which a later candidate tries after it was asked, in seconds.
ASKED_PERIOD_S = 10.0
# Number of nodes in the order of each slot.
ORDER_LENGTH = 16
# Time for which a node that doesn't hold the slot is not asked again, in seconds.
NOT_HOLDER_PERIOD_S = 0.5
# The same for one that does not answer: initial and maximum.
MIN_SILENT_PERIOD_S = 0.25
MAX_SILENT_PERIOD_S = 2.0
# Silent nodes whose periods are kept.
MAX_SILENT_NODES = 64
# Time without an answer after which a node counts as silent, in seconds.
SILENCE_S = 0.3
# Nodes asked in turn before the slot counts as vacant, and the time until it is sought
# again, in seconds.
MAX_REDIRECTS = 3
VACANT_PERIOD_S = 0.25
# Time for which a fencing token outdates lower ones, in seconds. Their holders have
# stopped long before; a row that was lost from the store starts with lower tokens.
TOKEN_PERIOD_S = 20.0


class Candidacy:
    """Decides which slots one node tries to hold, and which it releases.

    A node that started first holds more than its share. It releases, one by one, slots
    for which better candidates have appeared since it began to hold them, and leaves
    each to them for a while. A slot that it holds because those before it are gone
    stays.
    """

    __slots__ = (
        "_abstains_until_s",
        "_asked_at_s",
        "_first_places",
        "_release_at_s",
        "_since_s",
    )

    def __init__(self) -> None:
        # When other nodes last asked for tokens of each slot.
        self._asked_at_s: dict[int, float] = {}
        # Slots that were released, each not sought until a time.
        self._abstains_until_s: dict[int, float] = {}
        # Place that the node had for each slot when it began to hold it.
        self._first_places: dict[int, int] = {}
        self._release_at_s = float("-inf")
        # When the node began to seek slots; None while it does not.
        self._since_s: float | None = None

    def record_asked(self, slot: int, now_s: float) -> None:
        """Record that another node asked for tokens of a slot."""
        self._asked_at_s[slot] = now_s

    def reset(self) -> None:
        """Record that the node does not seek any slot."""
        self._since_s = None

    def wanted(
        self,
        ranks: Sequence[int | None],
        held: Collection[int],
        nodes: int,
        now_s: float,
    ) -> list[int]:
        """Return the slots that the node should hold if it can.

        Parameters
        ----------
        ranks : Sequence[int | None]
            Place of the node in the order of each slot, from 0; None if it has none.
        held : Collection[int]
            Slots that the node holds.
        nodes : int
            Number of serving nodes.
        now_s : float
            The time.
        """
        if self._since_s is None:
            self._since_s = now_s
        released = self._next_release(ranks, held, nodes, now_s)
        if released is not None:
            self._release_at_s = now_s + RELEASE_INTERVAL_S
            self._abstains_until_s[released] = now_s + ABSTENTION_S
        return [
            slot
            for slot, rank in enumerate(ranks)
            if slot != released
            and (slot in held or self._is_candidate(slot, rank, now_s))
        ]

    def _is_candidate(self, slot: int, rank: int | None, now_s: float) -> bool:
        if rank is None or now_s < self._abstains_until_s.get(slot, now_s):
            return False
        if rank == 0:
            return True
        if self._since_s is None or now_s - self._since_s < FIRST_LEAD_S:
            return False
        asked_at_s = self._asked_at_s.get(slot, float("-inf"))
        return rank < FIRST_CANDIDATES or now_s - asked_at_s < ASKED_PERIOD_S

    def _next_release(
        self,
        ranks: Sequence[int | None],
        held: Collection[int],
        nodes: int,
        now_s: float,
    ) -> int | None:
        """Return the slot to release now, or None."""
        places = {slot: _place(ranks[slot]) for slot in held}
        self._first_places = {
            slot: self._first_places.get(slot, place) for slot, place in places.items()
        }
        if now_s < self._release_at_s:
            return None
        share = math.ceil(SLOT_COUNT / max(1, nodes))
        least_place = 1 if len(held) > share else HOLDING_CANDIDATES
        releasable = [
            slot
            for slot, place in places.items()
            if place >= least_place and place > self._first_places[slot]
        ]
        return max(releasable, key=places.__getitem__, default=None)


def _place(rank: int | None) -> int:
    return ORDER_LENGTH if rank is None else rank


class SlotOrder:
    """Order of the candidates of each slot."""

    __slots__ = ("_nodes", "_orders", "_scores")

    def __init__(self) -> None:
        self._nodes: Sequence[str] = ()
        # Scores by node and slot: computed once for each node.
        self._scores: dict[str, list[bytes]] = {}
        self._orders: list[list[str]] = [[] for _ in range(SLOT_COUNT)]

    def update(self, nodes: Sequence[str]) -> None:
        """Replace the nodes that are serving; an unchanged sequence costs nothing."""
        if nodes is self._nodes:
            return
        self._nodes = nodes
        leases = [slot_lease(slot) for slot in range(SLOT_COUNT)]
        self._scores = {
            node: self._scores.get(node)
            or [rendezvous_score(lease, node) for lease in leases]
            for node in nodes
        }
        self._orders = [
            heapq.nsmallest(
                ORDER_LENGTH, nodes, key=lambda node: self._scores[node][slot]
            )
            for slot in range(SLOT_COUNT)
        ]
        self._spread_first_candidates()

    def _spread_first_candidates(self) -> None:
        """Move nodes with the fewest first places to the front of each order."""
        places: Counter[str] = Counter()
        for place in range(FIRST_CANDIDATES):
            for order in self._orders:
                if len(order) > place:
                    # Of several, the first in the order.
                    node = min(order[place:], key=places.__getitem__)
                    order.remove(node)
                    order.insert(place, node)
                    places[node] += 1

    def nodes(self, slot: int) -> Sequence[str]:
        """Return the first candidates of a slot, in order."""
        return self._orders[slot]

    def rank(self, slot: int, node: str) -> int | None:
        """Return the place of a node in the order of a slot, or None."""
        order = self._orders[slot]
        return order.index(node) if node in order else None


class HolderLocator:
    """Finds the holder of one slot, by asking candidates and following their hints."""

    __slots__ = (
        "_avoided_until_s",
        "_holder",
        "_redirects",
        "_silent_for_s",
        "_token",
        "_token_at_s",
        "_unanswered_since_s",
        "vacant_until_s",
    )

    def __init__(self) -> None:
        self._holder: str | None = None
        # Nodes that are not asked, each until a time.
        self._avoided_until_s: dict[str, float] = {}
        # Oldest request to each node that it has not answered, by node.
        self._unanswered_since_s: dict[str, float] = {}
        self._silent_for_s: dict[str, float] = {}
        self._redirects = 0
        self._token = 0
        self._token_at_s = float("-inf")
        # No node is asked before this time.
        self.vacant_until_s = float("-inf")

    @property
    def token(self) -> int:
        """Highest fencing token of an accepted grant; 0 if there was none."""
        return self._token

    @property
    def redirected(self) -> bool:
        """Whether the last node asked did not hold the slot, or did not answer."""
        return self._redirects > 0

    def target(self, order: Sequence[str], now_s: float) -> str | None:
        """Return the node to ask, or None if there is none now."""
        if now_s < self.vacant_until_s:
            return None
        if self._holder is not None and self._may_ask(self._holder, now_s):
            return self._holder
        return next((node for node in order if self._may_ask(node, now_s)), None)

    def _may_ask(self, node: str, now_s: float) -> bool:
        return self._avoided_until_s.get(node, 0.0) <= now_s

    def record_asked(self, node: str, now_s: float) -> None:
        """Record that a request was sent to a node."""
        self._unanswered_since_s.setdefault(node, now_s)

    def accept(self, node: str, token: int, now_s: float) -> bool:
        """Record a grant of a node; return False if its token is outdated."""
        self._record_answer(node)
        if token < self._token and now_s - self._token_at_s < TOKEN_PERIOD_S:
            self._avoid(node, NOT_HOLDER_PERIOD_S, now_s)
            return False
        self._token = token
        self._token_at_s = now_s
        self._holder = node
        self._redirects = 0
        return True

    def record_not_holder(self, node: str, hint: str, now_s: float) -> None:
        """Record that a node does not hold the slot, and which one it names."""
        self._record_answer(node)
        self._avoid(node, NOT_HOLDER_PERIOD_S, now_s)
        if hint and hint != node:
            self._holder = hint
        self._count_redirect(now_s)

    def record_timeout(self, node: str, now_s: float) -> bool:
        """Record that a node has not answered in time.

        Return whether it counts as silent now.
        """
        since_s = self._unanswered_since_s.get(node, now_s)
        if now_s - since_s < SILENCE_S:
            return False
        self.record_unreachable(node, now_s)
        return True

    def record_unreachable(self, node: str, now_s: float) -> None:
        """Record that a node can't be reached."""
        period_s = self._silent_for_s.get(node, MIN_SILENT_PERIOD_S)
        if len(self._silent_for_s) >= MAX_SILENT_NODES:
            # Of machines that are gone for good, most likely.
            self._silent_for_s.clear()
        self._silent_for_s[node] = min(MAX_SILENT_PERIOD_S, 2 * period_s)
        self._unanswered_since_s.pop(node, None)
        self._avoid(node, period_s, now_s)
        self._count_redirect(now_s)

    def _record_answer(self, node: str) -> None:
        self._unanswered_since_s.pop(node, None)
        self._silent_for_s.pop(node, None)

    def _avoid(self, node: str, period_s: float, now_s: float) -> None:
        if self._holder == node:
            self._holder = None
        avoided = self._avoided_until_s
        avoided[node] = now_s + period_s
        for other in [x for x, until_s in avoided.items() if until_s <= now_s]:
            del avoided[other]

    def _count_redirect(self, now_s: float) -> None:
        self._redirects += 1
        if self._redirects % MAX_REDIRECTS == 0:
            self.vacant_until_s = now_s + VACANT_PERIOD_S
