"""Decides whether an order is new, and how its roll-out begins."""

from __future__ import annotations

from gypsumlock.mesh.model import RolloutEntry, RolloutPhase
from gypsumlock.mesh.store_era import era_of
from gypsumlock.rollout.rows import OrderRow, StatusRow
from gypsumlock.rollout.trial import TrialBounds, small_share
from gypsumlock.rollout.version_table import ServiceVersions, settled_version

__all__ = ["first_entry", "is_new_order", "is_same_order"]


def is_new_order(
    order: OrderRow, entry: RolloutEntry | None, status: StatusRow | None
) -> bool:
    """Return whether an order has not been carried out yet.

    Parameters
    ----------
    order : OrderRow
        The order.
    entry : RolloutEntry | None
        Entry of its service.
    status : StatusRow | None
        Status of its service. It counts only without an entry: the entry of an order
        that ended is lost only with the records of all nodes.
    """
    if entry is not None:
        return entry.order_version != order.row_version
    return not (
        status is not None
        and status.is_final
        and status.candidate == order.candidate
        and status.row_version > order.row_version
    )


def is_same_order(order: OrderRow, entry: RolloutEntry) -> bool:
    """Return whether an order only has another version in a new era of the store.

    After the store has come back from a copy, every row has a version of the new era.
    """
    return (
        era_of(order.row_version) > era_of(entry.order_version)
        and entry.order_version > 0
        and order.candidate == entry.candidate
        and order.duration_s == entry.duration_s
    )


def first_entry(
    order: OrderRow,
    entry: RolloutEntry | None,
    versions: ServiceVersions,
    bounds: TrialBounds,
    wall_ms: int,
) -> RolloutEntry:
    """Return the entry with which a roll-out begins.

    An order to move to the established version only ends the use of all others.

    Parameters
    ----------
    order : OrderRow
        The order.
    entry : RolloutEntry | None
        Entry of the service until now.
    versions : ServiceVersions
        Upstreams of the service.
    bounds : TrialBounds
        Bounds on the calls that a bad version may get.
    wall_ms : int
        Unix time.
    """
    if entry is not None:
        established = settled_version(entry)
    else:
        established = versions.majority(order.candidate) or order.candidate
    is_trial = established != order.candidate
    return RolloutEntry(
        service=order.service,
        token=0,
        revision=0,
        established=established,
        candidate=order.candidate,
        share=small_share(bounds) if is_trial else 1.0,
        phase=RolloutPhase.RUNNING if is_trial else RolloutPhase.FINISHING,
        order_version=order.row_version,
        began_ms=wall_ms,
        duration_s=order.duration_s,
    )
