"""Ranks of work, services and routes: the vocabulary of a configuration.

All classes are immutable documents, decoded as they stand from JSON. Field
limits are part of the types, so that one schema serves every reader.
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
    """A class of work. Ranks are listed with the most urgent first."""

    name: Name
    # Time within which an answer is worth its full value.
    target_s: TimeoutS
    # Share of an upstream's slots that this rank keeps during any flood.
    floor_share: Share = 0.0
    # Calls that may wait for a slot at one node.
    queue_limit: QueueLength = defaults.QUEUE_PER_RANK


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of interchangeable upstreams."""

    name: Name
    # Connections that one node keeps to one upstream's node at most.
    max_connections: Annotated[int, Meta(ge=1, le=10_000)] = (
        defaults.MAX_CONNECTIONS_PER_UPSTREAM
    )
    # Time over which a new upstream's share of calls grows to its full size.
    slow_start_s: Annotated[float, Meta(ge=0, le=600)] = defaults.SLOW_START_S


@dataclass(frozen=True, slots=True)
class Route:
    """Says which service a call goes to, with which rank and limits."""

    name: Name
    service: Name
    rank: Name
    path_prefix: Annotated[str, Meta(pattern="^/")] = "/"
    # Empty fits every host.
    host: str = ""
    # Empty fits every method.
    methods: tuple[str, ...] = ()
    timeout_s: TimeoutS = defaults.CALL_TIMEOUT_S
    max_attempts: Attempts = defaults.MAX_ATTEMPTS
    # None leaves it to the method, as RFC 9110 defines it.
    idempotent: bool | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits that no single route owns."""

    # Retries allowed as a share of calls, for each service at each node.
    retry_budget_share: Share = defaults.RETRY_BUDGET_SHARE
    # Consecutive failures after which an upstream is ejected for a while.
    ejection_failures: Annotated[int, Meta(ge=1, le=100)] = defaults.EJECTION_FAILURES
    ejection_s: Annotated[float, Meta(gt=0, le=600)] = defaults.EJECTION_S
    # Largest share of a service's upstreams that may be ejected at once.
    max_ejected_share: Share = defaults.MAX_EJECTED_SHARE


@dataclass(frozen=True, slots=True)
class Defaults:
    """The fleet-wide part of a configuration."""

    ranks: tuple[Rank, ...] = ()
    services: tuple[Service, ...] = ()
    routes: Annotated[tuple[Route, ...], Meta(max_length=defaults.MAX_ROUTES)] = ()
    limits: Limits = Limits()
