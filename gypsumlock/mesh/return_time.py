"""Tells refused clients when to return.

Designed for a service in overload whose owners expect room at different times. If all
clients return when the first owner has room, they find that one full again while the
others have room that nobody uses. Returns are therefore spread from the first owner's
room to the last one's. Clients of a service with a single expectation return around it.
"""

from __future__ import annotations

import random

__all__ = ["choose_return_s"]

# Largest random deviation from a single expectation, as a share of it.
JITTER_SHARE = 0.25


def choose_return_s(
    first_s: float, last_s: float, rng: random.Random, may_be_earlier: bool = True
) -> float:
    """Return the time after which a refused client is to return, in seconds.

    Parameters
    ----------
    first_s, last_s : float
        Shortest and longest time after which one of the asked owners expects room.
    rng : random.Random
        Keeps clients that were refused together from returning together.
    may_be_earlier : bool
        Whether there may be room before the shortest time.
    """
    latest_s = max(last_s, first_s * (1 + JITTER_SHARE))
    earliest_s = first_s * (1 - JITTER_SHARE) if may_be_earlier else first_s
    return rng.uniform(earliest_s, latest_s)
