"""Mutations that each disable one mechanism, with a test that must then fail.

Each entry replaces one piece of source text in a temporary copy of the tree. The text
must occur exactly once in its file. `misc.check_proofs` runs the tests.
"""

from __future__ import annotations

from misc.client_mutations import CLIENT_MUTATIONS
from misc.mesh_mutations import MESH_MUTATIONS
from misc.mutation import Mutation
from misc.organisation_mutations import ORGANISATION_MUTATIONS
from misc.quota_mutations import QUOTA_MUTATIONS
from misc.report_mutations import REPORT_MUTATIONS
from misc.rollout_mutations import ROLLOUT_MUTATIONS

__all__ = ["MUTATIONS", "Mutation"]

_CONFIG_FAULT_MATRIX = "tests.test_config_fault_matrix.TestConfigFaultMatrix"
_CALL_FAULT_MATRIX = "tests.test_call_fault_matrix.TestCallFaultMatrix"

MUTATIONS = (
    Mutation(
        "operation rows make repeated change requests idempotent",
        "gypsumlock/distribution/accept.py",
        "if earlier.ok_value is not None:",
        "if False:",
        f"{_CONFIG_FAULT_MATRIX}.test_platform_answer_lost_at_commit",
    ),
    Mutation(
        "the head is written only if its revision is unchanged",
        "gypsumlock/distribution/accept.py",
        "[Condition(HEAD_KEY, head.revision), Condition(operation, None)],",
        "[Condition(operation, None)],",
        f"{_CONFIG_FAULT_MATRIX}.test_operators_race_at_accept",
    ),
    Mutation(
        "the accepting node holds its committed snapshot without fetching it",
        "gypsumlock/distribution/fetch.py",
        "if accepted is not None and accepted.ref == head.ref:",
        "if False:",
        "tests.test_recovery.TestPartitions.test_change_spreads_while_the_object_store_is_down",
    ),
    Mutation(
        "a snapshot whose digest does not match is rejected",
        "gypsumlock/model/snapshot.py",
        "if digest_of(payload) != expected.digest:",
        "if False:",
        "tests.test_model.TestDigest.test_corrupted_payload_is_detected",
    ),
    Mutation(
        "a snapshot that fails validation is not compiled",
        "gypsumlock/model/compiler.py",
        "    if faults:\n        return Err(faults)\n",
        "",
        "tests.test_bad_snapshots.TestBadSnapshots.test_snapshot_that_does_not_compile",
    ),
    Mutation(
        "a version is activated only after neighbours confirm that they hold it",
        "gypsumlock/distribution/activate.py",
        "if confirmed < needed:",
        "if False:",
        "tests.test_recovery.TestRestart.test_version_that_no_peer_holds_is_not_activated",
    ),
    Mutation(
        "a restarted node waits for the source or for enough witnesses",
        "gypsumlock/distribution/recover.py",
        "return max(answers) if len(answers) >= needed else None",
        "return max(answers, default=0)",
        "tests.test_recovery.TestRestart.test_too_few_witnesses_keep_a_node_unready",
    ),
    Mutation(
        "only witnesses count towards the recovery of a restarted node",
        "gypsumlock/distribution/recover.py",
        "for state in states if state and state.witness]",
        "for state in states if state]",
        "tests.test_recovery.TestRestart.test_too_few_witnesses_keep_a_node_unready",
    ),
    Mutation(
        "a process that was paused checks its version before it serves calls",
        "gypsumlock/distribution/pause.py",
        "if paused_s > defaults.PAUSE_LIMIT_S:",
        "if False:",
        "tests.test_recovery.TestPause.test_resumed_node_serves_only_the_newest_version",
    ),
    Mutation(
        "an unreachable node is never counted as converged",
        "gypsumlock/operator/queries.py",
        "if not entry.reachable or entry.in_force_version < version",
        "if entry.reachable and entry.in_force_version < version",
        "tests.test_recovery.TestPartitions.test_paused_node_is_reported_as_lagging",
    ),
    Mutation(
        "heartbeats include the node's own member record",
        "gypsumlock/membership/links.py",
        "batch = self._take_batch()",
        "self._pending_records.pop(self._board.node.address, None); "
        "batch = self._take_batch()",
        "tests.test_recovery.TestLateNode.test_all_others_discover_it",
    ),
    Mutation(
        "members that do not respond are marked as suspect",
        "gypsumlock/membership/view.py",
        "if member is None or member.status is not MemberStatus.ALIVE:",
        "if True:",
        "tests.test_calls.TestLeavingAndCrashedUpstreams.test_killed_instance_is_removed",
    ),
    Mutation(
        "an upstream that stops sending announcements is removed",
        "gypsumlock/membership/announcements.py",
        "if silent_s > self._silence_timeout_s:",
        "if False:",
        "tests.test_calls.TestLeavingAndCrashedUpstreams.test_silent_upstream_is_removed",
    ),
    Mutation(
        "a node refuses new calls for a leaving upstream",
        "gypsumlock/proxy/owner.py",
        "if upstream.leaving or self._board.stopping.read():",
        "if False:",
        "tests.test_calls.TestStaleMembership.test_owner_node_refuses_calls_to_a_leaving_upstream",
    ),
    Mutation(
        "a call that may have run is not retried unless it is idempotent",
        "gypsumlock/proxy/caller.py",
        "return call.route.is_idempotent(call.head.method)",
        "return True",
        f"{_CALL_FAULT_MATRIX}.test_upstream_drops_connection_at_wait",
    ),
    Mutation(
        "a call that was not run is retried on another upstream",
        "gypsumlock/proxy/caller.py",
        "        if result.state is AttemptState.NOT_RUN:\n            return True\n",
        "        if result.state is AttemptState.NOT_RUN:\n            return False\n",
        "tests.test_calls.TestStaleMembership."
        "test_owner_node_refuses_calls_to_a_leaving_upstream",
    ),
    Mutation(
        "an upstream's claim about whether a call ran is not trusted",
        "gypsumlock/proxy/owner.py",
        "connection, head, body, self._upstream_headers(call), responder, False",
        "connection, head, body, self._upstream_headers(call), responder, True",
        "tests.test_whole_path.TestWholePath",
    ),
    Mutation(
        "a connection with an incomplete response is not reused",
        "gypsumlock/proxy/connection.py",
        "return self._complete and self._keep_alive and not self._body",
        "return True",
        "tests.test_calls.TestResponses.test_late_response_reaches_no_other_client",
    ),
    Mutation(
        "a graceful stop waits for in-flight calls",
        "gypsumlock/daemon.py",
        "        await calls_closed.wait()\n",
        "        pass\n",
        f"{_CALL_FAULT_MATRIX}.test_owner_node_stopped_at_wait",
    ),
    Mutation(
        "a call is aborted at its deadline",
        "gypsumlock/proxy/caller.py",
        "with anyio.move_on_after(max(0.0, call.remaining_s())) as scope:",
        "with anyio.move_on_after(None) as scope:",
        "tests.test_calls.TestNestedCalls.test_deadline_reaches_the_upstream",
    ),
    Mutation(
        "nested calls keep the rank of the first call",
        "gypsumlock/proxy/caller.py",
        "route = _with_rank(table, route, context.rank)",
        "pass",
        "tests.test_calls.TestNestedCalls.test_rank_of_the_first_call_is_kept",
    ),
    Mutation(
        "a call context with an invalid signature is rejected",
        "gypsumlock/proxy/context.py",
        "if not hmac.compare_digest(signature, self._signature(payload)):",
        "if False:",
        "tests.test_call_context.TestContextSigner.test_every_changed_byte_is_rejected",
    ),
    Mutation(
        "the nesting depth of calls is limited to ten",
        "gypsumlock/proxy/caller.py",
        "if depth > defaults.MAX_CALL_DEPTH:",
        "if False:",
        "tests.test_calls.TestNestedCalls.test_call_depth_is_limited_to_ten",
    ),
    Mutation(
        "reading from the upstream pauses while the client is slow",
        "gypsumlock/proxy/connection.py",
        "            self._transport.pause_reading()\n",
        "            pass\n",
        "tests.test_calls.TestResponses.test_slow_client_causes_backpressure",
    ),
    Mutation(
        "every rank gets at least its floor share",
        "gypsumlock/admission/policy.py",
        "credited = [order for order in waiting if self._credit[order] >= 1]",
        "credited: list[int] = []",
        "tests.test_admission.TestPolicies.test_ranked_policy_keeps_floor_shares_and_prefers_urgent",
    ),
    Mutation(
        "ejections never leave a service without endpoints",
        "gypsumlock/routing/chooser.py",
        "if not available or ejected_share > table.policy.limits.max_ejected_share:",
        "if False:",
        "tests.test_routing.TestChooser.test_ejections_never_empty_a_service",
    ),
    Mutation(
        "the retry budget limits the number of retries",
        "gypsumlock/routing/budget.py",
        "        self._tokens -= 1\n",
        "",
        "tests.test_routing.TestRetryBudget.test_retries_are_bounded_over_many_calls",
    ),
    *CLIENT_MUTATIONS,
    *MESH_MUTATIONS,
    *QUOTA_MUTATIONS,
    *REPORT_MUTATIONS,
    *ORGANISATION_MUTATIONS,
    *ROLLOUT_MUTATIONS,
)
