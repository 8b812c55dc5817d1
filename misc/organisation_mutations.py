"""Mutations that disable mechanisms of organisations; see `misc.mutations`."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["ORGANISATION_MUTATIONS"]

_KEY_REMOVAL = "tests.test_key_removal"
_FAIR_QUEUE = "tests.test_fair_queue"
_IDENTIFICATION = "gypsumlock/organisations/identification.py"
_FAIR_SHARES = "gypsumlock/organisations/fair_queue.py"

ORGANISATION_MUTATIONS = (
    Mutation(
        "organisations: clients can't name their organisation themselves",
        _IDENTIFICATION,
        "if header[0] not in hidden]",
        "]",
        "tests.test_organisation_calls.TestHeaders."
        "test_organisation_is_set_by_the_node",
    ),
    Mutation(
        "organisations: the checksum of a version covers them",
        "gypsumlock/mesh/feed_messages.py",
        "        config.limits,\n        organisations,\n",
        "        config.limits,\n",
        "tests.test_organisations.TestDistribution."
        "test_checksum_covers_the_organisations",
    ),
    Mutation(
        "organisations: waiting calls of a removed key are withdrawn",
        "gypsumlock/mesh/key_revocation.py",
        "            self._directory.withdraw(attempt)\n",
        "            pass\n",
        f"{_KEY_REMOVAL}.TestWaitingCalls.test_call_that_waits_at_another_node",
    ),
    Mutation(
        "organisations: a withdrawn call that has not begun is refused",
        "gypsumlock/mesh/owner.py",
        "            request.deadline_left_s = EXPIRED_S\n",
        "            pass\n",
        f"{_KEY_REMOVAL}.TestWaitingCalls."
        "test_call_on_its_way_to_the_owner_is_not_executed",
    ),
    Mutation(
        "organisations: a node without contact refuses keys if bounds are strict",
        "gypsumlock/mesh/state.py",
        "return self.config_contact.age_s(boot_time_s()) > bounds.max_delay_s",
        "return False",
        f"{_KEY_REMOVAL}.TestCutOffNodes."
        "test_strict_node_refuses_keys_until_it_is_in_contact",
    ),
    Mutation(
        "organisations: a heartbeat from before a pause is old",
        "gypsumlock/organisations/config_contact.py",
        "min(now_s, self._sent_at_s + MAX_HEARTBEAT_STEP_S)",
        "now_s",
        f"{_KEY_REMOVAL}.TestContact.test_heartbeat_received_before_a_pause_is_not_new",
    ),
    Mutation(
        "organisations: those of a rank are served in turn",
        _FAIR_SHARES,
        "chosen = min(heads.values(),",
        "chosen = first if heads else min(heads.values(),",
        f"{_FAIR_QUEUE}.TestOrder.test_organisations_alternate",
    ),
    Mutation(
        "organisations: a flood does not lengthen the expected wait of others",
        "gypsumlock/mesh/admission.py",
        "if ticket is not None and self._has_organisations(ticket):",
        "if False:",
        f"{_FAIR_QUEUE}.TestFlood.test_small_organisations_beside_a_flood",
    ),
    Mutation(
        "organisations: the one that holds most of the queue is refused first",
        "gypsumlock/mesh/admission.py",
        "if not ticket.late_ok and end_at_s > ticket.target_at_s:",
        "if False:",
        f"{_FAIR_QUEUE}.TestOrder.test_organisation_with_most_calls_is_refused_first",
    ),
    Mutation(
        "organisations: nested calls go first",
        _FAIR_SHARES,
        "if unnamed is not None and _precedes(waiting[unnamed], waiting[chosen]):",
        "if False:",
        f"{_FAIR_QUEUE}.TestOrder.test_nested_call_goes_before_calls_of_organisations",
    ),
)
