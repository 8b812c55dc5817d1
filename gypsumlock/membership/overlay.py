"""Chooses the neighbours of a node, and counts how many must confirm.

Neighbours are chosen by rendezvous hashing of both addresses, with a bound
for each zone. The choice is stable: when one member comes or goes, at most one
neighbour changes, so connections last and a restarted node asks nearly the
same peers that confirmed its last version.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable

from gypsumlock import defaults
from gypsumlock.membership.member import Member

__all__ = ["choose_neighbours", "confirmations_needed", "recovery_answers_needed"]


def choose_neighbours(
    own_address: str,
    members: Iterable[Member],
    count: int = defaults.NEIGHBOURS,
    per_zone: int = defaults.NEIGHBOURS_PER_ZONE,
) -> list[Member]:
    """Return the peers that a node exchanges heartbeats with.

    Parameters
    ----------
    own_address : str
        Address of the choosing node.
    members : Iterable[Member]
        Present members other than the node itself.
    count : int
        Neighbours wanted.
    per_zone : int
        Neighbours of one zone at most, unless other zones have too few.

    Returns
    -------
    list[Member]
        Up to `count` members, the best scored first.
    """
    ranked = sorted(members, key=lambda m: _score(own_address, m.address))
    chosen: list[Member] = []
    spare: list[Member] = []
    in_zone: Counter[str] = Counter()
    for member in ranked:
        if in_zone[member.zone] < per_zone and len(chosen) < count:
            in_zone[member.zone] += 1
            chosen.append(member)
        else:
            spare.append(member)
    return chosen + spare[: count - len(chosen)]


def confirmations_needed(present_others: int, known_others: int) -> int:
    """Return how many neighbours must hold a version before it goes in force.

    Parameters
    ----------
    present_others : int
        Other members that are believed to be present.
    known_others : int
        Other members that did not leave, the dead included. A node that sees
        only a minority of them may be the one that is cut off, and then
        counts the missing ones too.
    """
    sees_majority = 2 * (present_others + 1) > known_others + 1
    counted = present_others if sees_majority else known_others
    return min(defaults.HOLD_CONFIRMATIONS, counted)


def recovery_answers_needed(known_others: int) -> int:
    """Return how many witnesses must answer a restarted node without the source."""
    return max(1, min(defaults.RECOVERY_ANSWERS, known_others))


def _score(own_address: str, address: str) -> bytes:
    pair = f"{own_address}|{address}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
