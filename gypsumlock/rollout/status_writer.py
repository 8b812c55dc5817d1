"""Writes the status rows of roll-outs, while this node is the conductor.

A status is written only once the store holds the entry that it reports. Writes are
conditional: one that takes effect late undoes nothing, and after a lost response the
row tells whether it took effect. A new conductor writes the row of a running roll-out
again, so that a late write of the one before it fails.
"""

from __future__ import annotations

from result import Err

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.feed_store import FeedStore
from gypsumlock.mesh.model import RolloutEntry, RolloutPhase
from gypsumlock.rollout.lease import ConductorLease
from gypsumlock.rollout.rows import RolloutRows, entry_state

__all__ = ["StatusWriter"]

log = get_logger(Component.ROLLOUT)


class StatusWriter:
    """Keeps the status rows in line with the published entries.

    Parameters
    ----------
    store : FeedStore
        The store.
    lease : ConductorLease
        Read immediately before each write.
    rows : RolloutRows
        Names and formats of the rows.
    """

    __slots__ = ("_lease", "_rows", "_store", "_written")

    def __init__(
        self, store: FeedStore, lease: ConductorLease, rows: RolloutRows
    ) -> None:
        self._store = store
        self._lease = lease
        self._rows = rows
        # Entry whose status the row of each service is known to hold.
        self._written: dict[str, tuple[int, RolloutPhase, str, int]] = {}

    async def write_changes(self, entries: tuple[RolloutEntry, ...]) -> None:
        """Write what has changed; a failed write is repeated with the next call.

        Parameters
        ----------
        entries : tuple[RolloutEntry, ...]
            Entries of this conductor that the store holds.
        """
        for entry in entries:
            phase = entry_state(entry)
            if phase is None:
                continue
            mark = (entry.token, phase, entry.candidate, entry.order_version)
            if self._written.get(entry.service) != mark and await self._write(
                entry, phase
            ):
                self._written[entry.service] = mark

    async def _write(self, entry: RolloutEntry, phase: RolloutPhase) -> bool:
        """Write a status; return whether the row holds it."""
        key = self._rows.status_key(entry.service)
        found = await self._store.read_row(self._rows.status_table, key)
        if isinstance(found, Err):
            log.warning("status not written", reason=found.err_value.text())
            return False
        row = found.ok_value
        status = self._rows.decode_status(row) if row.value is not None else None
        is_equal = (
            status is not None
            and (status.phase, status.candidate) == (phase, entry.candidate)
            and status.row_version > entry.order_version
        )
        if is_equal and status is not None and status.is_final:
            return True
        if self._lease.token() != entry.token:
            return False
        value = self._rows.encode_status(phase, entry.candidate)
        written = await self._store.write_row(
            self._rows.status_table, key, value, row.version
        )
        if isinstance(written, Err):
            log.warning("status not written", reason=written.err_value.text())
            return False
        if written.ok_value.current is not None:
            return False
        log.info(
            "status written",
            service=entry.service,
            state=phase.value,
            candidate=entry.candidate,
            token=entry.token,
        )
        return True
