"""Divides the descriptors of a process among the kinds of connection that use them.

A node needs descriptors for connections that others open, and for those that it opens
itself: to the store, to its upstream and to other nodes. The first are limited, so that
a large number of clients leaves enough for the second.
"""

from __future__ import annotations

from typing import Final

__all__ = ["DescriptorShares"]

# Shares for connections of clients, and of other nodes. The rest is for readiness
# probes and heartbeats, and for what the node opens itself: at 1,300 nodes as many
# connections as other nodes open.
CLIENT_SHARE: Final = 0.25
PEER_SHARE: Final = 0.33
# Share of each of the two servers for readiness probes and heartbeats, with a minimum:
# there are few of these, each on a connection of its own.
CONTROL_SHARE: Final = 0.03
MIN_CONTROL_CONNECTIONS: Final = 8


class DescriptorShares:
    """Most connections of each kind; 0 for no limit.

    Parameters
    ----------
    max_fds : int
        Most descriptors that the process may open; 0 if it is not known.
    """

    __slots__ = ("clients", "control", "peers")

    def __init__(self, max_fds: int = 0) -> None:
        self.clients = int(CLIENT_SHARE * max_fds)
        self.peers = int(PEER_SHARE * max_fds)
        control = max(MIN_CONTROL_CONNECTIONS, int(CONTROL_SHARE * max_fds))
        self.control = control if max_fds else 0
