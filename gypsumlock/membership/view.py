"""The member view: everything that one node knows of the fleet.

Invariants:

- A record is only ever replaced by a record that supersedes it.
- The node's own record is changed only by the node itself.
- Records of nodes that are dead or have left are kept as tombstones for a while. A
  tombstone of an unknown node is never merged.

The digest covers present members only: two views with the same digest agree on which
members are present.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from gypsumlock import defaults
from gypsumlock.membership.member import Member, MemberStatus, UpstreamState
from gypsumlock.model import Endpoint

__all__ = ["MemberView", "bucket_index"]


class MemberView:
    """Holds and merges member records.

    Parameters
    ----------
    own : Member
        The node's own record.
    monotonic : Callable[[], float]
        Clock for the timeouts of suspects and tombstones, in seconds.
    """

    __slots__ = (
        "_bucket_digests",
        "_listeners",
        "_members",
        "_monotonic",
        "_own_address",
        "_status_changed_at_s",
    )

    def __init__(
        self, own: Member, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._own_address = own.address
        self._members: dict[str, Member] = {}
        # Local time of the last status change of each record.
        self._status_changed_at_s: dict[str, float] = {}
        # XOR of the hashes of the present members, by bucket of the address.
        self._bucket_digests = [0] * defaults.SYNC_BUCKETS
        self._monotonic = monotonic
        self._listeners: list[Callable[[Member], None]] = []
        self._store(own)

    @property
    def own(self) -> Member:
        """The node's own record."""
        return self._members[self._own_address]

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each record that is added or changed."""
        self._listeners.append(listener)

    def all_members(self) -> list[Member]:
        """Return every record, including tombstones."""
        return list(self._members.values())

    def others(self) -> list[Member]:
        """Return the present members other than the node itself."""
        return [
            member
            for member in self._members.values()
            if member.present and member.address != self._own_address
        ]

    def count_known_others(self) -> int:
        """Return the number of other members that did not leave, dead ones included."""
        return sum(
            member.status is not MemberStatus.LEFT
            for member in self._members.values()
            if member.address != self._own_address
        )

    def get(self, address: str) -> Member | None:
        """Return the record of an address, if there is one."""
        return self._members.get(address)

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints of all upstreams that calls may be sent to."""
        endpoints = (member.endpoint() for member in self._members.values())
        return [endpoint for endpoint in endpoints if endpoint is not None]

    def digest(self) -> int:
        """Return a 64-bit digest that is equal in two views that agree."""
        digest = 0
        for bucket_digest in self._bucket_digests:
            digest ^= bucket_digest
        return digest

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of addresses."""
        return list(self._bucket_digests)

    def records_in_differing_buckets(self, other_digests: list[int]) -> list[Member]:
        """Return all records in the buckets whose digest differs.

        Returns all records if the number of buckets differs.
        """
        if len(other_digests) != len(self._bucket_digests):
            return self.all_members()
        differing_indexes = {
            index
            for index, digest in enumerate(other_digests)
            if digest != self._bucket_digests[index]
        }
        return [
            m
            for m in self._members.values()
            if bucket_index(m.address) in differing_indexes
        ]

    def merge(self, records: Iterable[Member]) -> int:
        """Merge records from other nodes and return how many of them were new."""
        return sum(self._merge_record(record) for record in records)

    def mark_suspect(self, address: str) -> bool:
        """Mark a member as suspected; return False if it was not alive."""
        member = self._members.get(address)
        if member is None or member.status is not MemberStatus.ALIVE:
            return False
        self._store(replace(member, status=MemberStatus.SUSPECT))
        return True

    def expire(self, suspect_timeout_s: float, forget_after_s: float) -> list[Member]:
        """Declare suspects dead, and remove tombstones, after their timeouts.

        Returns
        -------
        list[Member]
            Members that were declared dead.
        """
        now_s = self._monotonic()
        dead_members = []
        for address, member in list(self._members.items()):
            age_s = now_s - self._status_changed_at_s[address]
            if member.status is MemberStatus.SUSPECT and age_s >= suspect_timeout_s:
                dead_record = replace(member, status=MemberStatus.DEAD)
                self._store(dead_record)
                dead_members.append(dead_record)
            elif not member.present and age_s >= forget_after_s:
                self._remove(address)
        return dead_members

    def set_upstream(
        self,
        state: UpstreamState,
        service: str = "",
        slots: int = 0,
        serving_since_s: float = 0.0,
    ) -> None:
        """Change the upstream in the node's own record."""
        self._update_own(
            upstream=state,
            service=service,
            slots=slots,
            serving_since_s=serving_since_s,
        )

    def leave(self) -> None:
        """Mark the node itself as left."""
        self._update_own(status=MemberStatus.LEFT, upstream=UpstreamState.LEAVING)

    def _update_own(self, **changes: object) -> None:
        """Change fields of the node's own record and increase its sequence."""
        own = self.own
        changed_record: Member = replace(own, sequence=own.sequence + 1, **changes)  # type: ignore[arg-type]
        self._store(changed_record)

    def _merge_record(self, record: Member) -> bool:
        known_record = self._members.get(record.address)
        if record.address == self._own_address:
            return self._refute(record)
        if known_record is None and not record.present:
            return False
        if known_record is not None and not record.supersedes(known_record):
            return False
        self._store(_downgrade_dead_to_suspect(record, known_record))
        return True

    def _refute(self, record: Member) -> bool:
        """Supersede a record of this node that is newer than its own."""
        own = self.own
        if not record.supersedes(own):
            return False
        self._store(
            replace(own, incarnation=record.incarnation, sequence=record.sequence + 1)
        )
        return True

    def _store(self, record: Member) -> None:
        """Add or replace a record, update the digest and call the listeners."""
        known_record = self._members.get(record.address)
        self._xor_into_bucket(known_record)
        self._xor_into_bucket(record)
        self._members[record.address] = record
        if known_record is None or known_record.status is not record.status:
            self._status_changed_at_s[record.address] = self._monotonic()
        for listener in self._listeners:
            listener(record)

    def _remove(self, address: str) -> None:
        self._xor_into_bucket(self._members.pop(address))
        del self._status_changed_at_s[address]

    def _xor_into_bucket(self, record: Member | None) -> None:
        """XOR a present record into its bucket's digest, which adds or removes it."""
        if record is not None and record.present:
            self._bucket_digests[bucket_index(record.address)] ^= record.record_hash()


def _downgrade_dead_to_suspect(record: Member, known_record: Member | None) -> Member:
    """Return the record, with status SUSPECT if it declares an alive member dead.

    After a partition heals, each side has declared the other side's members dead.
    These members stay callable until the suspect timeout has passed on this node too.
    """
    declared_dead = record.status is MemberStatus.DEAD
    if (
        declared_dead
        and known_record is not None
        and known_record.status is MemberStatus.ALIVE
    ):
        return replace(record, status=MemberStatus.SUSPECT)
    return record


def bucket_index(address: str) -> int:
    """Return the index of an address's bucket; it is the same on every node."""
    digest = hashlib.blake2b(address.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % defaults.SYNC_BUCKETS
