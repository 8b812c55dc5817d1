"""What a node knows of the upstream beside it, from the upstream's own reports.

Reports may come late, out of order, from an incarnation that has ended, or from
someone else. Invariants: an incarnation that said it leaves never serves again,
and an older incarnation never replaces a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Departure", "Heartbeat", "UpstreamIncarnation", "UpstreamRegistry"]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One report of an upstream about itself."""

    instance: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool
    sequence: int
    # Time for which the upstream is still slow after its start, in seconds.
    cold_left_s: float
    # Start of the incarnation in Unix milliseconds; 0 if it was not said.
    born_ms: int


@dataclass(frozen=True, slots=True)
class Departure:
    """An upstream's word that it ends."""

    instance: str
    # 0 if it was not said.
    born_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamIncarnation:
    """The incarnation that the node believes in."""

    instance: str
    service: str
    slots: int
    born_ms: int
    sequence: int
    leaving: bool


class UpstreamRegistry:
    """Orders the reports about the upstream at one address.

    Parameters
    ----------
    address : str
        Address of the upstream beside the node; reports for others are ignored.
    """

    __slots__ = ("_address", "_departed", "current")

    def __init__(self, address: str) -> None:
        self._address = address
        self.current: UpstreamIncarnation | None = None
        # Latest known start of each identifier that has left.
        self._departed: dict[str, int] = {}

    def observe(self, beat: Heartbeat) -> bool:
        """Take a heartbeat in; return True when it changed what is believed."""
        if self._is_outdated(beat):
            return False
        known = self.current
        same = known is not None and known.instance == beat.instance
        # A leaving incarnation stays so, whatever a late report says.
        sticky = same and known is not None and known.leaving
        sticky = sticky and known is not None and known.born_ms == beat.born_ms
        found = UpstreamIncarnation(
            beat.instance,
            beat.service,
            beat.slots,
            beat.born_ms,
            beat.sequence,
            beat.leaving or sticky,
        )
        self.current = found
        if known is None:
            return True
        return replace(known, sequence=beat.sequence) != found

    def record_departure(self, departure: Departure) -> bool:
        """Note that an upstream ends; return True when it was the current one."""
        known = self.current
        is_current = known is not None and known.instance == departure.instance
        born_ms = departure.born_ms
        if is_current and known is not None:
            if 0 < born_ms < known.born_ms:
                # Word of an earlier incarnation under the same identifier.
                return False
            born_ms = max(born_ms, known.born_ms)
        self._note_departed(departure.instance, born_ms)
        if not is_current or known is None:
            return False
        self.current = replace(known, leaving=True)
        return not known.leaving

    def restore_departure(self, instance: str, born_ms: int) -> None:
        """Take over from an earlier process that an upstream has left."""
        self._note_departed(instance, born_ms)

    def assume(self, found: UpstreamIncarnation) -> bool:
        """Believe in an upstream that has not reported since the node's start."""
        if self.current is not None or found.instance in self._departed:
            return False
        self.current = found
        return True

    def _note_departed(self, instance: str, born_ms: int) -> None:
        self._departed[instance] = max(born_ms, self._departed.get(instance, 0))

    def _is_outdated(self, beat: Heartbeat) -> bool:
        if beat.address != self._address:
            return True
        left_born_ms = self._departed.get(beat.instance)
        if left_born_ms is not None and beat.born_ms <= left_born_ms:
            return True
        known = self.current
        if known is None:
            return False
        if beat.born_ms != known.born_ms:
            return beat.born_ms < known.born_ms
        return known.instance == beat.instance and beat.sequence <= known.sequence
