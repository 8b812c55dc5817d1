"""Messages between the owner of an upstream and the conductor of roll-outs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Annotated

import msgspec
from msgspec import Meta

from gypsumlock.mesh.field_types import Count, Identifier, Number, Text

__all__ = [
    "MAX_REPORTED_ROUTES",
    "ReportHandler",
    "RouteCounts",
    "VersionReport",
    "VersionVerdict",
]

# Routes in one report; further ones follow in the next.
MAX_REPORTED_ROUTES = 200

Bucket = Annotated[int, Meta(ge=0, le=95)]
RouteCountsList = Annotated[list["RouteCounts"], Meta(max_length=MAX_REPORTED_ROUTES)]


class RouteCounts(msgspec.Struct, array_like=True):
    """Answers of one upstream on one route since the roll-out began."""

    route: Text
    # Server errors and lost answers.
    errors: Count
    # Other answers by their service time; see `duration_bucket`.
    buckets: dict[Bucket, Count]


class VersionReport(msgspec.Struct, array_like=True, tag=18):
    """Answers of an upstream, sent by its owner while a roll-out is running."""

    node: Text
    service: Text
    instance: Identifier
    version: Text
    # Row version of the order that the counts belong to.
    order_version: Number
    # Number of the report, returned with the answer to it.
    number: Number
    # True if the upstream has no call in flight and accepts none any more.
    retired: bool
    # Routes whose counts have changed since the last report that was answered.
    routes: RouteCountsList


class VersionVerdict(msgspec.Struct, array_like=True, tag=19):
    """Answer to a version report: whether the upstream may get calls for a moment."""

    number: Number
    # Fencing token of the conductor.
    token: Number
    order_version: Number
    accept: bool
    # True once the conductor has rolled the candidate back; the owners act on it before
    # the entry arrives.
    rolled_back: bool = False


class ReportHandler(ABC):
    """Receives version reports at the conductor's node."""

    @abstractmethod
    def handle_report(self, report: VersionReport) -> VersionVerdict | None:
        """Return the answer, or None if this node is not the conductor."""
