"""Semantic checks of snapshots, run when a change is accepted and by every node.

`check_snapshot` is pure and reports all faults, not only the first. Types, units
and ranges are checked earlier, when the document is decoded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gypsumlock.model.ranks import Defaults
from gypsumlock.model.snapshot import ConfigException, Selector, Snapshot
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["check_snapshot"]


def check_snapshot(snapshot: Snapshot) -> list[Fault]:
    """Return all faults of a snapshot; the list is empty if the snapshot is valid."""
    faults = list(_check_defaults(snapshot.defaults))
    faults.extend(_check_unique("exceptions", (x.name for x in snapshot.exceptions)))
    for exception in snapshot.exceptions:
        faults.extend(_check_exception(exception, snapshot.defaults))
    return faults


def _check_defaults(document: Defaults) -> Iterator[Fault]:
    yield from _check_unique("ranks", (rank.name for rank in document.ranks))
    yield from _check_unique(
        "services", (service.name for service in document.services)
    )
    yield from _check_unique("routes", (route.name for route in document.routes))
    yield from _check_floor_shares(document)
    services = {service.name for service in document.services}
    ranks = {rank.name for rank in document.ranks}
    for route in document.routes:
        path = f"defaults.routes.{route.name}"
        if route.service not in services:
            yield Fault(
                ResultCode.CONFIG_UNKNOWN_SERVICE,
                f"unknown service {route.service!r}, defined: {_join_names(services)}",
                f"{path}.service",
            )
        if route.rank not in ranks:
            yield _unknown_rank_fault(route.rank, ranks, f"{path}.rank")


def _check_floor_shares(document: Defaults) -> Iterator[Fault]:
    total = sum(rank.floor_share for rank in document.ranks)
    if total > 1:
        yield Fault(
            ResultCode.CONFIG_OUT_OF_RANGE,
            f"the floor shares add up to {total:g}, maximum: 1",
            "defaults.ranks",
        )


def _check_exception(exception: ConfigException, document: Defaults) -> Iterator[Fault]:
    path = f"exceptions.{exception.name}"
    if not exception.reason.strip():
        yield Fault(
            ResultCode.CONFIG_REASON_MISSING, "the reason is empty", f"{path}.reason"
        )
    yield from _check_selector(exception.selector, document, f"{path}.selector")
    ranks = {rank.name for rank in document.ranks}
    if exception.overrides.rank is not None and exception.overrides.rank not in ranks:
        yield _unknown_rank_fault(
            exception.overrides.rank, ranks, f"{path}.overrides.rank"
        )


def _check_selector(
    selector: Selector, document: Defaults, path: str
) -> Iterator[Fault]:
    services = {service.name for service in document.services}
    routes = {route.name for route in document.routes}
    if selector.service and selector.service not in services:
        yield Fault(
            ResultCode.CONFIG_UNKNOWN_SELECTOR,
            f"unknown service {selector.service!r}, defined: {_join_names(services)}",
            f"{path}.service",
        )
    if selector.route and selector.route not in routes:
        yield Fault(
            ResultCode.CONFIG_UNKNOWN_SELECTOR,
            f"unknown route {selector.route!r}, defined: {_join_names(routes)}",
            f"{path}.route",
        )


def _check_unique(path: str, names: Iterable[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield Fault(
                ResultCode.CONFIG_DUPLICATE_NAME,
                f"the name {name!r} is used twice",
                path,
            )
        seen.add(name)


def _unknown_rank_fault(name: str, ranks: Iterable[str], path: str) -> Fault:
    detail = f"unknown rank {name!r}, defined: {_join_names(ranks)}"
    return Fault(ResultCode.CONFIG_UNKNOWN_RANK, detail, path)


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"
