"""Chooses the neighbours of a node, and computes how many must confirm a version.

Neighbours are chosen by rendezvous hashing of both addresses, with a limit for each
zone. The choice is stable: if one member joins or leaves, at most one neighbour
changes. Connections therefore last, and a restarted node asks nearly the same peers
that confirmed its last version.
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
        Address of the node whose neighbours are chosen.
    members : Iterable[Member]
        Present members other than the node itself.
    count : int
        Number of neighbours to choose.
    per_zone : int
        Maximum number of neighbours in one zone, unless the other zones have too
        few members.

    Returns
    -------
    list[Member]
        Up to `count` members by increasing hash; members beyond the limit of their
        zone come last.
    """
    ranked = sorted(members, key=lambda m: _rendezvous_hash(own_address, m.address))
    chosen: list[Member] = []
    remaining: list[Member] = []
    chosen_per_zone: Counter[str] = Counter()
    for member in ranked:
        if chosen_per_zone[member.zone] < per_zone and len(chosen) < count:
            chosen_per_zone[member.zone] += 1
            chosen.append(member)
        else:
            remaining.append(member)
    return chosen + remaining[: count - len(chosen)]


def confirmations_needed(present_others: int, known_others: int) -> int:
    """Return how many neighbours must hold a version before it is put in force.

    Parameters
    ----------
    present_others : int
        Other members that are believed to be present.
    known_others : int
        Other members that did not leave, including dead ones. A node that sees
        only a minority of them may itself be cut off by a partition, and then
        also counts the missing ones.
    """
    sees_majority = 2 * (present_others + 1) > known_others + 1
    counted_others = present_others if sees_majority else known_others
    return min(defaults.HOLD_CONFIRMATIONS, counted_others)


def recovery_answers_needed(known_others: int) -> int:
    """Return how many witnesses must answer while the source is unreachable.

    They answer a restarted node. A witness is a node that has read the source (the
    platform's table service) itself since its own start.

    Parameters
    ----------
    known_others : int
        Other members that did not leave, including dead ones.
    """
    return max(1, min(defaults.RECOVERY_ANSWERS, known_others))


def _rendezvous_hash(own_address: str, address: str) -> bytes:
    pair = f"{own_address}|{address}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
