"""Divides an organisation's quota into parts, so that the sum stays within the bound.

Each part belongs to one granting slot, whose holder keeps a token bucket for it. All
nodes compute the same division from the limit, without exchanging messages. Three parts
leave two thirds of the quota while the holder of one slot is gone; usual demand is
1 / 1.6 of the quota.

Proof of the bound. Let a limit have the rate r and the burst b, and be divided into P
parts. A part's bucket has the rate r / P and the capacity c, which is b / P or a little
more. It starts empty, holds at most c, and what it grants in a time T is at most
c + r T / P. A new holder starts with an empty bucket after the old one has stopped,
which is as if the bucket had lost tokens. Tokens that are returned unused are entered
as if they had never been granted (`bucket.py`). A token is used at most a lifetime L
after it was granted, as its user counts L from before that. So the tokens used in a
window W were granted in a time of W + L, and there are at most

    P c + r (W + L) = r W + b + (P c - b) + r L

of them. The bound is (r W + b) (1 + e) + a, with the excess e and the allowance a. It
holds if (P c - b) + r L <= e (r W + b) + a. A bucket needs room for one token; P is the
largest number for which that fits. L is a quarter of e W, so r L uses a quarter of the
excess at most. A bucket of one token would lose what accrues until the next call, so c
is at least three as long as P c - b uses no more than half of the tolerance. The rest
is left for the time between the charge of a call and its arrival. Where the settings
allow so little that the condition fails even for one part, the rate of the bucket is
lowered until the sum is within the bound.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.mesh.model import Organisation
from gypsumlock.mesh.state import QuotaBounds
from gypsumlock.pair_hash import rendezvous_score

__all__ = [
    "SLOT_COUNT",
    "PartLimit",
    "grant_lifetime_s",
    "part_count",
    "part_limit",
    "part_slots",
    "slot_lease",
]

# Number of granting slots. All nodes must use the same one: with another, a part would
# belong to another slot, and be granted twice.
SLOT_COUNT = 12
MAX_PARTS = 3
MAX_LIFETIME_S = 0.25
# A shorter one would end before the grant arrives.
MIN_LIFETIME_S = 0.02
# Capacity of a bucket where the tolerance has room for it. With a single token, calls
# that arrive together are refused although the rate is not used up.
USEFUL_CAPACITY = 3.0
# Share of the tolerance that it may take.
SPARE_SHARE = 0.5
# Lowest rate of a bucket, in tokens per second.
MIN_RATE_PER_S = 1e-6
# Share of the excess that the lifetime of grants takes.
LIFETIME_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class PartLimit:
    """Limit of one part: tokens per second, and the capacity of its bucket."""

    rate_per_s: float
    capacity: float


def grant_lifetime_s(bounds: QuotaBounds) -> float:
    """Return how long a token may be used after it was requested, in seconds."""
    lifetime_s = LIFETIME_SHARE * bounds.excess * bounds.window_s
    return min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, lifetime_s))


def part_count(rate_per_s: float, burst: float, bounds: QuotaBounds) -> int:
    """Return the number of parts of a limit."""
    tolerance = _tolerance(rate_per_s, burst, bounds)
    parts = MAX_PARTS
    while parts > 1 and max(0.0, parts - burst) > tolerance:
        parts -= 1
    return parts


def part_limit(rate_per_s: float, burst: float, bounds: QuotaBounds) -> PartLimit:
    """Return the limit of each part of a limit."""
    parts = part_count(rate_per_s, burst, bounds)
    spare = SPARE_SHARE * max(0.0, _tolerance(rate_per_s, burst, bounds))
    useful = min(USEFUL_CAPACITY, (burst + spare) / parts)
    capacity = max(1.0, burst / parts, useful)
    bound = (rate_per_s * bounds.window_s + burst) * (1 + bounds.excess)
    allowed = bound + bounds.allowance - parts * capacity
    max_rate_per_s = allowed / (bounds.window_s + grant_lifetime_s(bounds))
    rate_per_s = max(MIN_RATE_PER_S, min(rate_per_s, max_rate_per_s))
    return PartLimit(rate_per_s / parts, capacity)


def _tolerance(rate_per_s: float, burst: float, bounds: QuotaBounds) -> float:
    """Return how far the capacities of all parts may exceed the burst."""
    excess = bounds.excess * (rate_per_s * bounds.window_s + burst)
    return excess + bounds.allowance - rate_per_s * grant_lifetime_s(bounds)


def part_slots(organisation: Organisation, bounds: QuotaBounds) -> tuple[int, ...]:
    """Return the granting slots of an organisation's parts."""
    count = part_count(organisation.rate_per_s, organisation.burst, bounds)
    slots = sorted(
        range(SLOT_COUNT),
        key=lambda slot: rendezvous_score(organisation.name, slot_lease(slot)),
    )
    return tuple(slots[:count])


def slot_lease(slot: int) -> str:
    """Return the name of the lease of a granting slot."""
    return f"quota-{slot}"
