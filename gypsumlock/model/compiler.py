"""Compiles a snapshot and the known endpoints into a routing table.

The same pure functions run when a change is accepted and at every node.
`compile_policy` resolves exceptions for one node; `compile_table` joins the
policy with endpoints. A route in a table points only at endpoints that stand
in the same table, so no call can be sent to an upstream that is unknown.
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
    """A route with the exceptions of one node already applied."""

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
        """Tell whether a call by this method may be sent twice."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS

    def with_rank(self, rank: Rank, order: int) -> CompiledRoute:
        """Return the same route at another rank."""
        return replace(self, rank=rank, rank_order=order)

    def fits(self, host: str, path: str, method: str) -> bool:
        """Tell whether a call belongs to this route."""
        if self.host and self.host != host:
            return False
        if self.methods and method not in self.methods:
            return False
        return _under_prefix(path, self.path_prefix)


@dataclass(frozen=True, slots=True)
class Policy:
    """What one version means for one node, without endpoints.

    Routes are sorted with the most specific first.
    """

    version: int
    ranks: tuple[Rank, ...]
    routes: tuple[CompiledRoute, ...]
    limits: Limits
    # Routes by the first segment of their prefix, each list with the catch-alls
    # in their place; "" holds the catch-alls alone.
    by_segment: Mapping[str, tuple[CompiledRoute, ...]]

    def route_of(self, host: str, path: str, method: str) -> CompiledRoute | None:
        """Return the most specific route that fits a call."""
        candidates = self.by_segment.get(_first_segment(path))
        if candidates is None:
            candidates = self.by_segment.get("", ())
        return next((x for x in candidates if x.fits(host, path, method)), None)


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """What a node runs: one policy and the endpoints known to it.

    Attributes
    ----------
    policy : Policy
        The version in force.
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
        """Return the most specific route that fits a call."""
        return self.policy.route_of(host, path, method)


def compile_policy(
    snapshot: Snapshot, node: NodeIdentity
) -> Result[Policy, list[Fault]]:
    """Resolve a snapshot for one node.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration to compile.
    node : NodeIdentity
        The node that will run it; decides which exceptions are in effect.

    Returns
    -------
    Result[Policy, list[Fault]]
        The whole policy, or every fault. Never a part of a policy.
    """
    faults = check_snapshot(snapshot)
    if faults:
        return Err(faults)
    ranks = snapshot.defaults.ranks
    order = {rank.name: index for index, rank in enumerate(ranks)}
    services = {item.name: item for item in snapshot.defaults.services}
    compiled = [
        _compile_route(route, snapshot.exceptions, node, services, ranks, order)
        for route in snapshot.defaults.routes
    ]
    compiled.sort(key=_specificity)
    limits = snapshot.defaults.limits
    return Ok(
        Policy(
            snapshot.version,
            ranks,
            tuple(compiled),
            limits,
            _routes_by_segment(compiled),
        )
    )


def compile_table(policy: Policy, endpoints: Iterable[Endpoint]) -> RoutingTable:
    """Join a policy with the endpoints known now."""
    by_service: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        by_service[endpoint.service].append(endpoint)
    return RoutingTable(
        policy, {name: tuple(items) for name, items in by_service.items()}
    )


def invalid_snapshot_fault(faults: list[Fault]) -> Fault:
    """Join many faults of a snapshot into one."""
    found = "; ".join(fault.text() for fault in faults)
    return Fault(ResultCode.SNAPSHOT_INVALID, found)


def _routes_by_segment(
    routes: Sequence[CompiledRoute],
) -> dict[str, tuple[CompiledRoute, ...]]:
    """Index sorted routes by first segment, keeping the order of specificity."""
    lists: dict[str, list[CompiledRoute]] = {"": []}
    for route in routes:
        lists.setdefault(_first_segment(route.path_prefix), [])
    for route in routes:
        segment = _first_segment(route.path_prefix)
        for target in [lists[segment]] if segment else lists.values():
            target.append(route)
    return {segment: tuple(found) for segment, found in lists.items()}


def _compile_route(
    route: Route,
    exceptions: Iterable[ConfigException],
    node: NodeIdentity,
    services: Mapping[str, Service],
    ranks: tuple[Rank, ...],
    order: Mapping[str, int],
) -> CompiledRoute:
    timeout_s = route.timeout_s
    max_attempts = route.max_attempts
    rank_name = route.rank
    accept_calls = True
    # A later exception goes before an earlier one.
    for item in exceptions:
        if not _selects(item.selector, route, node):
            continue
        overrides = item.overrides
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
        rank=ranks[order[rank_name]],
        rank_order=order[rank_name],
        host=route.host,
        path_prefix=route.path_prefix,
        methods=frozenset(route.methods),
        timeout_s=timeout_s,
        max_attempts=max_attempts,
        accept_calls=accept_calls,
        idempotent=route.idempotent,
    )


def _selects(selector: Selector, route: Route, node: NodeIdentity) -> bool:
    pairs = (
        (selector.service, route.service),
        (selector.route, route.name),
        (selector.zone, node.zone),
        (selector.instance, node.instance),
    )
    return all(not wanted or wanted == found for wanted, found in pairs)


def _specificity(route: CompiledRoute) -> tuple[bool, int, bool, str]:
    return (not route.host, -len(route.path_prefix), not route.methods, route.name)


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0]


def _under_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
