"""Mechanisms of the mesh node that can be taken away; see `misc.mutations`."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["MESH_MUTATIONS"]

_CALLS = "tests.test_mesh_calls"
_DECISIONS = "tests.test_mesh_decisions"
_FEED = "tests.test_mesh_feed"
_FLOOD = "tests.test_mesh_admission"

MESH_MUTATIONS = (
    Mutation(
        "mesh: an older version is never put in force",
        "gypsumlock/mesh/state.py",
        "if self.route_table is not None and "
        "table.version <= self.route_table.version:",
        "if False:",
        f"{_CALLS}.TestConfiguration.test_older_version_is_never_applied",
    ),
    Mutation(
        "mesh: leaving is final for an incarnation",
        "gypsumlock/mesh/upstream_registry.py",
        "heartbeat.leaving or stays_leaving,",
        "heartbeat.leaving,",
        f"{_DECISIONS}.TestUpstreamRegistry.test_leaving_is_final_for_an_incarnation",
    ),
    Mutation(
        "mesh: a departure outlives the process",
        "gypsumlock/mesh/watchers.py",
        "self._state.registry.restore_departure(record.instance, record.born_ms)",
        "pass",
        f"{_CALLS}.TestLeaving."
        "test_departed_upstream_gets_no_calls_after_a_node_restart",
    ),
    Mutation(
        "mesh: an answer must echo its call",
        "gypsumlock/mesh/upstream_connection.py",
        "self._id_matches = not self._request_id or echoed == self._request_id",
        "self._id_matches = True",
        f"{_CALLS}.TestFaultyResponses.test_response_of_another_call_is_ignored",
    ),
    Mutation(
        "mesh: what may have run is not sent again unless it may run twice",
        "gypsumlock/mesh/caller.py",
        "if may_have_run and not call.route.repeatable:",
        "if False:",
        f"{_CALLS}.TestFaultyResponses.test_connection_is_reset_before_the_response",
    ),
    Mutation(
        "mesh: slots are kept for urgent calls",
        "gypsumlock/mesh/admission.py",
        "return free_slots > reserved_slots - used_slots",
        "return True",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_late_call_takes_no_slot_that_on_time_calls_need",
    ),
    Mutation(
        "mesh: calls are taken on a safe service time",
        "gypsumlock/mesh/load_estimates.py",
        "CONSERVATIVE_DEVIATIONS = 2.0",
        "CONSERVATIVE_DEVIATIONS = 0.0",
        f"{_FLOOD}.TestOverload."
        "test_flood_of_one_rank_is_answered_on_time_up_to_capacity",
    ),
    Mutation(
        "mesh: a call that became late is given back",
        "gypsumlock/mesh/admission.py",
        "if ticket.late_ok:",
        "if True:",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_call_that_became_late_is_dropped_unless_late_ok",
    ),
    Mutation(
        "mesh: connecting is bounded",
        "gypsumlock/mesh/upstream_pool.py",
        "CONNECT_TIMEOUT_S = 0.5",
        "CONNECT_TIMEOUT_S = 4.0",
        "tests.test_platform_adapter.TestStorePartition",
    ),
    Mutation(
        "mesh: repeatable calls leave a silent connection",
        "gypsumlock/mesh/peer_connection.py",
        "if silent_s > FAILOVER_TIMEOUT_S + extra_s and not self.ignore_silence:",
        "if False:",
        f"{_CALLS}.TestSilence.test_repeatable_call_fails_over_in_time",
    ),
    Mutation(
        "mesh: a stop refuses what waits elsewhere",
        "gypsumlock/mesh/node.py",
        "self.directory.withdraw_queued_calls()",
        "pass",
        f"{_CALLS}.TestLeaving.test_stop_refuses_queued_calls",
    ),
    Mutation(
        "mesh: repeats keep a budget",
        "gypsumlock/mesh/retry_budget.py",
        "if len(self._retries) + 1 > limit:",
        "if False:",
        f"{_DECISIONS}.TestRetryBudget.test_all_nodes_together_stay_within_the_limit",
    ),
    Mutation(
        "mesh: one node at an address",
        "gypsumlock/mesh/fleet_feed.py",
        "newest = {row.record.peer_address: row.record for row in ordered}",
        "newest = {row.record.node: row.record for row in ordered}",
        f"{_CALLS}.TestStore.test_reused_address_belongs_to_the_newest_record",
    ),
    Mutation(
        "mesh: a booking isn't broken off",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            task.cancel()",
        f"{_CALLS}.TestTimeouts."
        "test_client_disconnect_does_not_cancel_an_unrepeatable_call",
    ),
    Mutation(
        "mesh: a client that leaves ends a repeatable run",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            pass",
        f"{_CALLS}.TestTimeouts.test_client_disconnect_cancels_a_repeatable_call",
    ),
    Mutation(
        "mesh: log lines are bounded",
        "gypsumlock/bounded_sink.py",
        "if self._spent[part, warning] >= bound:",
        "if False:",
        "tests.test_bounded_sink.TestBoundedSink.test_lines_left_out_are_counted",
    ),
    Mutation(
        "mesh: a call that can't go elsewhere waits for a silent node",
        "gypsumlock/mesh/caller.py",
        "return self._has_untried_upstream(call, tried) and self._charge_retry(call)",
        "return True",
        f"{_CALLS}.TestSilence.test_call_without_another_upstream_waits",
    ),
    Mutation(
        "mesh: only readers ask the store",
        "gypsumlock/mesh/feed_follower.py",
        "            event.clear()",
        "            pass",
        f"{_FEED}.TestFollowing.test_only_readers_call_the_store_on_changes",
    ),
    Mutation(
        "mesh: a node without a source reads the store",
        "gypsumlock/mesh/feed_follower.py",
        "if now_s >= self._store_fallback_at_s:",
        "if False:",
        f"{_FEED}.TestFollowing.test_version_arrives_in_time_without_the_readers",
    ),
    Mutation(
        "mesh: a source that lost the store is no source",
        "gypsumlock/mesh/feed_relay.py",
        "store_connected=feed.is_connected_to_store() and not self._state.stopping,",
        "store_connected=True,",
        f"{_FEED}.TestFollowing.test_followers_read_the_store_when_readers_lose_it",
    ),
    Mutation(
        "mesh: a version is checked against the whole",
        "gypsumlock/mesh/feed_messages.py",
        "return config if compute_checksum(config) == delta.checksum else None",
        "return config",
        f"{_FEED}.TestConfigDelta.test_result_with_a_wrong_checksum_is_rejected",
    ),
    Mutation(
        "mesh: the link of the owner's machine counts in placing",
        "gypsumlock/mesh/placement.py",
        "expected_s += _transfer_s(profile, view, now_s)",
        "pass",
        f"{_DECISIONS}.TestUpstreamSelector.test_large_responses_avoid_a_busy_link",
    ),
    Mutation(
        "mesh: large answers leave in pieces",
        "gypsumlock/mesh/pacer.py",
        "if not self._turns and self._excess_backlog_s() <= 0:",
        "if True:",
        "tests.test_mesh_pacer.TestPacer."
        "test_small_messages_wait_for_a_few_chunks_only",
    ),
    Mutation(
        "mesh: urgent answers go first on the link",
        "gypsumlock/mesh/pacer.py",
        "turn = _Turn(rank, next(self._arrivals), self._loop.create_future())",
        "turn = _Turn(0, next(self._arrivals), self._loop.create_future())",
        "tests.test_mesh_pacer.TestPacer.test_urgent_responses_go_first",
    ),
    Mutation(
        "mesh: bookings use no connection that rested",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, UNREPEATABLE_IDLE_LIMIT_S)",
        "pass",
        f"{_CALLS}.TestStaleConnections."
        "test_unrepeatable_call_uses_no_stale_connection",
    ),
    Mutation(
        "mesh: a forgotten connection is a lesson",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, self._reduced_idle_limit_s)",
        "pass",
        f"{_CALLS}.TestStaleConnections.test_stale_connection_reduces_the_idle_limit",
    ),
    Mutation(
        "mesh: answers that the link can't carry in time are refused",
        "gypsumlock/mesh/owner.py",
        "if transfer_s * DEADLINE_MARGIN_FACTOR > request.deadline_left_s:",
        "if False:",
        "tests.test_mesh_pacer.TestLowBandwidthLink."
        "test_responses_too_slow_for_the_link_are_refused",
    ),
    Mutation(
        "mesh: a stopping node waits for silent ones",
        "gypsumlock/mesh/node.py",
        "self.directory.disable_silence_timeouts()",
        "pass",
        f"{_CALLS}.TestSilence.test_stopping_node_waits_for_a_silent_node",
    ),
    Mutation(
        "mesh: a wait counts urgent calls to come",
        "gypsumlock/mesh/admission.py",
        "self.slots - self._accepted_demand.slots_above(priority)",
        "self.slots",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_expected_wait_counts_urgent_calls_that_have_not_arrived",
    ),
    Mutation(
        "mesh: a stopping node asks for answers before its end",
        "gypsumlock/mesh/call_classifier.py",
        "remaining_s = min(remaining_s, self._state.ends_at_s - request.received_s)",
        "pass",
        f"{_CALLS}.TestLeaving.test_stopping_node_shortens_deadlines",
    ),
)
