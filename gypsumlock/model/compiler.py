"""Compiles a snapshot and the known endpoints into a routing table.

All functions are pure. `compile_policy` checks the snapshot with the same
`check_snapshot` that runs when a change is accepted, and resolves the exceptions
for one node; `compile_table` combines the policy with endpoints. The routes of a
table refer only to endpoints of the same table, so a call can't be sent to an
unknown upstream.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from gypsumlock.model.checks import check_snapshot
from gypsumlock.model.endpoint import Endpoint, NodeIdentity
from gypsumlock.model.ranks import Limits, Rank, Route, Service
from gypsumlock.model.snapshot import ConfigException, Selector, Snapshot
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "CompiledRoute",
    "Policy",
    "RoutingTable",
    "compile_policy",
    "compile_table",
    "invalid_snapshot_fault",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route after the exceptions for one node have been applied."""

    name: str
    service: Service
    rank: Rank
    # Position of the rank; 0 is the most urgent.
    rank_order: int
    host: str
    path_prefix: str
    methods: frozenset[str]
    timeout_s: float
    max_attempts: int
    accept_calls: bool
    idempotent: bool | None

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with this method may be sent more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS

    def with_rank(self, rank: Rank, rank_order: int) -> CompiledRoute:
        """Return a copy of the route with another rank."""
        return replace(self, rank=rank, rank_order=rank_order)

    def matches(self, host: str, path: str, method: str) -> bool:
        """Return whether the route matches a call."""
        if self.host and self.host != host:
            return False
        if self.methods and method not in self.methods:
            return False
        return _has_path_prefix(path, self.path_prefix)


@dataclass(frozen=True, slots=True)
class Policy:
    """A configuration version compiled for one node, without endpoints.

    The routes are sorted by specificity, the most specific one first.
    """

    version: int
    ranks: tuple[Rank, ...]
    routes: tuple[CompiledRoute, ...]
    limits: Limits
    # Routes by the first segment of their path prefix. Each tuple also contains
    # the catch-all routes (prefix "/") in order of specificity; the key "" maps to
    # the catch-all routes alone.
    routes_by_segment: Mapping[str, tuple[CompiledRoute, ...]]

    def route_of(self, host: str, path: str, method: str) -> CompiledRoute | None:
        """Return the most specific route that matches a call."""
        candidates = self.routes_by_segment.get(_first_segment(path))
        if candidates is None:
            candidates = self.routes_by_segment.get("", ())
        return next((x for x in candidates if x.matches(host, path, method)), None)


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The policy in force at a node, and the endpoints that the node knows.

    Attributes
    ----------
    policy : Policy
        Policy compiled from the version in force.
    endpoints : Mapping[str, tuple[Endpoint, ...]]
        Callable upstreams by service name; a service without any is absent.
    """

    policy: Policy
    endpoints: Mapping[str, tuple[Endpoint, ...]]

    @property
    def version(self) -> int:
        """Number of the version in force."""
        return self.policy.version

    def route_of(self, host: str, path: str, method: str) -> CompiledRoute | None:
        """Return the most specific route that matches a call."""
        return self.policy.route_of(host, path, method)


def compile_policy(
    snapshot: Snapshot, node: NodeIdentity
) -> Result[Policy, list[Fault]]:
    """Compile a snapshot for one node.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration to compile.
    node : NodeIdentity
        The node that will use the policy; determines which exceptions apply.

    Returns
    -------
    Result[Policy, list[Fault]]
        The complete policy, or all faults; never a partial policy.
    """
    faults = check_snapshot(snapshot)
    if faults:
        return Err(faults)
    ranks = snapshot.defaults.ranks
    rank_orders = {rank.name: index for index, rank in enumerate(ranks)}
    services = {service.name: service for service in snapshot.defaults.services}
    compiled = [
        _compile_route(route, snapshot.exceptions, node, services, ranks, rank_orders)
        for route in snapshot.defaults.routes
    ]
    compiled.sort(key=_specificity_key)
    limits = snapshot.defaults.limits
    return Ok(
        Policy(
            snapshot.version,
            ranks,
            tuple(compiled),
            limits,
            _index_by_segment(compiled),
        )
    )


def compile_table(policy: Policy, endpoints: Iterable[Endpoint]) -> RoutingTable:
    """Combine a policy with the endpoints that are currently known."""
    by_service: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        by_service[endpoint.service].append(endpoint)
    return RoutingTable(
        policy, {service: tuple(group) for service, group in by_service.items()}
    )


def invalid_snapshot_fault(faults: list[Fault]) -> Fault:
    """Combine the faults of a snapshot into one `SNAPSHOT_INVALID` fault."""
    detail = "; ".join(fault.text() for fault in faults)
    return Fault(ResultCode.SNAPSHOT_INVALID, detail)


def _index_by_segment(
    routes: Sequence[CompiledRoute],
) -> dict[str, tuple[CompiledRoute, ...]]:
    """Index sorted routes by the first segment of their path prefix.

    The routes of each segment stay in order of specificity.
    """
    index: dict[str, list[CompiledRoute]] = {"": []}
    for route in routes:
        index.setdefault(_first_segment(route.path_prefix), [])
    for route in routes:
        segment = _first_segment(route.path_prefix)
        for segment_routes in [index[segment]] if segment else index.values():
            segment_routes.append(route)
    return {segment: tuple(group) for segment, group in index.items()}


def _compile_route(
    route: Route,
    exceptions: Iterable[ConfigException],
    node: NodeIdentity,
    services: Mapping[str, Service],
    ranks: tuple[Rank, ...],
    rank_orders: Mapping[str, int],
) -> CompiledRoute:
    timeout_s = route.timeout_s
    max_attempts = route.max_attempts
    rank_name = route.rank
    accept_calls = True
    # Later exceptions take precedence over earlier ones.
    for exception in exceptions:
        if not _selector_matches(exception.selector, route, node):
            continue
        overrides = exception.overrides
        if overrides.timeout_s is not None:
            timeout_s = overrides.timeout_s
        if overrides.max_attempts is not None:
            max_attempts = overrides.max_attempts
        if overrides.rank is not None:
            rank_name = overrides.rank
        if overrides.accept_calls is not None:
            accept_calls = overrides.accept_calls
    return CompiledRoute(
        name=route.name,
        service=services[route.service],
        rank=ranks[rank_orders[rank_name]],
        rank_order=rank_orders[rank_name],
        host=route.host,
        path_prefix=route.path_prefix,
        methods=frozenset(route.methods),
        timeout_s=timeout_s,
        max_attempts=max_attempts,
        accept_calls=accept_calls,
        idempotent=route.idempotent,
    )


def _selector_matches(selector: Selector, route: Route, node: NodeIdentity) -> bool:
    pairs = (
        (selector.service, route.service),
        (selector.route, route.name),
        (selector.zone, node.zone),
        (selector.instance, node.instance),
    )
    return all(not expected or expected == actual for expected, actual in pairs)


def _specificity_key(route: CompiledRoute) -> tuple[bool, int, bool, str]:
    """Return a sort key that puts more specific routes first."""
    return (not route.host, -len(route.path_prefix), not route.methods, route.name)


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0]


def _has_path_prefix(path: str, prefix: str) -> bool:
    """Return whether `prefix` matches whole leading segments of `path`."""
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
