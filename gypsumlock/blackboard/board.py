"""The node's blackboard: all state that its controllers share.

Invariants: `head` and `table` never move to an older version; `held` only
contains a snapshot that was verified and compiled; `table` is replaced as a
whole, and a call uses the table that it started with until it ends.
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
    """The newest version that the node knows of, and the peers that hold it."""

    ref: VersionRef
    # Addresses of the peers; empty if only the source has reported the version.
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """A verified and compiled version that the node can serve to peers."""

    ref: VersionRef
    snapshot: Snapshot
    policy: Policy
    # Compressed canonical JSON, as sent to peers.
    payload: bytes


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A version that this node itself committed, with its canonical JSON."""

    ref: VersionRef
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerState:
    """State that a peer reported in its last heartbeat."""

    held: VersionRef
    in_force_version: int
    # `Recovery.witness` of the peer.
    witness: bool
    # Monotonic time of the report.
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class Recovery:
    """What the node knows about the version that it ran before its last start."""

    # Oldest version that may go in force; None until it is known.
    min_version: int | None = None
    # True once the source itself has confirmed the version that this node holds.
    witness: bool = False


@dataclass(frozen=True, slots=True)
class SourceHealth:
    """Outcome of the last read of the source, the platform's table service."""

    reachable: bool = False
    # Monotonic time of the last successful read; 0 before the first.
    read_at_s: float = 0.0
    # Version of the head that the last successful read returned.
    head_version: int = 0


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """The upstream that runs beside the node, as it last announced itself."""

    service: str
    address: str
    slots: int
    leaving: bool
    # Unix time of its first announcement for `service`.
    since_unix_s: float


class Board:
    """Typed entries that the controllers of one node read and write.

    Parameters
    ----------
    node : NodeIdentity
        Identity of the node.
    members : MemberView
        The node's view of the members of the fleet.
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
        # Number of changes of the member view so far.
        self.member_changes: Entry[int] = Entry(0)
        self.head: Entry[KnownHead] = Entry(KnownHead(EMPTY_REF))
        # Last version committed by this node. It is held without reading it back from
        # the object store, which may have failed in the meantime.
        self.accepted: Entry[AcceptedVersion | None] = Entry(None)
        self.held: Entry[HeldVersion | None] = Entry(None)
        # Policy in force; the table is compiled from it and the endpoints.
        self.policy: Entry[Policy | None] = Entry(None)
        self.table: Entry[RoutingTable | None] = Entry(None)
        self.recovery: Entry[Recovery] = Entry(Recovery())
        self.source: Entry[SourceHealth] = Entry(SourceHealth())
        # Last report of each peer that exchanges heartbeats with this node.
        self.peers: Entry[dict[str, PeerState]] = Entry({})
        # Monotonic time of the last heartbeat from each peer that chose this node
        # as its neighbour, by address.
        self.last_heartbeat_s: dict[str, float] = {}
        # Why the newest known version is not held or not in force.
        self.config_fault: Entry[Fault | None] = Entry(None)
        self.upstream: Entry[LocalUpstream | None] = Entry(None)
        self.stopping: Entry[bool] = Entry(False)
        # False from the end of a pause of the process until the node has checked that
        # it runs the newest version.
        self.version_checked: Entry[bool] = Entry(True)
        # Each write requests an immediate heartbeat to every neighbour.
        self.heartbeat_request: Entry[None] = Entry(None)
        # Monotonic time of the last tick. The pause controller ticks regularly, so an
        # overdue tick shows that the process was paused.
        self.last_tick_s = time.monotonic()
        members.on_change(self._count_member_change)

    def record_head(self, ref: VersionRef, holder: str | None) -> None:
        """Record that a version exists, and optionally a peer that holds it."""
        known = self.head.read()
        if ref.version > known.ref.version:
            self.head.write(KnownHead(ref, (holder,) if holder else ()))
        elif ref == known.ref and holder and holder not in known.holders:
            self.head.write(KnownHead(ref, (*known.holders, holder)))
        elif ref == known.ref and self.held.read() is None:
            # Wakes the fetch controller, which may be able to hold the version now: it
            # holds the empty version only once the source has reported that there is
            # no version yet.
            self.head.write(known)

    def record_peer_state(self, address: str, state: PeerState) -> None:
        """Record the state that a peer reported last."""
        self.peers.write({**self.peers.read(), address: state})

    def remove_departed_peers(self) -> None:
        """Remove the state of peers that are no longer present members."""
        present = {member.address for member in self.members.others()}
        kept = {
            address: state
            for address, state in self.peers.read().items()
            if address in present
        }
        if len(kept) < len(self.peers.read()):
            self.peers.write(kept)

    def held_ref(self) -> VersionRef:
        """Return the reference of the held version, or of the empty version."""
        held = self.held.read()
        return held.ref if held else EMPTY_REF

    def snapshot(self) -> Snapshot:
        """Return the held snapshot, or the empty one."""
        held = self.held.read()
        return held.snapshot if held else EMPTY_SNAPSHOT

    def version_in_force(self) -> int:
        """Return the version in force, or 0 if there is none."""
        policy = self.policy.read()
        return policy.version if policy else 0

    def paused(self) -> bool:
        """Return whether the last tick is overdue: the process was paused until now."""
        return time.monotonic() - self.last_tick_s > defaults.PAUSE_LIMIT_S

    def ready(self) -> bool:
        """Return whether the node may handle calls."""
        return (
            self.table.read() is not None
            and self.version_checked.read()
            and not self.paused()
        )

    def _count_member_change(self, _: object) -> None:
        self.member_changes.write(self.member_changes.read() + 1)
