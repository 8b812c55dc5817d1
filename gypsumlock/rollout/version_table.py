"""Tells which versions of a service get calls, from the records of all nodes.

Designed for records that arrive late and in any order, such as that of an upstream of
a new version before the order to use it.

Rules:
1. Of the entries for a service, the one with the highest token and revision holds.
2. Without an entry, the version of most serving upstreams is the established one; of
   several, the one whose upstreams have run for the longest time.
3. Only the established version gets calls, and the candidate as its entry says.
4. If no upstream of these versions serves, all others are used.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeVar

from gypsumlock.mesh.model import RolloutEntry, RolloutPhase, UpstreamRecord
from gypsumlock.rollout.share_sequence import ShareSequence
from gypsumlock.rollout.trial_pool import TrialPool, choose_pool

__all__ = ["Acceptance", "ServiceVersions", "VersionTable", "settled_version"]


class Acceptance(Enum):
    """Whether an upstream may get calls."""

    ACCEPT = "accept"
    # Only while the conductor confirms it.
    TRIAL = "trial"
    # For a moment, until all nodes know that it is being replaced.
    FINISH = "finish"
    REFUSE = "refuse"


class _Versioned(Protocol):
    @property
    def node(self) -> str: ...

    @property
    def version(self) -> str: ...


_ViewT = TypeVar("_ViewT", bound=_Versioned)


def settled_version(entry: RolloutEntry) -> str:
    """Return the version that is established once the entry's roll-out has ended."""
    if entry.phase is RolloutPhase.COMPLETED:
        return entry.candidate
    return entry.established


@dataclass(slots=True)
class ServiceVersions:
    """What is known of the versions of one service."""

    entry: RolloutEntry | None = None
    # Node whose record holds the entry.
    conductor: str = ""
    # Records of serving upstreams, by version.
    serving: dict[str, list[UpstreamRecord]] = field(default_factory=dict)
    # Records of all upstreams that have not departed.
    present: list[UpstreamRecord] = field(default_factory=list)
    # Version that counts as established.
    established: str = ""
    # Versions that may get calls now.
    allowed: frozenset[str] = frozenset()
    pool: TrialPool = field(default_factory=TrialPool)

    def majority(self, excluded: str | None = None) -> str:
        """Return the version of most serving upstreams; empty if there is none."""
        ranked = [
            (-len(records), min(x.born_ms for x in records), version)
            for version, records in self.serving.items()
            if version != excluded
        ]
        return min(ranked)[2] if ranked else ""


class VersionTable:
    """Versions of all services.

    Parameters
    ----------
    rng : random.Random | None
        Source of the phases of the share sequence.
    """

    __slots__ = ("_sequence", "services")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._sequence = ShareSequence(rng or random.Random())
        self.services: dict[str, ServiceVersions] = {}

    def update(
        self, records: Iterable[UpstreamRecord], entry_records: Iterable[UpstreamRecord]
    ) -> None:
        """Replace the records.

        Parameters
        ----------
        records : Iterable[UpstreamRecord]
            Newest record of each address.
        entry_records : Iterable[UpstreamRecord]
            All records, also those of nodes that have been terminated.
        """
        services: dict[str, ServiceVersions] = defaultdict(ServiceVersions)
        for record in entry_records:
            for entry in record.rollouts:
                versions = services[entry.service]
                if versions.entry is None or _order(entry) > _order(versions.entry):
                    versions.entry = entry
                    versions.conductor = record.node
        for record in records:
            if record.instance and not record.departed:
                services[record.service].present.append(record)
            if record.serving and record.instance:
                serving = services[record.service].serving
                serving.setdefault(record.version, []).append(record)
        for versions in services.values():
            _derive(versions)
        self.services = dict(services)

    def entry(self, service: str) -> RolloutEntry | None:
        """Return the entry that holds for a service."""
        versions = self.services.get(service)
        return versions.entry if versions else None

    def draw(self, service: str) -> str:
        """Return the candidate version if the next call goes there, or else nothing."""
        entry = self.entry(service)
        if entry is None or entry.phase is not RolloutPhase.RUNNING:
            return ""
        return entry.candidate if self._sequence.select(service, entry.share) else ""

    def usable(self, service: str, views: Sequence[_ViewT]) -> Sequence[_ViewT]:
        """Return the upstreams to which a call may be sent again."""
        versions = self.services.get(service)
        if versions is None:
            return views
        if _is_trial(versions):
            return [view for view in views if view.version == versions.established]
        return [view for view in views if view.version in versions.allowed]

    def tiers(
        self,
        service: str,
        trial_version: str,
        is_retry: bool,
        views: Sequence[_ViewT],
        wall_s: float,
    ) -> list[Sequence[_ViewT]]:
        """Return the upstreams that a call may be offered to, the first choice first.

        Parameters
        ----------
        service : str
            The service.
        trial_version : str
            Candidate version that the call was drawn for; empty for none.
        is_retry : bool
            Whether the call was sent before: it goes to the established version then,
            as long as that accepts calls.
        views : Sequence[_ViewT]
            Upstreams that the call has not been sent to.
        wall_s : float
            Unix time, by which nodes agree on the upstreams that are in turn.
        """
        versions = self.services.get(service)
        if versions is None:
            return [views]
        entry = versions.entry
        if entry is not None and entry.phase is RolloutPhase.FINISHING:
            first = [view for view in views if view.version == entry.candidate]
            rest = [view for view in views if view.version == versions.established]
            if first and entry.candidate != versions.established:
                return [rest, first] if is_retry else [first, rest]
        if entry is None or not _is_trial(versions):
            return [[view for view in views if view.version in versions.allowed]]
        tiers: list[Sequence[_ViewT]] = []
        if trial_version == entry.candidate and not is_retry:
            nodes = versions.pool.nodes_in_turn(wall_s)
            tiers.append([view for view in views if view.node in nodes])
        tiers.append([x for x in views if x.version == versions.established])
        return tiers

    def acceptance(self, service: str, version: str, instance: str) -> Acceptance:
        """Return whether the owner of an upstream may accept calls for it."""
        versions = self.services.get(service)
        if versions is None or not versions.serving:
            return Acceptance.ACCEPT
        entry = versions.entry
        if entry is not None and entry.phase is RolloutPhase.FINISHING:
            if version == entry.candidate:
                return Acceptance.ACCEPT
            if entry.candidate in versions.serving:
                is_old = version == versions.established
                return Acceptance.FINISH if is_old else Acceptance.REFUSE
        if entry is not None and _is_trial(versions) and version == entry.candidate:
            is_suspect = instance in entry.suspects
            return Acceptance.REFUSE if is_suspect else Acceptance.TRIAL
        return Acceptance.ACCEPT if version in versions.allowed else Acceptance.REFUSE


def _order(entry: RolloutEntry) -> tuple[int, int]:
    return entry.token, entry.revision


def _is_trial(versions: ServiceVersions) -> bool:
    """Return whether the established version serves, and a candidate is on trial."""
    entry = versions.entry
    return (
        entry is not None
        and entry.phase is RolloutPhase.RUNNING
        and versions.established in versions.serving
    )


def _derive(versions: ServiceVersions) -> None:
    """Derive the versions that may get calls, and the upstreams of the trial."""
    entry = versions.entry
    if entry is None:
        versions.established = versions.majority()
        versions.allowed = frozenset({versions.established})
        return
    versions.established = settled_version(entry)
    allowed = {versions.established}
    if entry.phase is RolloutPhase.FINISHING:
        allowed.add(entry.candidate)
    versions.allowed = frozenset(allowed)
    if not allowed & versions.serving.keys():
        # Calls must not fail for want of upstreams.
        versions.allowed = frozenset(versions.serving)
    if entry.phase is RolloutPhase.RUNNING:
        versions.pool = choose_pool(
            entry,
            versions.serving.get(versions.established, ()),
            versions.serving.get(entry.candidate, ()),
        )
