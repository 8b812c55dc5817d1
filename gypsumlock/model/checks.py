"""Semantic checks of a snapshot, shared by acceptance and by every node.

`check_snapshot` is pure and reports every fault at once. Types, units and
ranges are checked earlier, when the document is decoded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gypsumlock.model.ranks import Defaults
from gypsumlock.model.snapshot import ConfigException, Selector, Snapshot
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["check_snapshot"]


def check_snapshot(snapshot: Snapshot) -> list[Fault]:
    """Return every fault of a snapshot; an empty list when it may be run."""
    faults = list(_check_defaults(snapshot.defaults))
    faults.extend(_duplicates("exceptions", (x.name for x in snapshot.exceptions)))
    for item in snapshot.exceptions:
        faults.extend(_check_exception(item, snapshot.defaults))
    return faults


def _check_defaults(document: Defaults) -> Iterator[Fault]:
    yield from _duplicates("ranks", (rank.name for rank in document.ranks))
    yield from _duplicates("services", (item.name for item in document.services))
    yield from _duplicates("routes", (route.name for route in document.routes))
    yield from _check_floors(document)
    services = {item.name for item in document.services}
    ranks = {rank.name for rank in document.ranks}
    for route in document.routes:
        path = f"defaults.routes.{route.name}"
        if route.service not in services:
            yield Fault(
                ResultCode.CONFIG_UNKNOWN_SERVICE,
                f"found {route.service!r}, allowed: {_listed(services)}",
                f"{path}.service",
            )
        if route.rank not in ranks:
            yield _unknown_rank(route.rank, ranks, f"{path}.rank")


def _check_floors(document: Defaults) -> Iterator[Fault]:
    total = sum(rank.floor_share for rank in document.ranks)
    if total > 1:
        yield Fault(
            ResultCode.CONFIG_OUT_OF_RANGE,
            f"floor shares add up to {total:g}, allowed: at most 1",
            "defaults.ranks",
        )


def _check_exception(item: ConfigException, document: Defaults) -> Iterator[Fault]:
    path = f"exceptions.{item.name}"
    if not item.reason.strip():
        yield Fault(
            ResultCode.CONFIG_REASON_MISSING, "found no reason", f"{path}.reason"
        )
    yield from _check_selector(item.selector, document, f"{path}.selector")
    ranks = {rank.name for rank in document.ranks}
    if item.overrides.rank is not None and item.overrides.rank not in ranks:
        yield _unknown_rank(item.overrides.rank, ranks, f"{path}.overrides.rank")


def _check_selector(
    selector: Selector, document: Defaults, path: str
) -> Iterator[Fault]:
    services = {item.name for item in document.services}
    routes = {route.name for route in document.routes}
    if selector.service and selector.service not in services:
        yield Fault(
            ResultCode.CONFIG_UNKNOWN_SELECTOR,
            f"found {selector.service!r}, allowed: {_listed(services)}",
            f"{path}.service",
        )
    if selector.route and selector.route not in routes:
        yield Fault(
            ResultCode.CONFIG_UNKNOWN_SELECTOR,
            f"found {selector.route!r}, allowed: {_listed(routes)}",
            f"{path}.route",
        )


def _duplicates(path: str, names: Iterable[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield Fault(ResultCode.CONFIG_DUPLICATE_NAME, f"found {name!r} twice", path)
        seen.add(name)


def _unknown_rank(name: str, ranks: Iterable[str], path: str) -> Fault:
    found = f"found {name!r}, allowed: {_listed(ranks)}"
    return Fault(ResultCode.CONFIG_UNKNOWN_RANK, found, path)


def _listed(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none defined"
