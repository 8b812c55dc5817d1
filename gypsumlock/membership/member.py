"""Member records: what the fleet knows of one node, and which record is newer.

The *incarnation* of a record grows with each start of the node, the *sequence* with
each change that the node makes to its own record. Other nodes may change only the
status; at equal incarnation and sequence the higher status wins. A node that learns
that it is suspected refutes this with a higher sequence.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

from gypsumlock.model import Endpoint

__all__ = ["Member", "MemberStatus", "UpstreamState"]


class MemberStatus(IntEnum):
    """Liveness of a node; at equal incarnation and sequence the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(IntEnum):
    """State of the upstream that runs beside a node."""

    NONE = 0
    SERVING = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Member:
    """What the fleet knows of one node and of the upstream beside it."""

    address: str
    incarnation: int
    sequence: int
    status: MemberStatus
    zone: str
    region: str
    call_address: str
    service: str = ""
    slots: int = 0
    upstream: UpstreamState = UpstreamState.NONE
    # Unix time at which the upstream first announced itself.
    serving_since_s: float = 0.0

    @property
    def present(self) -> bool:
        """Whether the node is alive or suspected, not dead or left."""
        return self.status <= MemberStatus.SUSPECT

    def supersedes(self, other: Member) -> bool:
        """Return whether this record is newer than `other` of the same address."""
        return self._precedence() > other._precedence()

    def record_hash(self) -> int:
        """Return a 64-bit hash that changes whenever the record does."""
        text = f"{self.address} {self.incarnation} {self.sequence} {self.status:d}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())

    def endpoint(self) -> Endpoint | None:
        """Return the endpoint of this node's upstream, if calls may be sent there."""
        if not self.present or self.upstream is not UpstreamState.SERVING:
            return None
        return Endpoint(
            service=self.service,
            node_address=self.address,
            call_address=self.call_address,
            zone=self.zone,
            region=self.region,
            slots=self.slots,
            serving_since_s=self.serving_since_s,
            suspect=self.status is MemberStatus.SUSPECT,
        )

    def _precedence(self) -> tuple[int, int, int]:
        return (self.incarnation, self.sequence, self.status)
