"""Decides whether the body of a request is sent over the links between two machines.

Designed for uploads over links of low bandwidth. A body that can't arrive in time
because others are sent before it would only delay further ones; the caller's node
refuses the call instead, as not run. An owner counts the time of a call from its
arrival, so the time on the way is taken off before.

A body that takes too long by itself is sent, with all of its time: it delays nobody,
and the link may be faster than the settings say.
"""

from __future__ import annotations

from gypsumlock.mesh.link_meter import BYTES_PER_MEGABIT, usable_mbps

__all__ = ["UploadTime"]

# An upload fits if its expected time, multiplied by this factor, is left until the
# deadline: the upstream needs time too, and the link carries other messages.
TIME_MARGIN_FACTOR = 2.0


class UploadTime:
    """Expected time of one body on the way to its owner.

    Parameters
    ----------
    body_bytes : int
        Size of the body.
    queue_s : float
        Time until the link of the caller's machine has sent what is written already.
    own_transmission_s : float
        Time that the body takes on that link.
    owner_link_mbps : float
        Bandwidth of the owner's link in megabits per second; 0 if it is not known.
    """

    __slots__ = ("_queue_s", "total_s")

    def __init__(
        self,
        body_bytes: int,
        queue_s: float,
        own_transmission_s: float,
        owner_link_mbps: float,
    ) -> None:
        self._queue_s = queue_s
        transmission_s = own_transmission_s
        if owner_link_mbps > 0:
            bytes_per_s = usable_mbps(owner_link_mbps) * BYTES_PER_MEGABIT
            # The owner receives while the caller sends; the slower link decides.
            transmission_s = max(transmission_s, body_bytes / bytes_per_s)
        self.total_s = queue_s + transmission_s

    def _fits(self, left_s: float) -> bool:
        return self.total_s * TIME_MARGIN_FACTOR <= left_s

    def is_refused(self, left_s: float) -> bool:
        """Return whether others keep it from arriving in the time left, in seconds."""
        return self._queue_s > 0 and not self._fits(left_s)

    def deduction_s(self, left_s: float) -> float:
        """Return the time that is taken off the time left for the owner, in seconds."""
        return self.total_s if self._fits(left_s) else 0.0
