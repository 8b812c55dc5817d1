"""Request and response bodies of the operator API, shared with the command line."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

from msgspec import Meta

from gypsumlock.metrics import MetricsReport
from gypsumlock.model import (
    ConfigException,
    Defaults,
    Origin,
    Overrides,
    Selector,
)
from gypsumlock.model.ranks import Name

__all__ = [
    "ConvergenceReport",
    "DefaultsReport",
    "ExceptionBody",
    "ExceptionsReport",
    "FaultEntry",
    "FaultsReport",
    "LaggingNode",
    "LoadDefaultsBody",
    "RemoveExceptionBody",
    "RestoreBody",
    "SetDefaultBody",
    "StatusReport",
    "UpstreamEntry",
    "VersionReport",
]

OperationId = Annotated[str, Meta(pattern="^[A-Za-z0-9-]{8,64}$")]
Author = Annotated[str, Meta(min_length=1, max_length=200)]
Reason = Annotated[str, Meta(max_length=2000)]


@dataclass(frozen=True, slots=True)
class SetDefaultBody:
    """Request to set one default."""

    path: Annotated[str, Meta(min_length=1, max_length=500)]
    value: Any
    base_revision: int
    author: Author
    operation_id: OperationId
    reason: Reason = ""


@dataclass(frozen=True, slots=True)
class LoadDefaultsBody:
    """Request to replace all defaults."""

    document: Defaults
    base_revision: int
    author: Author
    operation_id: OperationId
    reason: Reason = ""


@dataclass(frozen=True, slots=True)
class ExceptionBody:
    """Request to add an exception, or to replace one if a base revision is given."""

    name: Name
    selector: Selector
    overrides: Overrides
    reason: Reason
    author: Author
    operation_id: OperationId
    review_on: Annotated[str, Meta(pattern=r"^(\d{4}-\d{2}-\d{2})?$")] = ""
    # None adds an exception. A revision replaces one, unless it changed after that
    # revision.
    base_revision: int | None = None


@dataclass(frozen=True, slots=True)
class RemoveExceptionBody:
    """Request to remove an exception."""

    base_revision: int
    author: Author
    operation_id: OperationId
    reason: Reason = ""


@dataclass(frozen=True, slots=True)
class RestoreBody:
    """Request to create a new version with the content of an older one."""

    version: Annotated[int, Meta(ge=0)]
    base_version: int
    author: Author
    operation_id: OperationId
    reason: Reason = ""


@dataclass(frozen=True, slots=True)
class VersionReport:
    """Version that contains an accepted change."""

    version: int
    digest_hex: str


@dataclass(frozen=True, slots=True)
class DefaultsReport:
    """The defaults of the newest version that the node holds."""

    version: int
    # Version in which the defaults last changed.
    revision: int
    defaults: Defaults


@dataclass(frozen=True, slots=True)
class ExceptionsReport:
    """The exceptions of the newest version that the node holds."""

    version: int
    exceptions: list[ConfigException]


@dataclass(frozen=True, slots=True)
class FaultEntry:
    """One fault in a response."""

    code: int
    name: str
    detail: str
    path: str = ""


@dataclass(frozen=True, slots=True)
class FaultsReport:
    """Response to a rejected request."""

    faults: list[FaultEntry]


@dataclass(frozen=True, slots=True)
class LaggingNode:
    """A node on which the requested version is not known to be in force, and why."""

    address: str
    in_force_version: int
    held_version: int
    reachable: bool
    code: int


@dataclass(frozen=True, slots=True)
class ConvergenceReport:
    """Whether a version, or a newer one, is in force on every node."""

    version: int
    converged: bool
    # Number of nodes that were queried.
    nodes: int
    lagging: list[LaggingNode]
    # Addresses of nodes that are known to be dead and were not queried.
    dead: list[str]


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream known to the node."""

    service: str
    node_address: str
    call_address: str
    zone: str
    slots: int
    suspect: bool


@dataclass(frozen=True, slots=True)
class StatusReport:
    """State of one node."""

    address: str
    zone: str
    region: str
    instance: str
    ready: bool
    stopping: bool
    in_force_version: int
    # Version that the node has verified and can serve to peers.
    held_version: int
    # Newest version that the node knows of.
    head_version: int
    # Lowest version that may be in force on this node; None while it is not known.
    floor: int | None
    # Whether the node has read the configuration source itself since its start.
    witness: bool
    source_reachable: bool
    fault: FaultEntry | None
    # Number of members by status.
    members: dict[str, int]
    neighbours: list[str]
    # Origin of the version in force.
    origin: Origin
    metrics: MetricsReport
    # Names of exceptions whose review date has passed.
    overdue_exceptions: list[str] = field(default_factory=list)
