"""Membership of the fleet: records, gossip, failure detection and bootstrap.

This package re-exports only the names that do not depend on the blackboard. The
composition root imports the controllers from their own modules.
"""

from gypsumlock.membership.member import Member, MemberStatus, UpstreamState
from gypsumlock.membership.overlay import (
    choose_neighbours,
    confirmations_needed,
    recovery_answers_needed,
)
from gypsumlock.membership.view import MemberView

__all__ = [
    "Member",
    "MemberStatus",
    "MemberView",
    "UpstreamState",
    "choose_neighbours",
    "confirmations_needed",
    "recovery_answers_needed",
]
