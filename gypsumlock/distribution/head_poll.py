"""Polls the accepted head from the source at a rate that the whole fleet shares.

The source is the platform's table service, which holds the accepted versions.
Each node chooses its poll interval so that all nodes together make a fixed
number of reads per second, whatever their number. Pushes between nodes announce
a new head sooner; the poll finds a head whose push was missed.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace

import anyio
from result import Err

from gypsumlock import defaults
from gypsumlock.blackboard import Board, SourceHealth
from gypsumlock.controller import Backoff, Controller
from gypsumlock.distribution.rows import read_head
from gypsumlock.logs import Component, get_logger
from gypsumlock.result_codes import Fault
from gypsumlock.store import TableService

__all__ = ["HeadPollController", "poll_interval_s"]

log = get_logger(Component.PLATFORM)


def poll_interval_s(members: int, fleet_reads_per_s: float) -> float:
    """Return the mean time between two reads by one node, in seconds."""
    return max(defaults.MIN_HEAD_POLL_INTERVAL_S, members / fleet_reads_per_s)


class HeadPollController(Controller):
    """Keeps `head` and `source` current from the table service."""

    def __init__(
        self, board: Board, table: TableService, fleet_reads_per_s: float
    ) -> None:
        self._board = board
        self._table = table
        self._fleet_reads_per_s = fleet_reads_per_s

    async def run(self) -> None:
        """Poll until cancelled."""
        backoff = Backoff()
        while True:
            if await self._poll():
                backoff.reset()
                await self._wait_interval()
            else:
                await backoff.wait()
                if not self._is_urgent():
                    await self._wait_interval()

    async def _poll(self) -> bool:
        head = await read_head(self._table)
        if isinstance(head, Err):
            self._record_failure(head.err_value)
            return False
        ref = head.ok_value.ref
        if not self._board.source.read().reachable:
            log.info("source reachable", head=ref.version)
        self._board.source.write(SourceHealth(True, time.monotonic(), ref.version))
        self._board.record_head(ref, None)
        return True

    def _record_failure(self, fault: Fault) -> None:
        health = self._board.source.read()
        if health.reachable or health.read_at_s == 0:
            log.warning("source read failed", fault=fault.text())
        self._board.source.write(replace(health, reachable=False))

    def _is_urgent(self) -> bool:
        """Return whether the node needs the source before it can serve calls."""
        return (
            self._board.table.read() is None or not self._board.version_checked.read()
        )

    async def _wait_interval(self) -> None:
        """Wait for the poll interval, or until the process resumes from a pause."""
        members = len(self._board.members.others()) + 1
        mean_s = poll_interval_s(members, self._fleet_reads_per_s)
        with anyio.move_on_after(mean_s * random.uniform(0.5, 1.5)):
            await self._board.version_checked.wait_until(lambda checked: not checked)
            await anyio.sleep(random.uniform(0, defaults.RETRY_BASE_S))
