"""Decides which connections of clients a server keeps when it may keep no more.

Designed for many clients that open connections and send nothing, or their heads
slowly. At the limit a new connection takes the place of one without a request in
progress: first of one that never had one, the oldest first, then of one that has been
idle the longest. If every connection has a request in progress, the new one is closed.
"""

from __future__ import annotations

from typing import Final, Generic, TypeVar

__all__ = ["ConnectionTable", "choose_backlog"]

ConnectionT = TypeVar("ConnectionT")

# Connections that may wait to be accepted: at most, as a share of those that are kept,
# and at least.
MAX_BACKLOG: Final = 1024
BACKLOG_SHARE: Final = 0.25
MIN_BACKLOG: Final = 4


def choose_backlog(max_connections: int) -> int:
    """Return how many connections may wait to be accepted.

    All of them are accepted at a time, before any can be closed, and use descriptors.

    Parameters
    ----------
    max_connections : int
        Most connections that the server keeps; 0 for no limit.
    """
    if max_connections == 0:
        return MAX_BACKLOG
    return min(MAX_BACKLOG, max(MIN_BACKLOG, int(BACKLOG_SHARE * max_connections)))


class ConnectionTable(Generic[ConnectionT]):
    """The connections of one server.

    Parameters
    ----------
    max_connections : int
        Most connections that are kept; 0 for no limit.
    """

    __slots__ = ("_idle", "_unproven", "connections", "max_connections")

    def __init__(self, max_connections: int = 0) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()
        # Connections without a complete request in progress, the oldest first: those
        # that never had one, and those whose last response was sent.
        self._unproven: dict[ConnectionT, None] = {}
        self._idle: dict[ConnectionT, None] = {}

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Add a new connection; return the one to close, if there are too many."""
        self.connections.add(connection)
        excess = None
        if 0 < self.max_connections < len(self.connections):
            waiting = (*self._first(self._unproven), *self._first(self._idle))
            excess = waiting[0] if waiting else connection
            self.remove(excess)
        if excess is not connection:
            self._unproven[connection] = None
        return excess

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.mark_busy(connection)

    def mark_busy(self, connection: ConnectionT) -> None:
        """Record that a complete request of a connection is in progress."""
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_reading(self, connection: ConnectionT) -> None:
        """Record that a connection has sent the complete head of a request.

        It is kept longer than one that has sent nothing.
        """
        if connection in self._unproven:
            del self._unproven[connection]
            self._idle[connection] = None

    def mark_idle(self, connection: ConnectionT) -> None:
        """Record that the last request of a connection was answered."""
        if connection in self.connections:
            self._idle[connection] = None

    def _first(self, waiting: dict[ConnectionT, None]) -> list[ConnectionT]:
        return [next(iter(waiting))] if waiting else []
