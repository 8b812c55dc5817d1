"""Rows of the store through which operators and the conductor communicate."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from gypsumlock.mesh.feed_store import FeedRow
from gypsumlock.mesh.model import RolloutEntry, RolloutPhase

__all__ = ["OrderRow", "RolloutRows", "StatusRow", "entry_state"]


@dataclass(frozen=True, slots=True)
class OrderRow:
    """An operator's order to move a service to another version."""

    service: str
    candidate: str
    # Time within which the roll-out has to end, in seconds.
    duration_s: float
    row_version: int


@dataclass(frozen=True, slots=True)
class StatusRow:
    """What the system reports to operators and upstreams of a roll-out."""

    candidate: str
    phase: RolloutPhase
    row_version: int

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RolloutRows(ABC):
    """Names and formats of the rows, which the adapter to a platform knows."""

    order_table: str
    status_table: str

    @abstractmethod
    def status_key(self, service: str) -> str:
        """Return the key of a service's status row."""

    @abstractmethod
    def order_service(self, key: str) -> str | None:
        """Return the service whose order has a key, or None if it holds no order."""

    @abstractmethod
    def decode_order(self, row: FeedRow) -> OrderRow | None:
        """Return the order in a row, or None if it holds no valid order."""

    @abstractmethod
    def decode_status(self, row: FeedRow) -> StatusRow | None:
        """Return the status in a row, or None if it holds no valid status."""

    @abstractmethod
    def encode_status(self, phase: RolloutPhase, candidate: str) -> bytes:
        """Return the value of a status row."""


def entry_state(entry: RolloutEntry) -> RolloutPhase | None:
    """Return the phase that an entry's status row reports; None if it needs no row."""
    if entry.phase is RolloutPhase.ESTABLISHED:
        return None
    if entry.phase is RolloutPhase.FINISHING:
        return RolloutPhase.RUNNING
    return entry.phase
