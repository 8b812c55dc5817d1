"""How a node finds its first peers, and how others find it.

Each node keeps one row in the table, refreshed far apart; the row serves
bootstrap only, liveness is between nodes. Row keys are hashes of addresses, so
that a short scan from a random key is a random sample of the fleet.
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

NODE_PREFIX: Final = "node/"
# Refresh periods after which a row counts as left behind.
STALE_PERIODS: Final = 3
# Joins that one node tries at the same time.
CONCURRENT_JOINS: Final = 3


@dataclass(frozen=True, slots=True)
class NodeRow:
    """One node, as the table keeps it for bootstrap."""

    address: str
    refreshed_at_s: float


class BootstrapController(Controller):
    """Joins the fleet, then keeps the node's row and looks for lost parts."""

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
        """Join, then refresh the row, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._join)
            tasks.start_soon(self._keep_row)
            await self._board.stopping.wait_until(bool)
            tasks.cancel_scope.cancel()
        await self._delete_row()
        await anyio.sleep_forever()

    async def _join(self) -> None:
        """Try seeds and sampled rows until a peer has answered."""
        backoff = Backoff()
        while not self._board.members.others():
            sampled = await self._sample_rows()
            candidates = [*self._options.seeds, *sampled]
            await self._join_through(candidates)
            await backoff.wait()

    async def _join_through(self, candidates: list[str]) -> None:
        own = self._board.node.address
        others = [address for address in candidates if address != own]
        random.shuffle(others)
        async with anyio.create_task_group() as tasks:
            for address in others[:CONCURRENT_JOINS]:
                tasks.start_soon(self._pull_view, address)

    async def _pull_view(self, address: str) -> None:
        digests = self._board.members.bucket_digests()
        timeout_s = self._options.exchange_timeout_s
        found = await self._transport.sync(address, digests, timeout_s)
        if isinstance(found, Ok):
            count = self._board.members.merge(found.ok_value)
            if count:
                log.info("member view joined", peer=address, records=count)

    async def _keep_row(self) -> None:
        """Write the row at once and then at each refresh period."""
        backoff = Backoff()
        while True:
            if await self._write_row():
                backoff.reset()
                period_s = self._options.row_refresh_s
                await anyio.sleep(period_s * random.uniform(0.8, 1.0))
                # Finds parts of the fleet that were cut off for long.
                await self._join_through(await self._sample_rows())
            else:
                await backoff.wait()

    async def _write_row(self) -> bool:
        address = self._board.node.address
        value = msgspec.json.encode(NodeRow(address, time.time())).decode()
        written = await self._table.transact([], [Write(_node_key(address), value)])
        return written.is_ok()

    async def _delete_row(self) -> None:
        """Leave no row behind; one that stays is dropped once it is stale."""
        key = _node_key(self._board.node.address)
        await self._table.transact([], [Write(key, None)])

    async def _sample_rows(self) -> list[str]:
        """Return addresses from a random stretch of the node rows."""
        start = NODE_PREFIX + secrets.token_hex(4)
        rows: list[Row] = []
        for after in (start, NODE_PREFIX):
            found = await self._table.scan(
                NODE_PREFIX, after, defaults.BOOTSTRAP_SAMPLE
            )
            if isinstance(found, Err):
                return []
            rows.extend(found.ok_value)
            if len(rows) >= defaults.BOOTSTRAP_SAMPLE:
                break
        return await self._drop_stale(rows)

    async def _drop_stale(self, rows: list[Row]) -> list[str]:
        """Delete rows that were left behind; return the other addresses."""
        addresses = set()
        oldest_s = time.time() - STALE_PERIODS * self._options.row_refresh_s
        for row in rows:
            try:
                node = msgspec.json.decode(row.value, type=NodeRow)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            if node.refreshed_at_s < oldest_s:
                condition = Condition(row.key, row.revision)
                await self._table.transact([condition], [Write(row.key, None)])
            else:
                addresses.add(node.address)
        return sorted(addresses)


def _node_key(address: str) -> str:
    return NODE_PREFIX + hashlib.blake2b(address.encode(), digest_size=8).hexdigest()
