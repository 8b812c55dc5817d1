"""The member view: everything that one node knows of the fleet.

Invariants: a record is only ever replaced by one that supersedes it; the
node's own record is only changed by the node itself; records of nodes that are
gone are kept as tombstones for a while, and an unknown tombstone is never
taken in. The digest covers present members, so that two views with the same
digest agree on who is there.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from gypsumlock import defaults
from gypsumlock.membership.member import Member, MemberStatus, UpstreamState
from gypsumlock.model import Endpoint

__all__ = ["MemberView", "bucket_of"]


class MemberView:
    """Holds and merges member records.

    Parameters
    ----------
    own : Member
        The node's own record.
    monotonic : Callable[[], float]
        Clock for the timers of suspicion and tombstones, in seconds.
    """

    __slots__ = (
        "_buckets",
        "_changed_at_s",
        "_listeners",
        "_members",
        "_monotonic",
        "_own_address",
    )

    def __init__(
        self, own: Member, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._own_address = own.address
        self._members: dict[str, Member] = {}
        # Local time of the last status change of each record.
        self._changed_at_s: dict[str, float] = {}
        # XOR of the hashes of the present members, by bucket of the address.
        self._buckets = [0] * defaults.SYNC_BUCKETS
        self._monotonic = monotonic
        self._listeners: list[Callable[[Member], None]] = []
        self._store(own)

    @property
    def own(self) -> Member:
        """The node's own record."""
        return self._members[self._own_address]

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with every record that is new to this view."""
        self._listeners.append(listener)

    def all_members(self) -> list[Member]:
        """Return every record, tombstones included."""
        return list(self._members.values())

    def others(self) -> list[Member]:
        """Return the present members other than the node itself."""
        return [
            member
            for member in self._members.values()
            if member.present and member.address != self._own_address
        ]

    def count_known_others(self) -> int:
        """Count other members that did not leave, the dead included."""
        return sum(
            member.status is not MemberStatus.LEFT
            for member in self._members.values()
            if member.address != self._own_address
        )

    def get(self, address: str) -> Member | None:
        """Return the record of an address, if there is one."""
        return self._members.get(address)

    def endpoints(self) -> list[Endpoint]:
        """Return every upstream that can be called."""
        found = (member.endpoint() for member in self._members.values())
        return [endpoint for endpoint in found if endpoint is not None]

    def digest(self) -> int:
        """Return 64 bits that two views share when they agree."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of addresses."""
        return list(self._buckets)

    def records_in_differing_buckets(self, other_digests: list[int]) -> list[Member]:
        """Return all records in the buckets whose digest differs."""
        if len(other_digests) != len(self._buckets):
            return self.all_members()
        wanted = {
            index
            for index, digest in enumerate(other_digests)
            if digest != self._buckets[index]
        }
        return [m for m in self._members.values() if bucket_of(m.address) in wanted]

    def merge(self, records: Iterable[Member]) -> int:
        """Take in records from elsewhere; return how many were new."""
        return sum(self._merge_one(record) for record in records)

    def mark_suspect(self, address: str) -> bool:
        """Mark a member as suspected; return False if it was not alive."""
        member = self._members.get(address)
        if member is None or member.status is not MemberStatus.ALIVE:
            return False
        self._store(replace(member, status=MemberStatus.SUSPECT))
        return True

    def expire(self, suspect_timeout_s: float, forget_after_s: float) -> list[Member]:
        """Turn old suspects into dead members and forget old tombstones.

        Returns
        -------
        list[Member]
            Members that were found dead.
        """
        now = self._monotonic()
        dead = []
        for address, member in list(self._members.items()):
            age_s = now - self._changed_at_s[address]
            if member.status is MemberStatus.SUSPECT and age_s >= suspect_timeout_s:
                buried = replace(member, status=MemberStatus.DEAD)
                self._store(buried)
                dead.append(buried)
            elif not member.present and age_s >= forget_after_s:
                self._forget(address)
        return dead

    def set_upstream(
        self,
        state: UpstreamState,
        service: str = "",
        slots: int = 0,
        serving_since_s: float = 0.0,
    ) -> None:
        """Change the upstream part of the node's own record."""
        self._bump(
            upstream=state,
            service=service,
            slots=slots,
            serving_since_s=serving_since_s,
        )

    def leave(self) -> None:
        """Mark the node itself as left."""
        self._bump(status=MemberStatus.LEFT, upstream=UpstreamState.LEAVING)

    def _bump(self, **changes: object) -> None:
        own = self.own
        changed: Member = replace(own, sequence=own.sequence + 1, **changes)  # type: ignore[arg-type]
        self._store(changed)

    def _merge_one(self, record: Member) -> bool:
        known = self._members.get(record.address)
        if record.address == self._own_address:
            return self._refute(record)
        if known is None and not record.present:
            return False
        if known is not None and not record.supersedes(known):
            return False
        self._store(_softened(record, known))
        return True

    def _refute(self, record: Member) -> bool:
        own = self.own
        if not record.supersedes(own):
            return False
        self._store(
            replace(own, incarnation=record.incarnation, sequence=record.sequence + 1)
        )
        return True

    def _store(self, record: Member) -> None:
        known = self._members.get(record.address)
        self._toggle(known)
        self._toggle(record)
        self._members[record.address] = record
        if known is None or known.status is not record.status:
            self._changed_at_s[record.address] = self._monotonic()
        for listener in self._listeners:
            listener(record)

    def _forget(self, address: str) -> None:
        self._toggle(self._members.pop(address))
        del self._changed_at_s[address]

    def _toggle(self, record: Member | None) -> None:
        """Add a present record to its bucket's digest, or take it out."""
        if record is not None and record.present:
            self._buckets[bucket_of(record.address)] ^= record.record_hash()


def _softened(record: Member, known: Member | None) -> Member:
    """Take a claim that an alive member is dead as a suspicion first.

    After a cut has healed, each side claims that the other is dead. The members
    stay callable until their suspicion has run its time here too.
    """
    claimed_dead = record.status is MemberStatus.DEAD
    if claimed_dead and known is not None and known.status is MemberStatus.ALIVE:
        return replace(record, status=MemberStatus.SUSPECT)
    return record


def bucket_of(address: str) -> int:
    """Return the bucket of an address, the same at every node."""
    digest = hashlib.blake2b(address.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % defaults.SYNC_BUCKETS
