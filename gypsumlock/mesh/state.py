"""State shared by the parts of a mesh node, all of which read and write it.

Invariant: the route table in force is never replaced by an older version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.descriptor_shares import DescriptorShares
from gypsumlock.mesh.link_meter import LinkMeter, usable_mbps
from gypsumlock.mesh.memory_account import MemoryAccount
from gypsumlock.mesh.model import (
    HeaderNames,
    NodeAddresses,
    RolloutEntry,
    UpstreamRecord,
)
from gypsumlock.mesh.pacer import Pacer
from gypsumlock.mesh.published_record import PublishedRecord
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.mesh.store_era import StoreEra
from gypsumlock.mesh.upstream_registry import UpstreamRegistry
from gypsumlock.organisations.config_contact import ConfigContact
from gypsumlock.rollout.version_gate import VersionGate
from gypsumlock.rollout.version_table import VersionTable

__all__ = [
    "MeshBounds",
    "MeshState",
    "QuotaBounds",
    "RevocationBounds",
    "RolloutBounds",
]

# Phases of a stop, in seconds since its request; each with the share of the grace
# period that it takes at most.
# Calls for the node's upstream are accepted: other nodes learn of the stop meanwhile,
# and this node's clients have other upstreams.
PEER_DRAIN_S = 1.0
MAX_PEER_DRAIN_SHARE = 1 / 6
# Clients notice that the node is not ready.
READINESS_PROPAGATION_S = 2.4
MAX_READINESS_PROPAGATION_SHARE = 0.4
# Calls of clients are accepted.
CLIENT_DRAIN_S = 3.0
MAX_CLIENT_DRAIN_SHARE = 0.5
# Time from the last deadline of a call to the end of the grace period, in seconds.
END_MARGIN_S = 0.6
# Less than a sixth: an upstream's work is cut off in the last sixth only.
MAX_END_MARGIN_SHARE = 0.15
# Part of it that is left when the process exits: responses are sent in the rest.
EXIT_MARGIN_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Tolerance of the quotas that all nodes share.

    In any window, an organisation's calls may exceed its quota by the ratio `excess`
    and by `allowance` calls.
    """

    window_s: float
    excess: float
    allowance: float


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds on the calls that a version under roll-out receives before it is judged.

    It may receive `canary_share` of a service's calls and `canary_allowance` calls,
    and none later than `rollback_s` seconds after it was found to be bad.
    """

    canary_share: float
    canary_allowance: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class RevocationBounds:
    """Bounds on the use of an API key after its removal.

    With `strict`, a node that has had no contact with a source of configuration
    versions for `max_delay_s` seconds refuses calls that need a key.
    """

    max_delay_s: float
    strict: bool


class MeshBounds:
    """Bounds that the users of the fleet configure."""

    __slots__ = (
        "grace_s",
        "quota",
        "retry_allowance",
        "retry_ratio",
        "retry_window_s",
        "revocation",
        "rollout",
    )

    def __init__(
        self,
        grace_s: float,
        retry_ratio: float,
        retry_allowance: float,
        retry_window_s: float,
        quota: QuotaBounds | None = None,
        rollout: RolloutBounds | None = None,
        revocation: RevocationBounds | None = None,
    ) -> None:
        # Time from a stop request to the end of the process, in seconds.
        self.grace_s = grace_s
        # Retries allowed per first attempt, and in addition per window.
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.retry_window_s = retry_window_s
        # None where the settings set no such bounds.
        self.quota = quota
        self.rollout = rollout
        self.revocation = revocation

    @property
    def peer_drain_s(self) -> float:
        """Time after a stop request for which other nodes' calls are accepted."""
        return min(PEER_DRAIN_S, MAX_PEER_DRAIN_SHARE * self.grace_s)

    @property
    def readiness_propagation_s(self) -> float:
        """Time after a stop request in which clients notice it."""
        return min(
            READINESS_PROPAGATION_S, MAX_READINESS_PROPAGATION_SHARE * self.grace_s
        )

    @property
    def client_drain_s(self) -> float:
        """Time after a stop request for which calls of clients are accepted."""
        return min(CLIENT_DRAIN_S, MAX_CLIENT_DRAIN_SHARE * self.grace_s)

    @property
    def end_margin_s(self) -> float:
        """Time from the last deadline of a call to the end of the grace period."""
        return min(END_MARGIN_S, MAX_END_MARGIN_SHARE * self.grace_s)


class MeshState:
    """Shared state of one mesh node.

    Parameters
    ----------
    node : str
        Name of the node.
    zone : str
        Availability zone of the node.
    service : str
        Service of the local upstream, from the settings.
    addresses : NodeAddresses
        Listen addresses of the node, and the address of its upstream.
    header_names : HeaderNames
        Names of the headers that the data path uses.
    bounds : MeshBounds
        Bounds that the users configure.
    link_mbps : float
        Bandwidth of the machine's network link in megabits per second; 0 if it is not
        known.
    fleet_start : bool
        True if the whole fleet starts for the first time.
    memory_mb : float
        Memory that the process may use, in megabytes; 0 if it is not known.
    max_fds : int
        Most descriptors that the process may open; 0 if it is not known.
    """

    __slots__ = (
        "addresses",
        "bounds",
        "config_contact",
        "configured",
        "descriptors",
        "directory_loaded",
        "dispatch_stopped",
        "fleet_start",
        "header_names",
        "link_mbps",
        "link_meter",
        "memory",
        "node",
        "pacer",
        "previous_record",
        "publish_needed",
        "published",
        "registry",
        "rollouts",
        "route_table",
        "route_table_listeners",
        "service",
        "stopping_since_s",
        "store_era",
        "upstream_probed",
        "version_gate",
        "versions",
        "zone",
    )

    def __init__(
        self,
        node: str,
        zone: str,
        service: str,
        addresses: NodeAddresses,
        header_names: HeaderNames,
        bounds: MeshBounds,
        link_mbps: float = 0.0,
        fleet_start: bool = False,
        memory_mb: float = 0.0,
        max_fds: int = 0,
    ) -> None:
        self.node = node
        self.zone = zone
        self.service = service
        self.addresses = addresses
        self.header_names = header_names
        self.bounds = bounds
        self.link_mbps = link_mbps
        self.fleet_start = fleet_start
        self.link_meter = LinkMeter(usable_mbps(link_mbps))
        self.pacer = Pacer(self.link_meter)
        self.memory = MemoryAccount(memory_mb)
        self.descriptors = DescriptorShares(max_fds)
        self.registry = UpstreamRegistry(addresses.upstream)
        self.versions = VersionTable()
        self.version_gate = VersionGate(self.versions, self.registry)
        # Decisions on roll-outs that this node publishes, or has published.
        self.rollouts: tuple[RolloutEntry, ...] = ()
        # Set whenever the node's own record has to be published again.
        self.publish_needed = asyncio.Event()
        self.published = PublishedRecord()
        # Era of the platform's store. What this process has written in an earlier one
        # counts as lost.
        self.store_era = StoreEra()
        # Record that an earlier process of this node published, once it was read; None
        # if there is none.
        self.previous_record: asyncio.Future[UpstreamRecord | None] = (
            asyncio.get_running_loop().create_future()
        )
        # True once a starting node has probed the upstream of an earlier process.
        self.upstream_probed = False
        # Set when the first configuration version comes into force.
        self.configured = asyncio.Event()
        self.route_table: RouteTable | None = None
        # Called whenever another table has come into force.
        self.route_table_listeners: list[Callable[[], None]] = []
        # When the configuration in force was last known to be the newest.
        self.config_contact = ConfigContact()
        # True once the records of the other nodes were read.
        self.directory_loaded = False
        # Monotonic time of the stop request; None before it.
        self.stopping_since_s: float | None = None
        # True once a stopping process no longer offers calls to any upstream.
        self.dispatch_stopped = False

    @property
    def stopping(self) -> bool:
        """Return whether the process was asked to stop."""
        return self.stopping_since_s is not None

    @property
    def ends_at_s(self) -> float:
        """Return the monotonic time by which a stopping process answers all calls.

        It is infinite before the stop request.
        """
        if self.stopping_since_s is None:
            return float("inf")
        bounds = self.bounds
        return self.stopping_since_s + bounds.grace_s - bounds.end_margin_s

    @property
    def exits_at_s(self) -> float:
        """Return the monotonic time by which a stopping process exits.

        The answers of calls whose deadline is `ends_at_s` are sent before.
        """
        return self.ends_at_s + EXIT_MARGIN_SHARE * self.bounds.end_margin_s

    def ready(self) -> bool:
        """Return whether clients may send calls here."""
        return (
            self.route_table is not None and self.directory_loaded and not self.stopping
        )

    def is_known_service(self, name: str) -> bool:
        """Return whether an upstream can belong to a service.

        Before the first configuration version this can't be told.
        """
        table = self.route_table
        return table is None or name == self.service or table.service(name) is not None

    def is_config_outdated(self) -> bool:
        """Return whether API keys may have been removed for longer than allowed.

        Only with strict bounds, and without contact to a source of versions.
        """
        bounds = self.bounds.revocation
        if bounds is None or not bounds.strict:
            return False
        return self.config_contact.age_s(boot_time_s()) > bounds.max_delay_s

    def activate_route_table(self, table: RouteTable) -> bool:
        """Replace the table as a whole; return False if the new one isn't newer."""
        if self.route_table is not None and table.version <= self.route_table.version:
            return False
        self.route_table = table
        self.configured.set()
        for listener in self.route_table_listeners:
            listener()
        return True
