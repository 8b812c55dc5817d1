"""Builds heartbeats from the blackboard and takes in those of others."""

from __future__ import annotations

import time

from gypsumlock.blackboard import Board, PeerState
from gypsumlock.membership.member import Member
from gypsumlock.peering.messages import Report

__all__ = ["make_report", "take_report"]


def make_report(board: Board, members: list[Member], regular: bool = False) -> Report:
    """Return a heartbeat that carries some member records.

    Parameters
    ----------
    board : Board
        State of the sending node.
    members : list[Member]
        Records that the receiver may not have yet.
    regular : bool
        True when more heartbeats follow, so that the receiver may watch for them.
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


def take_report(board: Board, report: Report) -> None:
    """Write what a heartbeat tells to the blackboard."""
    board.members.merge(report.members)
    state = PeerState(
        held=report.held,
        in_force_version=report.in_force_version,
        witness=report.witness,
        reported_at_s=time.monotonic(),
    )
    board.record_peer_state(report.sender, state)
    if report.regular:
        board.last_heartbeat_s[report.sender] = state.reported_at_s
    board.record_head(report.held, report.sender)
