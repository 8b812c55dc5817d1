"""Admission control by rank, at the owner node of an upstream."""

from gypsumlock.admission.gate import Gate, Permit
from gypsumlock.admission.limit import ConcurrencyLimit
from gypsumlock.admission.policy import (
    FifoPolicy,
    QueuePolicy,
    RankedPolicy,
    StrictPolicy,
    Waiter,
)

__all__ = [
    "ConcurrencyLimit",
    "FifoPolicy",
    "Gate",
    "Permit",
    "QueuePolicy",
    "RankedPolicy",
    "StrictPolicy",
    "Waiter",
]
