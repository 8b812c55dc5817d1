"""What the parts of a mesh node share: its entries are read and written by all.

Invariant: the route table never moves to an older version.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.link_meter import LinkMeter
from gypsumlock.mesh.model import HeaderNames, NodeAddresses, UpstreamRecord
from gypsumlock.mesh.pacer import Pacer
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.upstream_registry import UpstreamRegistry

__all__ = ["MeshBounds", "MeshState"]

# Time before the end of the grace period by which a stopping process ends.
END_MARGIN_S = 0.6


class MeshBounds:
    """Bounds that the users of the fleet set, with their units."""

    __slots__ = (
        "grace_s",
        "retry_allowance",
        "retry_ratio",
        "retry_window_s",
    )

    def __init__(
        self,
        grace_s: float,
        retry_ratio: float,
        retry_allowance: float,
        retry_window_s: float,
    ) -> None:
        # Time from a stop request to the end of the process.
        self.grace_s = grace_s
        # Repeats allowed for each first send, and besides in each window.
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.retry_window_s = retry_window_s


class MeshState:
    """Blackboard of one mesh node.

    Parameters
    ----------
    node : str
        Name of the node.
    zone : str
        Its availability zone.
    service : str
        Service of the upstream beside it, as the settings say.
    addresses : NodeAddresses
        Where it listens.
    headers : HeaderNames
        Names of the headers that the data path uses.
    bounds : MeshBounds
        Bounds that the users set.
    link_mbps : float
        Bandwidth of the machine's link in megabits a second; 0 if it is not known.
    """

    __slots__ = (
        "addresses",
        "bounds",
        "configured",
        "directory_loaded",
        "dispatch_stopped",
        "headers",
        "link_mbps",
        "link_meter",
        "pacer",
        "node",
        "registry",
        "previous_record",
        "service",
        "stopping_since_s",
        "table",
        "publish_needed",
        "zone",
    )

    def __init__(
        self,
        node: str,
        zone: str,
        service: str,
        addresses: NodeAddresses,
        headers: HeaderNames,
        bounds: MeshBounds,
        link_mbps: float = 0.0,
    ) -> None:
        self.node = node
        self.zone = zone
        self.service = service
        self.addresses = addresses
        self.headers = headers
        self.bounds = bounds
        self.link_mbps = link_mbps
        self.link_meter = LinkMeter(link_mbps)
        self.pacer = Pacer(self.link_meter)
        self.registry = UpstreamRegistry(addresses.upstream)
        # Set whenever the node's own record has to be published again.
        self.publish_needed = asyncio.Event()
        # What an earlier process at this node published, once that was read.
        self.previous_record: asyncio.Future[UpstreamRecord | None] = (
            asyncio.get_running_loop().create_future()
        )
        # Set when the first version is in force.
        self.configured = asyncio.Event()
        self.table: RouteTable | None = None
        # True once the records of the other nodes were read.
        self.directory_loaded = False
        # Monotonic time of the stop request; None before it.
        self.stopping_since_s: float | None = None
        # True once a stopping process offers no call to anybody any more.
        self.dispatch_stopped = False

    @property
    def stopping(self) -> bool:
        """True once the process was asked to stop."""
        return self.stopping_since_s is not None

    @property
    def ends_at_s(self) -> float:
        """Monotonic time by which a stopping process ends; infinite before."""
        if self.stopping_since_s is None:
            return float("inf")
        return self.stopping_since_s + self.bounds.grace_s - END_MARGIN_S

    def ready(self) -> bool:
        """Tell whether clients may send calls here."""
        return self.table is not None and self.directory_loaded and not self.stopping

    def activate_table(self, table: RouteTable) -> bool:
        """Replace the table as a whole; return False for one that isn't newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.configured.set()
        return True
