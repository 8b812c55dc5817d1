"""Accounts for the bodies that a node holds in memory, and limits them.

The platform ends a process that exceeds the memory of its machine, and with it all
calls of the node. A node therefore stops receiving a body that it can't hold, and
refuses new calls while it holds too much.

Each kind of body has a limit of its own, and both limits together leave room below the
one for new calls: neither large requests nor responses without end keep out small
calls. Answers are held whatever their size, as upstreams have executed their calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

__all__ = ["MAX_BUFFERED_BYTES", "ByteBudget", "MemoryAccount"]

BYTES_PER_MEGABYTE: Final = 1_000_000
# Memory of a machine whose settings name none, in megabytes.
DEFAULT_MEMORY_MB: Final = 128.0
# Share of a machine's memory for bodies. A body may be copied while it is handed on.
HELD_SHARE: Final = 0.33
# Shares of that for the kinds of body that can be refused.
REQUEST_SHARE: Final = 0.35
RESPONSE_SHARE: Final = 0.4
# Share above which new calls are refused.
HIGH_SHARE: Final = 0.8
# Most bytes of a budget without an account.
MAX_BUFFERED_BYTES: Final = 33_554_432


class ByteBudget:
    """Bytes of one kind of body that a node holds.

    Parameters
    ----------
    max_bytes : int
        Most bytes that can be reserved.
    account : MemoryAccount | None
        Account of all kinds of body together; None if they are counted apart.
    """

    __slots__ = ("_account", "max_bytes", "on_shortage", "used_bytes")

    def __init__(
        self,
        max_bytes: int = MAX_BUFFERED_BYTES,
        account: MemoryAccount | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self._account = account
        self.used_bytes = 0
        # Called with a number of bytes that can't be reserved; may release others.
        self.on_shortage: Callable[[int], None] | None = None

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a number of bytes can be reserved."""
        if self.used_bytes + size_bytes > self.max_bytes:
            return False
        return self._account is None or self._account.has_room(size_bytes)

    def make_room(self, size_bytes: int) -> bool:
        """Return whether bytes can be reserved; may release those of stalled requests.

        Nothing is released for more bytes than the budget has.
        """
        if self.has_room(size_bytes):
            return True
        if self.on_shortage is None or size_bytes > self.max_bytes:
            return False
        self.on_shortage(size_bytes)
        return self.has_room(size_bytes)

    def reserve(self, size_bytes: int) -> bool:
        """Reserve a number of bytes; return False if too few are left."""
        if not self.make_room(size_bytes):
            return False
        self.used_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Count bytes that are held, whether or not they fit."""
        self.used_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Return bytes that were reserved or held."""
        self.used_bytes -= size_bytes


class MemoryAccount:
    """All bodies that a node holds.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in megabytes; 0 if it is not known.
    """

    __slots__ = ("answers", "max_bytes", "requests", "responses")

    def __init__(self, memory_mb: float = 0.0) -> None:
        held_mb = HELD_SHARE * (memory_mb or DEFAULT_MEMORY_MB)
        self.max_bytes = int(held_mb * BYTES_PER_MEGABYTE)
        # Requests of clients and of other nodes, until their calls end.
        self.requests = ByteBudget(int(REQUEST_SHARE * self.max_bytes), self)
        # Responses that are received from the local upstream.
        self.responses = ByteBudget(int(RESPONSE_SHARE * self.max_bytes), self)
        # Complete responses that wait for the network link, parts received from other
        # nodes, and whatever else waits to be sent.
        self.answers = ByteBudget(self.max_bytes, self)

    @property
    def used_bytes(self) -> int:
        """Bytes of all bodies together."""
        budgets = (self.requests, self.responses, self.answers)
        return sum(budget.used_bytes for budget in budgets)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a number of bytes can be held besides all others."""
        return self.used_bytes + size_bytes <= self.max_bytes

    def is_high(self) -> bool:
        """Return whether new calls must be refused."""
        return self.used_bytes > HIGH_SHARE * self.max_bytes
