"""Estimates how long bytes wait for the machine's own network link.

Designed for large responses on a low-bandwidth link. Written bytes wait in buffers
that a process can't inspect, but what this process writes to other machines and the
rate at which the link drains it are known. Clients and the upstream are on the same
machine: traffic to them does not use the link.
"""

from __future__ import annotations

__all__ = ["BYTES_PER_MEGABIT", "LinkMeter", "usable_mbps"]

BYTES_PER_MEGABIT = 125_000
# Share of a link's bandwidth that messages between nodes can use. The rest carries
# packet headers, acknowledgements, and the traffic with the store.
USABLE_LINK_SHARE = 0.85


def usable_mbps(link_mbps: float) -> float:
    """Return the bandwidth that messages between nodes can use, in megabits per second.

    A meter that drains faster than the link would let a queue grow on it unseen.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link in megabits per second; 0 if it is not known.
    """
    return USABLE_LINK_SHARE * link_mbps


class LinkMeter:
    """Models the link as a queue that writes fill and that drains at the link's rate.

    Parameters
    ----------
    link_mbps : float
        Usable bandwidth in megabits per second; 0 if it is not known.
    """

    __slots__ = ("_backlog_s", "_bytes_per_s", "_updated_at_s")

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        # Backlog at the time of the last write.
        self._backlog_s = 0.0
        self._updated_at_s = 0.0

    def record_write(self, size_bytes: int, now_s: float) -> None:
        """Add bytes that were written at the monotonic time `now_s` to the backlog."""
        if self._bytes_per_s > 0:
            self._backlog_s = self.backlog_s(now_s) + self.transmission_s(size_bytes)
            self._updated_at_s = now_s

    def transmission_s(self, size_bytes: int) -> float:
        """Return the time that the link takes to transmit bytes, in seconds."""
        return size_bytes / self._bytes_per_s if self._bytes_per_s > 0 else 0.0

    def backlog_s(self, now_s: float) -> float:
        """Return the time until a byte written now would be sent, in seconds."""
        return max(0.0, self._backlog_s - (now_s - self._updated_at_s))
