"""Typed messages between nodes, independent of the wire format."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.membership.member import Member
from gypsumlock.model import VersionRef

__all__ = ["Report", "SurveyEntry"]


@dataclass(frozen=True, slots=True)
class Report:
    """One heartbeat, or the reply to one."""

    sender: str
    # Newest version whose snapshot the sender can serve to peers.
    held: VersionRef
    in_force_version: int
    # Digest of the sender's member view.
    members_digest: int
    # Records that the receiver may not have yet.
    members: list[Member]
    # Whether a restarted node may rely on the sender for the version that it ran
    # before the restart.
    witness: bool
    # Whether the sender goes on sending heartbeats, so that the receiver can detect
    # that they stop.
    regular: bool = False


@dataclass(frozen=True, slots=True)
class SurveyEntry:
    """Answer of one node to a survey; not `reachable` if it did not answer."""

    address: str
    in_force_version: int
    held_version: int
    reachable: bool
    # Result code that says why the node has not put the newest version in force, or
    # did not answer; 0 if there is no fault.
    code: int = 0
