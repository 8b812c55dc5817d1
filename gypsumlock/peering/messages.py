"""Typed messages between nodes, independent of the wire format."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.membership.member import Member
from gypsumlock.model import VersionRef

__all__ = ["Report", "SurveyEntry"]


@dataclass(frozen=True, slots=True)
class Report:
    """One heartbeat, or the answer to one."""

    sender: str
    # Newest version that the sender can hand out.
    held: VersionRef
    in_force_version: int
    members_digest: int
    members: list[Member]
    # True when the sender may vouch for the version that a restarted node ran.
    witness: bool
    # True when the sender goes on sending heartbeats, and may be missed.
    regular: bool = False


@dataclass(frozen=True, slots=True)
class SurveyEntry:
    """What one node answered to a survey, or that it could not be reached."""

    address: str
    in_force_version: int
    held_version: int
    reachable: bool
    # Result code of what keeps the node back; 0 when nothing does.
    code: int = 0
