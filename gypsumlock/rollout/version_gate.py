"""Decides at the owner of an upstream whether its version may get calls.

Designed for callers that know an older entry: only the owner can reach its upstream, so
that what it refuses has not run. An upstream on trial gets calls only for
`PERMISSION_S` after a report that the conductor has answered. If the conductor was
killed, is paused or can't be reached, the trial pauses by itself.

Does no I/O; times are those of the boot-time clock, in seconds.
"""

from __future__ import annotations

from gypsumlock.mesh.model import (
    Answer,
    CallOutcome,
    Failure,
    RolloutEntry,
    RolloutPhase,
)
from gypsumlock.mesh.upstream_registry import UpstreamIncarnation, UpstreamRegistry
from gypsumlock.rollout.answer_counts import AnswerCounter
from gypsumlock.rollout.messages import VersionReport, VersionVerdict
from gypsumlock.rollout.version_table import Acceptance, VersionTable

__all__ = ["VersionGate"]

# Time after a report for which its answer permits calls, in seconds: four reports.
PERMISSION_S = 2.0
# Time for which a replaced upstream accepts calls after its owner learnt of it, in
# seconds. Other nodes learn of it meanwhile, and send calls elsewhere.
RETIRE_DELAY_S = 1.2
# Reports whose answers are still expected.
MAX_OPEN_REPORTS = 4
SERVER_ERROR = 500
REPORTED_PHASES = frozenset({RolloutPhase.RUNNING, RolloutPhase.FINISHING})


class VersionGate:
    """Permission of the local upstream to get calls, and the counts of its answers.

    Parameters
    ----------
    table : VersionTable
        Versions of all services.
    registry : UpstreamRegistry
        The local upstream.
    """

    __slots__ = (
        "_counted",
        "_counter",
        "_finish_since_s",
        "_permitted_until_s",
        "_registry",
        "_report_number",
        "_rolled_back",
        "_sent_at_s",
        "_table",
        "_token",
        "_trial_seen",
        "retired",
    )

    def __init__(self, table: VersionTable, registry: UpstreamRegistry) -> None:
        self._table = table
        self._registry = registry
        self._counter = AnswerCounter()
        # Roll-out and instance that the counts belong to.
        self._counted: tuple[str, int, str] | None = None
        self._token = 0
        self._report_number = 0
        # When each of the last reports was sent, by number.
        self._sent_at_s: dict[int, float] = {}
        self._permitted_until_s = float("-inf")
        # When the owner learnt that the upstream is replaced, and by which roll-out.
        self._finish_since_s: tuple[int, float] | None = None
        # Order whose candidate was rolled back, and the token of that decision.
        self._rolled_back: tuple[int, int] = (-1, 0)
        # Order of the last trial that this process knew of.
        self._trial_seen = -1
        # True once a replaced upstream has no call in flight and accepts none.
        self.retired = False

    def accepts(self, now_s: float) -> bool:
        """Return whether the local upstream may get a new call."""
        incarnation = self._registry.current
        if incarnation is None or not self._table.services:
            return True
        acceptance = self._acceptance(incarnation)
        if acceptance is Acceptance.TRIAL:
            return now_s < self._permitted_until_s
        if acceptance is Acceptance.FINISH:
            return now_s < self._finish_at_s(incarnation, now_s) + RETIRE_DELAY_S
        return acceptance is Acceptance.ACCEPT

    def update(self, busy: bool, now_s: float) -> bool:
        """Follow the table; return whether `retired` has changed.

        Parameters
        ----------
        busy : bool
            Whether calls are in flight at the upstream or queued for it.
        now_s : float
            Boot time.
        """
        incarnation = self._registry.current
        retired = False
        entry = None
        if incarnation is not None:
            entry = self._table.entry(incarnation.service)
            self._follow_entry(incarnation, entry)
            accepts = self.accepts(now_s)
            is_replaced = entry is not None and (
                entry.phase in (RolloutPhase.FINISHING, RolloutPhase.COMPLETED)
                and incarnation.version != entry.candidate
            )
            retired = is_replaced and not accepts and not busy
        changed = retired != self.retired
        self.retired = retired
        return changed

    def record_outcome(
        self, route: str, outcome: CallOutcome, service_s: float | None
    ) -> None:
        """Count the outcome of a call that the upstream received.

        Parameters
        ----------
        route : str
            Name of the route.
        outcome : CallOutcome
            The outcome. A refusal has not run and tells nothing of the version.
        service_s : float | None
            Service time of an answer, in seconds.
        """
        if self._counted is None:
            return
        if isinstance(outcome, Failure):
            self._counter.record_error(route)
        elif isinstance(outcome, Answer) and service_s is not None:
            if outcome.status >= SERVER_ERROR:
                self._counter.record_error(route)
            elif self._registry.cold_left_s <= 0:
                self._counter.record_answer(route, service_s)

    def record_lost_answer(self, route: str) -> None:
        """Count a call that got no answer until its deadline."""
        if self._counted is not None:
            self._counter.record_error(route)

    def take_report(self, node: str, now_s: float) -> VersionReport | None:
        """Return the next report to the conductor, or None if none is due."""
        incarnation = self._registry.current
        entry = self._table.entry(incarnation.service) if incarnation else None
        if incarnation is None or entry is None or self._counted is None:
            return None
        self._report_number += 1
        number = self._report_number
        self._sent_at_s[number] = now_s
        self._sent_at_s.pop(number - MAX_OPEN_REPORTS, None)
        return VersionReport(
            node=node,
            service=incarnation.service,
            instance=incarnation.instance,
            version=incarnation.version,
            order_version=entry.order_version,
            number=number,
            retired=self.retired,
            routes=self._counter.take_changes(number),
        )

    def apply_verdict(self, verdict: VersionVerdict) -> None:
        """Apply the conductor's answer to a report."""
        sent_at_s = self._sent_at_s.pop(verdict.number, None)
        if (
            sent_at_s is None
            or verdict.token < self._token
            or self._counted is None
            or verdict.order_version != self._counted[1]
        ):
            return
        self._counter.confirm(verdict.number)
        permitted_until_s = sent_at_s + PERMISSION_S if verdict.accept else 0.0
        self._permitted_until_s = permitted_until_s
        if verdict.rolled_back:
            self._rolled_back = (verdict.order_version, verdict.token)

    def _acceptance(self, incarnation: UpstreamIncarnation) -> Acceptance:
        entry = self._table.entry(incarnation.service)
        if (
            entry is not None
            and entry.phase in REPORTED_PHASES
            and (entry.order_version, entry.token) == self._rolled_back
        ):
            # The entry with that decision has not arrived yet.
            is_established = incarnation.version == entry.established
            return Acceptance.ACCEPT if is_established else Acceptance.REFUSE
        return self._table.acceptance(
            incarnation.service, incarnation.version, incarnation.instance
        )

    def _finish_at_s(self, incarnation: UpstreamIncarnation, now_s: float) -> float:
        """Return when the owner learnt that the upstream is replaced."""
        entry = self._table.entry(incarnation.service)
        order_version = entry.order_version if entry else 0
        known = self._finish_since_s
        if known is None or known[0] != order_version:
            # A process that starts during this phase has no callers that need time.
            since_s = now_s if order_version == self._trial_seen else float("-inf")
            known = self._finish_since_s = (order_version, since_s)
        return known[1]

    def _follow_entry(
        self, incarnation: UpstreamIncarnation, entry: RolloutEntry | None
    ) -> None:
        """Start, restart or stop counting, as the entry says."""
        if entry is None or entry.phase not in REPORTED_PHASES:
            self._counted = None
            return
        if entry.phase is RolloutPhase.RUNNING:
            self._trial_seen = entry.order_version
        counted = (incarnation.service, entry.order_version, incarnation.instance)
        if counted != self._counted:
            self._counted = counted
            self._counter = AnswerCounter()
            self._permitted_until_s = float("-inf")
        elif entry.token != self._token:
            self._counter.mark_unreported()
        self._token = entry.token
