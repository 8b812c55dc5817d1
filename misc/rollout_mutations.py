"""Mutations that disable mechanisms of roll-outs; see `misc.mutations`."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["ROLLOUT_MUTATIONS"]

_DECISIONS = "tests.test_rollout_decisions"
_JUDGEMENT = "tests.test_rollout_judgement"

ROLLOUT_MUTATIONS = (
    Mutation(
        "rollout: an upstream on trial needs the conductor's permission",
        "gypsumlock/rollout/version_gate.py",
        "return now_s < self._permitted_until_s",
        "return True",
        f"{_JUDGEMENT}.TestConductorFaults."
        "test_bad_version_gets_no_calls_while_its_conductor_is_dead",
    ),
    Mutation(
        "rollout: a replaced upstream with calls in flight has not retired",
        "gypsumlock/rollout/version_gate.py",
        "retired = is_replaced and not accepts and not busy",
        "retired = is_replaced and not accepts",
        f"{_DECISIONS}.TestVersionGate."
        "test_replaced_upstream_retires_only_without_calls_in_flight",
    ),
    Mutation(
        "rollout: recent answers are judged by themselves",
        "gypsumlock/rollout/judgement.py",
        "for by_upstream in (whole, recent):",
        "for by_upstream in (whole,):",
        f"{_JUDGEMENT}.TestEvidence."
        "test_good_answers_of_the_start_do_not_hide_later_errors",
    ),
    Mutation(
        "rollout: one conspicuous upstream does not condemn the version",
        "gypsumlock/rollout/judgement.py",
        "if rest >= CORROBORATION or found - {worst} or not others:",
        "if True:",
        f"{_JUDGEMENT}.TestSimulatedRollouts.test_faulty_machine_is_not_the_version",
    ),
    Mutation(
        "rollout: a new conductor writes the status of a running roll-out again",
        "gypsumlock/rollout/status_writer.py",
        "if is_equal and status is not None and status.is_final:",
        "if is_equal:",
        f"{_DECISIONS}.TestStatusRows.test_late_write_of_an_earlier_conductor_fails",
    ),
    Mutation(
        "rollout: the highest token holds",
        "gypsumlock/rollout/version_table.py",
        "return entry.token, entry.revision",
        "return entry.revision, entry.token",
        f"{_DECISIONS}.TestVersionTable.test_entry_of_an_earlier_conductor_is_not_used",
    ),
)
