"""Who is in the fleet: records, views, liveness, bootstrap, announcements.

The parts that need no blackboard are re-exported here; the controllers are
imported from their own modules by the composition root.
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
