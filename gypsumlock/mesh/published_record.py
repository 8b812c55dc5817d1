"""The last record of a node that the store has acknowledged."""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.model import Departure, UpstreamRecord

__all__ = ["PublishedRecord"]


class PublishedRecord:
    """Holds the record, and lets others wait for a departure in it.

    A departure that only this process knows of would be forgotten at a restart, so the
    upstream is told that it was noted only once the store holds it.
    """

    __slots__ = ("_changed", "record")

    def __init__(self) -> None:
        self.record: UpstreamRecord | None = None
        self._changed = asyncio.Event()

    def update(self, record: UpstreamRecord | None) -> None:
        """Replace the record, and notify those that wait."""
        self.record = record
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_departure(self, departure: Departure, timeout_s: float) -> bool:
        """Wait until the store holds a departure.

        Parameters
        ----------
        departure : Departure
            The departure.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            False if the store did not hold it in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._holds(departure):
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _holds(self, departure: Departure) -> bool:
        return self.record is not None and any(
            stored.instance == departure.instance
            and stored.born_ms >= departure.born_ms
            for stored in self.record.departures
        )
