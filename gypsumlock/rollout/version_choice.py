"""Applies the version table to one call."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Protocol, TypeVar

from gypsumlock.rollout.version_table import VersionTable

__all__ = ["merge_tiers", "version_tiers"]

# Upstreams of the first choice that a call is offered to before one of the second. All
# of the first may refuse it, while a decision is being propagated.
FIRST_TIER_OFFERS = 2


class _View(Protocol):
    @property
    def node(self) -> str: ...

    @property
    def version(self) -> str: ...


class _Call(Protocol):
    @property
    def service(self) -> str: ...

    sent_to: set[str]
    trial_version: str | None


_ViewT = TypeVar("_ViewT", bound=_View)


def merge_tiers(tiers: Sequence[Sequence[_ViewT]]) -> Sequence[_ViewT]:
    """Return the upstreams in the order in which a call is offered to them."""
    if len(tiers) == 1:
        return tiers[0]
    first, *others = tiers
    ordered = list(first[:FIRST_TIER_OFFERS])
    for tier in others:
        ordered += tier
    return [*ordered, *first[FIRST_TIER_OFFERS:]]


def version_tiers(
    table: VersionTable, call: _Call, views: Sequence[_ViewT]
) -> list[Sequence[_ViewT]]:
    """Return the upstreams that a call may be offered to, the first choice first.

    A call is drawn once; its retries prefer the established version.
    """
    if call.trial_version is None:
        call.trial_version = table.draw(call.service)
    is_retry = bool(call.sent_to)
    return table.tiers(call.service, call.trial_version, is_retry, views, time.time())
