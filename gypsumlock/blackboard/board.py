"""The node's blackboard: all state that controllers share.

Invariants: `head` and `table` never move to an older version; `held` may only
name a snapshot that was verified and compiled; `table` is replaced as a whole,
and a call keeps the table it started with.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from gypsumlock import defaults
from gypsumlock.blackboard.entry import Entry
from gypsumlock.membership.view import MemberView
from gypsumlock.model import (
    EMPTY_REF,
    EMPTY_SNAPSHOT,
    NodeIdentity,
    Policy,
    RoutingTable,
    Snapshot,
    VersionRef,
)
from gypsumlock.result_codes import Fault

__all__ = [
    "AcceptedVersion",
    "Board",
    "KnownHead",
    "HeldVersion",
    "LocalUpstream",
    "PeerState",
    "Recovery",
    "SourceHealth",
]


@dataclass(frozen=True, slots=True)
class KnownHead:
    """The newest version the node has heard of, and who told it."""

    ref: VersionRef
    # Addresses of peers that hold it; empty when the source told.
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """A verified and compiled version that the node can hand out."""

    ref: VersionRef
    snapshot: Snapshot
    policy: Policy
    # Compressed canonical JSON, as it goes to peers.
    payload: bytes


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A version that this node committed itself, with its canonical JSON."""

    ref: VersionRef
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a peer reported last."""

    held: VersionRef
    in_force_version: int
    witness: bool
    # Monotonic time of the report.
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class Recovery:
    """What the node knows of the version that it ran before its start."""

    # No older version may go in force; None until it is known.
    min_version: int | None = None
    # True once the source itself confirmed what this node holds.
    witness: bool = False


@dataclass(frozen=True, slots=True)
class SourceHealth:
    """Outcome of the last read of the source."""

    reachable: bool = False
    # Monotonic time of the last good read; 0 before the first.
    read_at_s: float = 0.0
    # Head that the last good read gave.
    head_version: int = 0


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """The upstream beside the node, as it announced itself."""

    service: str
    address: str
    slots: int
    leaving: bool
    since_unix_s: float


class Board:
    """Typed entries that the controllers of one node read and write.

    Parameters
    ----------
    node : NodeIdentity
        Who the node is.
    members : MemberView
        The node's member view.
    """

    __slots__ = (
        "accepted",
        "config_fault",
        "version_checked",
        "head",
        "held",
        "last_tick_s",
        "members",
        "member_changes",
        "node",
        "peers",
        "policy",
        "heartbeat_request",
        "recovery",
        "source",
        "started_at_s",
        "stopping",
        "table",
        "upstream",
        "last_heartbeat_s",
    )

    def __init__(self, node: NodeIdentity, members: MemberView) -> None:
        self.node = node
        self.members = members
        self.started_at_s = time.monotonic()
        # Counts changes of the member view.
        self.member_changes: Entry[int] = Entry(0)
        self.head: Entry[KnownHead] = Entry(KnownHead(EMPTY_REF))
        # Spares the way through the object store, which may fail meanwhile.
        self.accepted: Entry[AcceptedVersion | None] = Entry(None)
        self.held: Entry[HeldVersion | None] = Entry(None)
        # Policy in force; the table is compiled from it and the endpoints.
        self.policy: Entry[Policy | None] = Entry(None)
        self.table: Entry[RoutingTable | None] = Entry(None)
        self.recovery: Entry[Recovery] = Entry(Recovery())
        self.source: Entry[SourceHealth] = Entry(SourceHealth())
        # Last report of each peer that exchanges heartbeats with this node.
        self.peers: Entry[dict[str, PeerState]] = Entry({})
        # Monotonic time of the last heartbeat of each peer that chose this node
        # as its neighbour.
        self.last_heartbeat_s: dict[str, float] = {}
        # Why the newest known version is not held or not in force.
        self.config_fault: Entry[Fault | None] = Entry(None)
        self.upstream: Entry[LocalUpstream | None] = Entry(None)
        self.stopping: Entry[bool] = Entry(False)
        # False after a pause of the process, until the version was checked.
        self.version_checked: Entry[bool] = Entry(True)
        # Each write asks for a heartbeat to every neighbour now.
        self.heartbeat_request: Entry[None] = Entry(None)
        self.last_tick_s = time.monotonic()
        members.on_change(self._note_member)

    def record_head(self, ref: VersionRef, holder: str | None) -> None:
        """Note that a version exists, and optionally a peer that holds it."""
        seen = self.head.read()
        if ref.version > seen.ref.version:
            self.head.write(KnownHead(ref, (holder,) if holder else ()))
        elif ref == seen.ref and holder and holder not in seen.holders:
            self.head.write(KnownHead(ref, (*seen.holders, holder)))
        elif ref == seen.ref and self.held.read() is None:
            # Wakes who waits: the source may be able to give it now.
            self.head.write(seen)

    def record_peer_state(self, address: str, state: PeerState) -> None:
        """Keep the last report of a peer."""
        self.peers.write({**self.peers.read(), address: state})

    def remove_departed_peers(self) -> None:
        """Drop the reports of peers that are gone."""
        present = {member.address for member in self.members.others()}
        kept = {a: state for a, state in self.peers.read().items() if a in present}
        if len(kept) < len(self.peers.read()):
            self.peers.write(kept)

    def held_ref(self) -> VersionRef:
        """Return the reference of the held version, or the empty version's."""
        held = self.held.read()
        return held.ref if held else EMPTY_REF

    def snapshot(self) -> Snapshot:
        """Return the held snapshot, or the empty one."""
        held = self.held.read()
        return held.snapshot if held else EMPTY_SNAPSHOT

    def version_in_force(self) -> int:
        """Return the version in force; 0 when there is none."""
        policy = self.policy.read()
        return policy.version if policy else 0

    def paused(self) -> bool:
        """Tell whether the process did not run for a while until just now."""
        return time.monotonic() - self.last_tick_s > defaults.PAUSE_LIMIT_S

    def ready(self) -> bool:
        """Tell whether the node may carry calls."""
        return (
            self.table.read() is not None
            and self.version_checked.read()
            and not self.paused()
        )

    def _note_member(self, _: object) -> None:
        self.member_changes.write(self.member_changes.read() + 1)
