"""Interface of the lease that makes one node the conductor of all roll-outs."""

from __future__ import annotations

from abc import ABC, abstractmethod

__all__ = ["ConductorLease"]


class ConductorLease(ABC):
    """Lease that at most one node holds at a time."""

    @abstractmethod
    def token(self) -> int | None:
        """Return the fencing token, or None if this node does not hold the lease now.

        Reads the clock; to be called immediately before each use.
        """
