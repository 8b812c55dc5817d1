"""Tracks the incarnation of the local upstream from the upstream's own reports.

Reports may arrive late, out of order, from an incarnation that has ended, or from
another process. Invariants: an incarnation that announced its departure never serves
again, and an older incarnation never replaces a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from gypsumlock.mesh.model import Departure

__all__ = ["Departure", "Heartbeat", "UpstreamIncarnation", "UpstreamRegistry"]

# Departures that are kept; the oldest one is dropped first.
MAX_DEPARTURES = 8


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report of an upstream about itself."""

    instance: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool
    sequence: int
    # Remaining time for which the upstream is slow after its start.
    cold_left_s: float
    # Start of the incarnation in Unix milliseconds; 0 if it was not reported.
    born_ms: int
    # Version of the upstream's software; empty if it was not reported.
    version: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamIncarnation:
    """State of one incarnation of the upstream, as the node knows it."""

    instance: str
    service: str
    slots: int
    born_ms: int
    sequence: int
    leaving: bool
    # Version of its software; empty if it is not known.
    version: str = ""


class UpstreamRegistry:
    """Determines the current incarnation of the upstream at one address.

    Parameters
    ----------
    address : str
        Address of the local upstream; heartbeats for other addresses are ignored.
    """

    __slots__ = ("_address", "_departed", "cold_left_s", "current")

    def __init__(self, address: str) -> None:
        self._address = address
        self.current: UpstreamIncarnation | None = None
        # Remaining warm-up time in the last heartbeat, in seconds.
        self.cold_left_s = 0.0
        # Latest known start of a departed incarnation by instance, in the order of the
        # departures.
        self._departed: dict[str, int] = {}

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Process a heartbeat; return whether anything that is published changed."""
        known_born_ms = self._departed.get(heartbeat.instance)
        if self._must_ignore(heartbeat):
            return self._departed.get(heartbeat.instance) != known_born_ms
        current = self.current
        same_instance = current is not None and current.instance == heartbeat.instance
        # Leaving is final for an incarnation, whatever a late report says.
        stays_leaving = same_instance and current is not None and current.leaving
        stays_leaving = (
            stays_leaving
            and current is not None
            and current.born_ms == heartbeat.born_ms
        )
        updated = UpstreamIncarnation(
            heartbeat.instance,
            heartbeat.service,
            heartbeat.slots,
            heartbeat.born_ms,
            heartbeat.sequence,
            heartbeat.leaving or stays_leaving,
            heartbeat.version,
        )
        self.cold_left_s = heartbeat.cold_left_s
        self.current = updated
        if current is None:
            return True
        if current.leaving and not same_instance:
            self._add_departed(current.instance, current.born_ms)
        return replace(current, sequence=heartbeat.sequence) != updated

    def record_departure(self, departure: Departure) -> bool:
        """Record a departure; return whether it was not known yet."""
        current = self.current
        is_current = current is not None and current.instance == departure.instance
        born_ms = departure.born_ms
        if is_current and current is not None:
            if 0 < born_ms < current.born_ms:
                # Announced by an earlier incarnation of the same instance.
                return False
            born_ms = max(born_ms, current.born_ms)
        is_new = self._add_departed(departure.instance, born_ms)
        if not is_current or current is None:
            return is_new
        self.current = replace(current, leaving=True)
        return is_new or not current.leaving

    def departures(self) -> tuple[Departure, ...]:
        """Return the departures that a later process of this node has to know."""
        departed = dict(self._departed)
        current = self.current
        if current is not None and current.leaving:
            known_born_ms = departed.get(current.instance, 0)
            departed[current.instance] = max(current.born_ms, known_born_ms)
        return tuple(Departure(*item) for item in departed.items())

    def departure_of(self, instance: str) -> Departure | None:
        """Return the departure of the last known incarnation of an instance, if any."""
        current = self.current
        if current is not None and current.instance == instance and not current.leaving:
            return None
        return next((x for x in self.departures() if x.instance == instance), None)

    def restore_departure(self, departure: Departure) -> None:
        """Restore a departure that an earlier process of this node recorded.

        A late report may have arrived before it.
        """
        self._add_departed(departure.instance, departure.born_ms)
        current = self.current
        if (
            current is not None
            and current.instance == departure.instance
            and current.born_ms <= departure.born_ms
        ):
            self.current = replace(current, leaving=True)

    def assume(self, incarnation: UpstreamIncarnation) -> bool:
        """Set the incarnation before the first heartbeat since the node's start.

        Return whether it was set: not if one is known, or if the instance has departed.
        """
        if self.current is not None or incarnation.instance in self._departed:
            return False
        self.current = incarnation
        return True

    def _add_departed(self, instance: str, born_ms: int) -> bool:
        """Add a departure; return whether it was not known yet."""
        known_born_ms = self._departed.pop(instance, None)
        self._departed[instance] = max(born_ms, known_born_ms or 0)
        if len(self._departed) > MAX_DEPARTURES:
            del self._departed[next(iter(self._departed))]
        return known_born_ms is None or born_ms > known_born_ms

    def _must_ignore(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.address != self._address:
            return True
        departed_born_ms = self._departed.get(heartbeat.instance)
        if departed_born_ms == 0:
            # The departure told no start, and this process knew of none: the next
            # heartbeat is a late one of the instance that departed.
            self._add_departed(heartbeat.instance, heartbeat.born_ms)
            return True
        if departed_born_ms is not None and heartbeat.born_ms <= departed_born_ms:
            return True
        current = self.current
        if current is None:
            return False
        if heartbeat.born_ms != current.born_ms:
            return heartbeat.born_ms < current.born_ms
        return (
            current.instance == heartbeat.instance
            and heartbeat.sequence <= current.sequence
        )
