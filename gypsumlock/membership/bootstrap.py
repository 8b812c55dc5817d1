"""Bootstrap: how a node finds its first peers, and how other nodes find it.

Each node keeps one row in the table and refreshes it rarely. The rows serve
bootstrap only; liveness is detected between the nodes themselves. Row keys are
hashes of addresses, so that a short scan from a random key returns a random sample
of the fleet.
"""

from __future__ import annotations

import hashlib
import random
import secrets
import time
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
from result import Err, Ok

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.controller import Backoff, Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.options import MembershipOptions
from gypsumlock.peering import PeerTransport
from gypsumlock.store import Condition, Row, TableService, Write

__all__ = ["BootstrapController", "NodeRow"]

log = get_logger(Component.MEMBERS)

NODE_KEY_PREFIX: Final = "node/"
# A row is stale if it was not refreshed for this number of refresh periods.
STALE_AFTER_PERIODS: Final = 3
# Peers that a node tries to join through at the same time.
MAX_CONCURRENT_JOINS: Final = 3


@dataclass(frozen=True, slots=True)
class NodeRow:
    """Value of a node's bootstrap row in the table."""

    address: str
    # Unix time of the last refresh.
    refreshed_at_s: float


class BootstrapController(Controller):
    """Joins the fleet, refreshes the node's row and reconnects partitioned parts."""

    def __init__(
        self,
        board: Board,
        table: TableService,
        transport: PeerTransport,
        options: MembershipOptions,
    ) -> None:
        self._board = board
        self._table = table
        self._transport = transport
        self._options = options

    async def run(self) -> None:
        """Join the fleet and refresh the row; delete the row when the node stops."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._join)
            tasks.start_soon(self._refresh_row)
            await self._board.stopping.wait_until(bool)
            tasks.cancel_scope.cancel()
        await self._delete_row()
        await anyio.sleep_forever()

    async def _join(self) -> None:
        """Try seeds and sampled rows until another member is known."""
        backoff = Backoff()
        while not self._board.members.others():
            sampled = await self._sample_addresses()
            candidates = [*self._options.seeds, *sampled]
            await self._pull_views(candidates)
            await backoff.wait()

    async def _pull_views(self, candidates: list[str]) -> None:
        """Merge the member views of a few random candidates into this node's view."""
        own_address = self._board.node.address
        others = [address for address in candidates if address != own_address]
        random.shuffle(others)
        async with anyio.create_task_group() as tasks:
            for address in others[:MAX_CONCURRENT_JOINS]:
                tasks.start_soon(self._pull_view, address)

    async def _pull_view(self, address: str) -> None:
        """Merge the member view of a peer into this node's view."""
        digests = self._board.members.bucket_digests()
        timeout_s = self._options.exchange_timeout_s
        reply = await self._transport.sync(address, digests, timeout_s)
        if isinstance(reply, Ok):
            new_records = self._board.members.merge(reply.ok_value)
            if new_records:
                log.info("member view merged", peer=address, records=new_records)

    async def _refresh_row(self) -> None:
        """Write the row at once and then once in each refresh period."""
        backoff = Backoff()
        while True:
            if await self._write_row():
                backoff.reset()
                period_s = self._options.row_refresh_s
                await anyio.sleep(period_s * random.uniform(0.8, 1.0))
                # Reconnects parts of the fleet that were partitioned for long.
                await self._pull_views(await self._sample_addresses())
            else:
                await backoff.wait()

    async def _write_row(self) -> bool:
        address = self._board.node.address
        value = msgspec.json.encode(NodeRow(address, time.time())).decode()
        written = await self._table.transact([], [Write(_row_key(address), value)])
        return written.is_ok()

    async def _delete_row(self) -> None:
        """Delete the node's row.

        If that fails, a node that samples the row deletes it once it is stale.
        """
        key = _row_key(self._board.node.address)
        await self._table.transact([], [Write(key, None)])

    async def _sample_addresses(self) -> list[str]:
        """Return the addresses of a random range of node rows.

        The scan wraps around to the first row if it finds too few.
        """
        start = NODE_KEY_PREFIX + secrets.token_hex(4)
        rows: list[Row] = []
        for after in (start, NODE_KEY_PREFIX):
            page = await self._table.scan(
                NODE_KEY_PREFIX, after, defaults.BOOTSTRAP_SAMPLE
            )
            if isinstance(page, Err):
                return []
            rows.extend(page.ok_value)
            if len(rows) >= defaults.BOOTSTRAP_SAMPLE:
                break
        return await self._delete_stale_rows(rows)

    async def _delete_stale_rows(self, rows: list[Row]) -> list[str]:
        """Delete stale rows and return the addresses of the other rows."""
        addresses = set()
        stale_before_s = time.time() - STALE_AFTER_PERIODS * self._options.row_refresh_s
        for row in rows:
            try:
                node_row = msgspec.json.decode(row.value, type=NodeRow)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            if node_row.refreshed_at_s < stale_before_s:
                condition = Condition(row.key, row.revision)
                await self._table.transact([condition], [Write(row.key, None)])
            else:
                addresses.add(node_row.address)
        return sorted(addresses)


def _row_key(address: str) -> str:
    return (
        NODE_KEY_PREFIX + hashlib.blake2b(address.encode(), digest_size=8).hexdigest()
    )
