"""Decides on the roll-outs of all services, while this node is the conductor.

Phases of a roll-out:
1. Trial: the candidate gets a small share of the calls until its answers are judged.
2. Finish: the candidate gets all calls. Owners of other upstreams refuse new ones.
3. Completed, once no other upstream has a call in flight; or rolled back, from any
   phase before, also because the order was withdrawn or changed.

Does no I/O and reads no clock. What has been decided is in the entries, which the
feed distributes and the store keeps: the next conductor continues from them. A final
phase is left only for a new order, or for the version of most upstreams once none of
the established version is left.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.model import RolloutEntry, RolloutPhase, UpstreamRecord
from gypsumlock.rollout.evidence import Evidence
from gypsumlock.rollout.judgement import Judgement
from gypsumlock.rollout.majority import MajorityTracker
from gypsumlock.rollout.messages import VersionReport, VersionVerdict
from gypsumlock.rollout.order_start import first_entry, is_new_order, is_same_order
from gypsumlock.rollout.retirement import (
    blocking_upstreams,
    is_draining,
    is_silent,
)
from gypsumlock.rollout.rows import OrderRow, StatusRow
from gypsumlock.rollout.trial import (
    TrialBounds,
    TrialDecision,
    decide_trial,
    larger_share,
)
from gypsumlock.rollout.version_judge import VersionJudge
from gypsumlock.rollout.version_table import ServiceVersions, VersionTable

__all__ = ["Conductor", "Moment"]

log = get_logger(Component.ROLLOUT)

# Time in which the owners report again to a new conductor, in seconds.
TAKEOVER_S = 1.5
ACTIVE_PHASES = frozenset({RolloutPhase.RUNNING, RolloutPhase.FINISHING})


@dataclass(frozen=True, slots=True)
class Moment:
    """The same moment on two clocks."""

    # Monotonic, in seconds.
    now_s: float
    # Unix time in milliseconds; nodes agree on it.
    wall_ms: int


class Conductor:
    """The conductor's decisions under one fencing token.

    Parameters
    ----------
    token : int
        Fencing token of the lease.
    table : VersionTable
        Versions of all services, with the entries of earlier conductors.
    bounds : TrialBounds
        Bounds on the calls that a bad version may get.
    own : Iterable[RolloutEntry]
        Entries that this node has published before.
    now_s : float
        Monotonic time.
    """

    __slots__ = (
        "_began_s",
        "_bounds",
        "_judges",
        "_majority",
        "_table",
        "entries",
        "token",
    )

    def __init__(
        self,
        token: int,
        table: VersionTable,
        bounds: TrialBounds,
        own: Iterable[RolloutEntry],
        now_s: float,
    ) -> None:
        self.token = token
        self._table = table
        self._bounds = bounds
        self._began_s = now_s
        self._judges: dict[str, VersionJudge] = {}
        self._majority = MajorityTracker()
        self.entries: dict[str, RolloutEntry] = {}
        known = [x.entry for x in table.services.values() if x.entry is not None]
        for entry in sorted([*known, *own], key=lambda x: (x.token, x.revision)):
            # A lease may be renewed late, under the same token.
            revision = entry.revision + 1 if entry.token == token else 1
            self.entries[entry.service] = replace(entry, token=token, revision=revision)

    def step(
        self,
        orders: Mapping[str, OrderRow],
        statuses: Mapping[str, StatusRow],
        gone: Collection[str],
        moment: Moment,
    ) -> None:
        """Take the decisions that are due.

        Parameters
        ----------
        orders : Mapping[str, OrderRow]
            All orders by service.
        statuses : Mapping[str, StatusRow]
            Status rows by service, as this node found them.
        gone : Collection[str]
            Nodes whose processes have certainly ended.
        moment : Moment
            The current time.
        """
        for service in {*orders, *self.entries, *self._table.services}:
            versions = self._table.services.get(service) or ServiceVersions()
            entry = self.entries.get(service)
            order = orders.get(service)
            if entry is not None and order is not None and is_same_order(order, entry):
                entry = replace(entry, order_version=order.row_version)
                self._put(entry, "order has a version of a new era")
            if entry is not None and entry.phase in ACTIVE_PHASES:
                if order is None:
                    self._end(entry, RolloutPhase.ROLLED_BACK, "order withdrawn")
                elif order.row_version != entry.order_version:
                    self._begin(order, versions, moment)
                elif entry.phase is RolloutPhase.RUNNING:
                    self._step_trial(entry, versions, moment)
                else:
                    self._step_finish(entry, versions, gone, moment)
            elif order is not None and is_new_order(
                order, entry, statuses.get(service)
            ):
                self._begin(order, versions, moment)
            else:
                self._settle(service, versions, moment)

    def handle_report(self, report: VersionReport, now_s: float) -> VersionVerdict:
        """Record a report, and return the answer."""
        entry = self.entries.get(report.service)
        is_current = entry is not None and report.order_version == entry.order_version
        if entry is None or not is_current or entry.phase not in ACTIVE_PHASES:
            accept = False
        else:
            self._evidence_of(report.service).absorb(report, now_s)
            is_candidate = report.version == entry.candidate
            accept = is_candidate and report.instance not in entry.suspects
        return VersionVerdict(
            number=report.number,
            token=self.token,
            order_version=report.order_version,
            accept=accept,
            rolled_back=is_current
            and entry is not None
            and entry.phase is RolloutPhase.ROLLED_BACK,
        )

    def silent_owners(self, now_s: float) -> list[UpstreamRecord]:
        """Return the replaced upstreams whose owners hold up an end and are silent."""
        silent = []
        for service, entry in self.entries.items():
            versions = self._table.services.get(service)
            if entry.phase is RolloutPhase.FINISHING and versions is not None:
                evidence = self._evidence_of(service)
                silent += [
                    record
                    for record in blocking_upstreams(
                        versions.present, entry.candidate, evidence, now_s
                    )
                    if is_silent(evidence, record.instance, now_s)
                ]
        return silent

    # --- decisions ---

    def _begin(
        self, order: OrderRow, versions: ServiceVersions, moment: Moment
    ) -> None:
        entry = self.entries.get(order.service)
        begun = first_entry(order, entry, versions, self._bounds, moment.wall_ms)
        self._judges[order.service] = VersionJudge()
        self._put(begun, "order received")

    def _step_trial(
        self, entry: RolloutEntry, versions: ServiceVersions, moment: Moment
    ) -> None:
        judgement = self._judge(entry, versions, moment.now_s)
        suspects = tuple(sorted(judgement.suspects))
        if suspects != entry.suspects and not judgement.is_bad:
            entry = replace(entry, suspects=suspects)
            self._put(entry, "upstream suspect", judgement)
            # What is left is judged without it.
            return
        elapsed_s = max(0.0, (moment.wall_ms - entry.began_ms) / 1000)
        first_s = self._evidence_of(entry.service).first_answer_s.get(
            entry.candidate, float("inf")
        )
        decision = decide_trial(
            entry, judgement, elapsed_s, moment.now_s - first_s, self._bounds
        )
        if decision is TrialDecision.CONTINUE:
            return
        if decision is TrialDecision.ROLL_BACK_BAD:
            self._end(entry, RolloutPhase.ROLLED_BACK, decision.value, judgement)
        elif moment.now_s < self._began_s + TAKEOVER_S:
            # The owners have not reported everything to this conductor yet.
            return
        elif decision is TrialDecision.ENLARGE:
            share = larger_share(
                self._bounds,
                (judgement.answers + judgement.base_answers) / elapsed_s,
                entry.duration_s,
            )
            self._put(replace(entry, share=share), decision.value, judgement)
        elif decision in (TrialDecision.FINISH, TrialDecision.FINISH_UNTESTED):
            entry = replace(entry, share=1.0, phase=RolloutPhase.FINISHING)
            self._put(entry, decision.value, judgement)
        else:
            self._end(entry, RolloutPhase.ROLLED_BACK, decision.value, judgement)

    def _step_finish(
        self,
        entry: RolloutEntry,
        versions: ServiceVersions,
        gone: Collection[str],
        moment: Moment,
    ) -> None:
        judgement = self._judge(entry, versions, moment.now_s)
        if judgement.is_bad and entry.established != entry.candidate:
            reason = TrialDecision.ROLL_BACK_BAD.value
            self._end(entry, RolloutPhase.ROLLED_BACK, reason, judgement)
            return
        evidence = self._evidence_of(entry.service)
        blocking = blocking_upstreams(
            versions.present, entry.candidate, evidence, moment.now_s
        )
        if any(record.node not in gone for record in blocking):
            return
        if is_draining(evidence, entry.candidate, moment.now_s):
            return
        if moment.now_s < self._began_s + TAKEOVER_S:
            # The owners have not reported everything to this conductor yet.
            return
        if entry.candidate in versions.serving:
            self._end(entry, RolloutPhase.COMPLETED, "old upstreams retired")

    def _settle(self, service: str, versions: ServiceVersions, moment: Moment) -> None:
        """Record the established version of a service without a roll-out."""
        entry = self.entries.get(service)
        version = self._majority.version_to_record(
            service, entry, versions, moment.now_s
        )
        if version is not None:
            order_version = entry.order_version if entry else 0
            settled = RolloutEntry(
                service, self.token, 0, version, order_version=order_version
            )
            self._put(settled, "version established")

    # --- helpers ---

    def _judge(
        self, entry: RolloutEntry, versions: ServiceVersions, now_s: float
    ) -> Judgement:
        serving = versions.serving.get(entry.candidate, ())
        instances = [record.instance for record in serving]
        return self._judge_of(entry.service).judge(entry, instances, now_s)

    def _end(
        self,
        entry: RolloutEntry,
        phase: RolloutPhase,
        reason: str,
        judgement: Judgement | None = None,
    ) -> None:
        share = 1.0 if phase is RolloutPhase.COMPLETED else 0.0
        self._put(replace(entry, share=share, phase=phase), reason, judgement)

    def _put(
        self, entry: RolloutEntry, reason: str, judgement: Judgement | None = None
    ) -> None:
        """Put an entry in force under the next revision."""
        known = self.entries.get(entry.service)
        revision = known.revision + 1 if known else 1
        self.entries[entry.service] = replace(
            entry, token=self.token, revision=revision
        )
        judged = judgement or Judgement()
        log.info(
            "roll-out decided",
            service=entry.service,
            phase=entry.phase.value,
            established=entry.established,
            candidate=entry.candidate,
            share=entry.share,
            reason=reason,
            answers=judged.answers,
            base_answers=judged.base_answers,
            evidence=round(judged.evidence, 1),
            kind=judged.kind,
            route=judged.route,
            suspects=list(entry.suspects),
            order=entry.order_version,
            token=self.token,
            revision=revision,
        )

    def _judge_of(self, service: str) -> VersionJudge:
        return self._judges.setdefault(service, VersionJudge())

    def _evidence_of(self, service: str) -> Evidence:
        return self._judge_of(service).evidence
