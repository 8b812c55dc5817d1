"""Builds heartbeats from the blackboard and applies received ones to it."""

from __future__ import annotations

import time

from gypsumlock.blackboard import Board, PeerState
from gypsumlock.membership.member import Member
from gypsumlock.peering.messages import Report

__all__ = ["apply_report", "build_report"]


def build_report(board: Board, members: list[Member], regular: bool = False) -> Report:
    """Return a heartbeat that carries some member records.

    Parameters
    ----------
    board : Board
        State of the sending node.
    members : list[Member]
        Records that the receiver may not have yet.
    regular : bool
        True if heartbeats follow at regular intervals, so that the receiver can
        detect that they stop.
    """
    return Report(
        sender=board.node.address,
        held=board.held_ref(),
        in_force_version=board.version_in_force(),
        members_digest=board.members.digest(),
        members=members,
        witness=board.recovery.read().witness,
        regular=regular,
    )


def apply_report(board: Board, report: Report) -> None:
    """Write the contents of a received heartbeat to the blackboard."""
    board.members.merge(report.members)
    peer_state = PeerState(
        held=report.held,
        in_force_version=report.in_force_version,
        witness=report.witness,
        reported_at_s=time.monotonic(),
    )
    board.record_peer_state(report.sender, peer_state)
    if report.regular:
        board.last_heartbeat_s[report.sender] = peer_state.reported_at_s
    board.record_head(report.held, report.sender)
