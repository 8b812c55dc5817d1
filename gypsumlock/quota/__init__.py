"""Quotas that all nodes share: decisions without I/O.

The controllers are `granter.py`, which grants tokens, and `client.py`, which asks for
them.
"""

from gypsumlock.quota.balance import Balance, Lot
from gypsumlock.quota.bucket import TokenBucket
from gypsumlock.quota.ledger import GrantLedger
from gypsumlock.quota.parts import (
    SLOT_COUNT,
    PartLimit,
    grant_lifetime_s,
    part_count,
    part_limit,
    part_slots,
    slot_lease,
)
from gypsumlock.quota.slots import Candidacy, HolderLocator, SlotOrder

__all__ = [
    "SLOT_COUNT",
    "Balance",
    "Candidacy",
    "GrantLedger",
    "HolderLocator",
    "Lot",
    "PartLimit",
    "SlotOrder",
    "TokenBucket",
    "grant_lifetime_s",
    "part_count",
    "part_limit",
    "part_slots",
    "slot_lease",
]
