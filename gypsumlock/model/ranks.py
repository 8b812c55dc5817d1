"""Defaults of a configuration: ranks, services, routes and limits.

All classes are immutable and are decoded directly from JSON. Value ranges are
part of the field types, so that every decoder enforces the same schema.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from gypsumlock import defaults

__all__ = ["Defaults", "Limits", "Name", "Rank", "Route", "Service"]

Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$")]
TimeoutS = Annotated[float, Meta(gt=0, le=600)]
Share = Annotated[float, Meta(ge=0, le=1)]
Attempts = Annotated[int, Meta(ge=1, le=5)]
QueueLength = Annotated[int, Meta(ge=0, le=10_000)]


@dataclass(frozen=True, slots=True)
class Rank:
    """A priority class of calls. `Defaults.ranks` lists the most urgent one first."""

    name: Name
    # Latency target: a response within this time has its full value.
    target_s: TimeoutS
    # Minimum share of an upstream's slots for this rank, also while other ranks
    # overload the upstream.
    floor_share: Share = 0.0
    # Maximum number of calls that wait for a slot at one node.
    queue_limit: QueueLength = defaults.QUEUE_PER_RANK


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of interchangeable upstreams."""

    name: Name
    # Maximum number of connections from one node to the owner node of one upstream.
    max_connections: Annotated[int, Meta(ge=1, le=10_000)] = (
        defaults.MAX_CONNECTIONS_PER_UPSTREAM
    )
    # Slow start: time over which a new upstream's share of calls ramps up to its
    # full size.
    slow_start_s: Annotated[float, Meta(ge=0, le=600)] = defaults.SLOW_START_S


@dataclass(frozen=True, slots=True)
class Route:
    """Assigns a service, a rank and limits to the calls that it matches."""

    name: Name
    service: Name
    rank: Name
    path_prefix: Annotated[str, Meta(pattern="^/")] = "/"
    # Empty matches every host.
    host: str = ""
    # Empty matches every method.
    methods: tuple[str, ...] = ()
    timeout_s: TimeoutS = defaults.CALL_TIMEOUT_S
    max_attempts: Attempts = defaults.MAX_ATTEMPTS
    # None derives it from the method, as defined in RFC 9110.
    idempotent: bool | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits that are not specific to a route."""

    # Maximum ratio of retries to calls, for each service at each node.
    retry_budget_share: Share = defaults.RETRY_BUDGET_SHARE
    # Consecutive failures after which an upstream is ejected for `ejection_s`.
    ejection_failures: Annotated[int, Meta(ge=1, le=100)] = defaults.EJECTION_FAILURES
    ejection_s: Annotated[float, Meta(gt=0, le=600)] = defaults.EJECTION_S
    # Maximum share of a service's upstreams that may be ejected at the same time.
    max_ejected_share: Share = defaults.MAX_EJECTED_SHARE


@dataclass(frozen=True, slots=True)
class Defaults:
    """The fleet-wide part of a configuration."""

    ranks: tuple[Rank, ...] = ()
    services: tuple[Service, ...] = ()
    routes: Annotated[tuple[Route, ...], Meta(max_length=defaults.MAX_ROUTES)] = ()
    limits: Limits = Limits()
