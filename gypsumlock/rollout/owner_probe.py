"""Finds out whether the owners that no longer report have ended.

A process that is paused still accepts connections; only a refused connection shows that
none listens. A terminated machine gives no answer at all, nor does one that is cut off,
so that this counts only after a much longer time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.model import UpstreamRecord

__all__ = ["OwnerProbe"]

log = get_logger(Component.ROLLOUT)

CONNECT_TIMEOUT_S = 0.8
# Consecutive probes, one a second, after which an owner counts as ended: of refused
# connections, and of those without an answer.
MAX_REFUSED = 3
MAX_UNANSWERED = 30


class OwnerProbe:
    """Results of the probes by node."""

    __slots__ = ("_refused", "_unanswered", "gone")

    def __init__(self) -> None:
        self._refused: dict[str, int] = {}
        self._unanswered: dict[str, int] = {}
        self.gone: Collection[str] = frozenset()

    async def check(self, records: Iterable[UpstreamRecord]) -> None:
        """Probe the nodes of some records; forget what is known of all others."""
        by_node = {record.node: record.peer_address for record in records}
        for counts in (self._refused, self._unanswered):
            for node in counts.keys() - by_node.keys():
                del counts[node]
        results = await asyncio.gather(*(_connect(x) for x in by_node.values()))
        for node, result in zip(by_node, results, strict=True):
            self._count(self._refused, node, result is False)
            self._count(self._unanswered, node, result is None)
        gone = frozenset(
            node
            for node in by_node
            if self._refused[node] >= MAX_REFUSED
            or self._unanswered[node] >= MAX_UNANSWERED
        )
        for node in gone - set(self.gone):
            log.warning("owner has ended", node=node)
        self.gone = gone

    def _count(self, counts: dict[str, int], node: str, happened: bool) -> None:
        counts[node] = counts.get(node, 0) + 1 if happened else 0


async def _connect(address: str) -> bool | None:
    """Return whether a node accepts connections; None if it does not answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.close()
    return True
