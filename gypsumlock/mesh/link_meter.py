"""Estimates how long bytes wait for the machine's own link.

Load that this answers: large answers on a narrow link. What is written waits in
buffers that a process can't look into; but all that this process writes to other
machines, and the rate at which the link drains it, are known. Clients and the upstream
are on the same machine: what goes to them takes no link.
"""

from __future__ import annotations

__all__ = ["BYTES_PER_MEGABIT", "LinkMeter"]

BYTES_PER_MEGABIT = 125_000


class LinkMeter:
    """A queue that fills with what is written and drains at the link's rate.

    Parameters
    ----------
    link_mbps : float
        Bandwidth in megabits a second; 0 if it is not known.
    """

    __slots__ = ("_at_s", "_backlog_s", "_bytes_per_s")

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        self._backlog_s = 0.0
        self._at_s = 0.0

    def record_write(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that were written at a monotonic time."""
        if self._bytes_per_s > 0:
            self._backlog_s = self.backlog_s(now_s) + self.time_of_s(size_bytes)
            self._at_s = now_s

    def time_of_s(self, size_bytes: int) -> float:
        """Return the time that bytes take on the link, in seconds."""
        return size_bytes / self._bytes_per_s if self._bytes_per_s > 0 else 0.0

    def backlog_s(self, now_s: float) -> float:
        """Return the time until a byte written now leaves, in seconds."""
        return max(0.0, self._backlog_s - (now_s - self._at_s))
