"""Selects a share of the calls of each service by smooth weighted round robin.

Designed for some 80 to 1,300 nodes with a few calls per second each: the phase is
random, so that not every node selects its first call.
"""

from __future__ import annotations

import random

from gypsumlock.mesh.recent_table import RecentTable

__all__ = ["ShareSequence"]


class ShareSequence:
    """Phase of the sequence of each service.

    Parameters
    ----------
    rng : random.Random
        Source of the initial phases.
    """

    __slots__ = ("_phases", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._phases: RecentTable[str, float] = RecentTable()

    def select(self, service: str, share: float) -> bool:
        """Return whether the next call of a service is in its share.

        Of any n calls in a row, n times the share are selected, give or take one.
        """
        if share <= 0:
            return False
        phase = self._phases.get(service, None)
        phase = (self._rng.random() if phase is None else phase) + share
        selected = phase >= 1
        self._phases[service] = phase - 1 if selected else phase
        return selected
