"""Leases in the store: of all nodes, one at a time holds each lease."""

from gypsumlock.leases.lease import Lease, decode_lease, encode_lease
from gypsumlock.leases.lease_keeper import LEASE_TABLE, LeaseKeeper, boot_time_s
from gypsumlock.leases.lease_state import LeaseState, LeaseStep, StepKind

__all__ = [
    "LEASE_TABLE",
    "Lease",
    "LeaseKeeper",
    "LeaseState",
    "LeaseStep",
    "StepKind",
    "boot_time_s",
    "decode_lease",
    "encode_lease",
]
