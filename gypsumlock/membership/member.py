"""What the fleet knows of one node, and which of two records is newer.

Terms: the *incarnation* grows with each start of the node, the *sequence* with
each change that the node makes to its own record. Others may only change the
status; at equal incarnation and sequence the higher status wins. A node that
finds itself suspected refutes it with a higher sequence.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

from gypsumlock.model import Endpoint

__all__ = ["Member", "MemberStatus", "UpstreamState"]


class MemberStatus(IntEnum):
    """Liveness of a node, in merge order."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(IntEnum):
    """State of the upstream beside a node."""

    NONE = 0
    SERVING = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Member:
    """One record of the member view."""

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
        """True unless the node is known to be gone."""
        return self.status <= MemberStatus.SUSPECT

    def supersedes(self, other: Member) -> bool:
        """Tell whether this record is newer than `other` of the same address."""
        return self._order() > other._order()

    def record_hash(self) -> int:
        """Return 64 bits that change whenever the record does."""
        text = f"{self.address} {self.incarnation} {self.sequence} {self.status:d}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())

    def endpoint(self) -> Endpoint | None:
        """Return the callable upstream of this node, if it has one."""
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

    def _order(self) -> tuple[int, int, int]:
        return (self.incarnation, self.sequence, self.status)
