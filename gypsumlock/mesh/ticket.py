"""A call that needs a slot of an upstream, and what was decided about it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gypsumlock.mesh.load_estimates import INITIAL_SERVICE_S, Priority

__all__ = ["AdmissionDecision", "Ticket", "TicketState"]


class TicketState(Enum):
    """State of a call in the admission queue."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    DROPPED = "dropped"


@dataclass(slots=True, eq=False)
class Ticket:
    """One call that needs a slot.

    Fields whose names end in `_at_s` hold monotonic times, in seconds.
    """

    route: str
    rank: int
    # Latency target of the route, in seconds.
    target_s: float
    # True if the caller accepts a response after the latency target.
    late_ok: bool
    target_at_s: float
    deadline_at_s: float
    # False if the call was offered to another owner before. Each call counts as demand
    # once, however many owners refuse it.
    first_offer: bool = True
    # Empty if the call belongs to none.
    organisation: str = ""
    state: TicketState = TicketState.WAITING
    # True once the latency target can no longer be met.
    late: bool = False
    offered_at_s: float = 0.0
    # Expected and conservative estimates of the service time, in seconds; set when the
    # ticket is offered.
    service_s: float = INITIAL_SERVICE_S
    conservative_service_s: float = INITIAL_SERVICE_S

    @property
    def priority(self) -> Priority:
        """Rank and latency target of the call; a smaller tuple is more urgent."""
        return (self.rank, self.target_s)

    def sort_key(self) -> tuple[bool, int, float]:
        """Return the key by which the queue is sorted; the smallest is served first."""
        return (self.late, self.rank, self.target_at_s)


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Outcome of offering a call to the queue."""

    state: TicketState
    # For a refused call, time after which a free slot is expected, in seconds.
    retry_after_s: float = 0.0
