"""The current state of a node, as typed entries that its controllers share."""

from gypsumlock.blackboard.board import (
    AcceptedVersion,
    Board,
    HeldVersion,
    KnownHead,
    LocalUpstream,
    PeerState,
    Recovery,
    SourceHealth,
)
from gypsumlock.blackboard.entry import Entry

__all__ = [
    "AcceptedVersion",
    "Board",
    "Entry",
    "KnownHead",
    "HeldVersion",
    "LocalUpstream",
    "PeerState",
    "Recovery",
    "SourceHealth",
]
