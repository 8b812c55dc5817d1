"""Mutations that disable mechanisms of the mesh node; see `misc.mutations`."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["MESH_MUTATIONS"]

_MESH_CALLS = "tests.test_mesh_calls"
_MESH_DECISIONS = "tests.test_mesh_decisions"
_MESH_FEED = "tests.test_mesh_feed"
_MESH_ADMISSION = "tests.test_mesh_admission"

MESH_MUTATIONS = (
    Mutation(
        "mesh: an older version is never put in force",
        "gypsumlock/mesh/state.py",
        "if self.route_table is not None and "
        "table.version <= self.route_table.version:",
        "if False:",
        f"{_MESH_CALLS}.TestConfiguration.test_older_version_is_never_applied",
    ),
    Mutation(
        "mesh: an upstream incarnation that is leaving stays leaving",
        "gypsumlock/mesh/upstream_registry.py",
        "heartbeat.leaving or stays_leaving,",
        "heartbeat.leaving,",
        f"{_MESH_DECISIONS}.TestUpstreamRegistry.test_leaving_is_final_for_an_incarnation",
    ),
    Mutation(
        "mesh: the departure of an upstream survives a restart of its node",
        "gypsumlock/mesh/record_publisher.py",
        "self._state.registry.restore_departure(departure)",
        "pass",
        f"{_MESH_CALLS}.TestLeaving."
        "test_departed_upstream_gets_no_calls_after_a_node_restart",
    ),
    Mutation(
        "mesh: a response must echo the id of its call",
        "gypsumlock/mesh/upstream_connection.py",
        "self._id_matches = not self._request_id or echoed == self._request_id",
        "self._id_matches = True",
        f"{_MESH_CALLS}.TestFaultyResponses.test_response_of_another_call_is_ignored",
    ),
    Mutation(
        "mesh: a call that may have run is not retried unless it is repeatable",
        "gypsumlock/mesh/retry_policy.py",
        "if may_have_run and not call.route.repeatable:",
        "if False:",
        f"{_MESH_CALLS}.TestFaultyResponses.test_connection_is_reset_before_the_response",
    ),
    Mutation(
        "mesh: slots are reserved for urgent calls",
        "gypsumlock/mesh/admission.py",
        "return free_slots > reserved_slots - used_slots",
        "return True",
        f"{_MESH_ADMISSION}.TestAdmissionQueue."
        "test_late_call_takes_no_slot_that_on_time_calls_need",
    ),
    Mutation(
        "mesh: no slots are reserved for urgent calls that can wait",
        "gypsumlock/mesh/admission.py",
        "max_slack_s = QUEUEABLE_INTERVALS * slot_interval_s",
        "max_slack_s = math.inf",
        "tests.test_wide_service.TestOverloadOfOneRank."
        "test_no_call_is_refused_while_slots_are_idle",
    ),
    Mutation(
        "mesh: a refused call counts as demand at one owner only",
        "gypsumlock/mesh/admission.py",
        "        if ticket.first_offer:\n",
        "        if True:\n",
        f"{_MESH_ADMISSION}.TestAdmissionQueue."
        "test_call_that_other_owners_refused_is_no_further_demand",
    ),
    Mutation(
        "mesh: the records are hardly read during an outage",
        "gypsumlock/mesh/record_watcher.py",
        "            while not self._feed.config_cursor.reachable:",
        "            while False:",
        f"{_MESH_FEED}.TestFollowing."
        "test_followers_hardly_read_the_records_during_an_outage",
    ),
    Mutation(
        "mesh: a version with many new routes is sent compressed",
        "gypsumlock/mesh/feed_messages.py",
        "data = zlib.compress(msgspec.msgpack.encode(delta), COMPRESSION_LEVEL)",
        "data = msgspec.msgpack.encode(delta)",
        f"{_MESH_FEED}.TestFollowing.test_many_new_routes_reach_all_followers_in_time",
    ),
    Mutation(
        "mesh: demand decays while no call is added",
        "gypsumlock/mesh/load_estimates.py",
        "return self._decay(now_s) * sum(",
        "return sum(",
        f"{_MESH_ADMISSION}.TestAdmissionQueue."
        "test_demand_decays_while_no_call_is_accepted",
    ),
    Mutation(
        "mesh: first attempts with short timeouts are not taken for retries",
        "gypsumlock/mesh/request_age.py",
        "        if missing_s > band_s:",
        "        if missing_s > MIN_BAND_SHARE * seen.longest_s:",
        "tests.test_mesh_request_age.TestClientsWithUnequalTimeouts."
        "test_first_attempts_are_not_taken_for_retries",
    ),
    Mutation(
        "mesh: calls that were not sent allow no retries",
        "gypsumlock/mesh/caller.py",
        "                self._record_refusal(call, outcome)\n",
        "                self._record_refusal(call, outcome)\n"
        "                self._retries.record_first_attempt(call)\n",
        f"{_MESH_CALLS}.TestRetryLimit.test_calls_that_were_not_sent_allow_no_retries",
    ),
    Mutation(
        "mesh: the meter of a link leaves room for packet headers",
        "gypsumlock/mesh/link_meter.py",
        "USABLE_LINK_SHARE = 0.85",
        "USABLE_LINK_SHARE = 1.0",
        f"{_MESH_DECISIONS}.TestLinkMeter."
        "test_saturated_link_builds_up_no_queue_unseen",
    ),
    Mutation(
        "mesh: a fleet that starts for the first time reads the records once",
        "gypsumlock/mesh/record_watcher.py",
        "            await anyio.sleep(FLEET_START_DELAY_S)\n",
        "            pass\n",
        f"{_MESH_FEED}.TestColdStart."
        "test_first_start_of_a_fleet_reads_the_records_once",
    ),
    Mutation(
        "mesh: a starting node follows no node beside its zone's readers",
        "gypsumlock/mesh/feed_follower.py",
        "if feed.is_connected_to_store() or not feed.has_failed_calls():",
        "if feed.is_connected_to_store():",
        f"{_MESH_FEED}.TestColdStart."
        "test_first_start_of_a_fleet_reads_the_records_once",
    ),
    Mutation(
        "mesh: large responses go in the order of their targets",
        "gypsumlock/mesh/turn_queue.py",
        "turn = Turn(target_at_s, next(self._arrivals), granted)",
        "turn = Turn(0.0, next(self._arrivals), granted)",
        "tests.test_mesh_pacer.TestPacer.test_earlier_target_of_a_rank_goes_first",
    ),
    Mutation(
        "mesh: calls are admitted on a conservative estimate of their service time",
        "gypsumlock/mesh/load_estimates.py",
        "CONSERVATIVE_DEVIATIONS = 2.0",
        "CONSERVATIVE_DEVIATIONS = 0.0",
        f"{_MESH_ADMISSION}.TestOverload."
        "test_flood_of_one_rank_is_answered_on_time_up_to_capacity",
    ),
    Mutation(
        "mesh: a call that became late in the queue is dropped unless late_ok",
        "gypsumlock/mesh/admission.py",
        "if ticket.late_ok:",
        "if True:",
        f"{_MESH_ADMISSION}.TestAdmissionQueue."
        "test_call_that_became_late_is_dropped_unless_late_ok",
    ),
    Mutation(
        "mesh: connecting to an upstream has a short timeout",
        "gypsumlock/mesh/upstream_pool.py",
        "CONNECT_TIMEOUT_S = 0.5",
        "CONNECT_TIMEOUT_S = 4.0",
        "tests.test_platform_adapter.TestStorePartition",
    ),
    Mutation(
        "mesh: repeatable calls fail over from a silent connection",
        "gypsumlock/mesh/peer_connection.py",
        "if silent_s > FAILOVER_TIMEOUT_S + extra_s:",
        "if False:",
        f"{_MESH_CALLS}.TestSilence.test_repeatable_call_fails_over_in_time",
    ),
    Mutation(
        "mesh: a stopping node withdraws its calls that are still queued",
        "gypsumlock/mesh/node.py",
        "self.directory.withdraw_queued_calls()",
        "pass",
        f"{_MESH_CALLS}.TestLeaving.test_stop_refuses_queued_calls",
    ),
    Mutation(
        "mesh: the retry budget limits the number of retries",
        "gypsumlock/mesh/retry_budget.py",
        "if unused_retries < 1:",
        "if False:",
        f"{_MESH_DECISIONS}.TestRetryBudget.test_all_nodes_together_stay_within_the_limit",
    ),
    Mutation(
        "mesh: each route has a retry limit of its own",
        "gypsumlock/mesh/retry_budget.py",
        "            by_route.unused_retries(ratio, own_allowance),\n",
        "            1.0,\n",
        f"{_MESH_DECISIONS}.TestRetryBudget."
        "test_route_with_nested_calls_does_not_use_the_retries_of_others",
    ),
    Mutation(
        "mesh: only the newest record of each address counts",
        "gypsumlock/mesh/fleet_feed.py",
        "newest = {row.record.peer_address: row.record for row in ordered}",
        "newest = {row.record.node: row.record for row in ordered}",
        f"{_MESH_CALLS}.TestStore.test_reused_address_belongs_to_the_newest_record",
    ),
    Mutation(
        "mesh: a client disconnect does not cancel an unrepeatable call",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            task.cancel()",
        f"{_MESH_CALLS}.TestTimeouts."
        "test_client_disconnect_does_not_cancel_an_unrepeatable_call",
    ),
    Mutation(
        "mesh: a client disconnect cancels a repeatable call",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            pass",
        f"{_MESH_CALLS}.TestTimeouts.test_client_disconnect_cancels_a_repeatable_call",
    ),
    Mutation(
        "mesh: the number of log lines per part and time window is limited",
        "gypsumlock/bounded_sink.py",
        "if self._line_counts[component, is_warning] >= limit:",
        "if False:",
        "tests.test_bounded_sink.TestBoundedSink.test_dropped_lines_are_counted",
    ),
    Mutation(
        "mesh: a call without another upstream keeps waiting for a silent node",
        "gypsumlock/mesh/retry_policy.py",
        "return self._has_untried_upstream(call, tried) and self.charge(call)",
        "return True",
        f"{_MESH_CALLS}.TestSilence.test_call_without_another_upstream_waits",
    ),
    Mutation(
        "mesh: nodes that are not readers stop reading the store",
        "gypsumlock/mesh/feed_follower.py",
        "            event.clear()",
        "            pass",
        f"{_MESH_FEED}.TestFollowing.test_only_readers_call_the_store_on_changes",
    ),
    Mutation(
        "mesh: a node without a source reads the store",
        "gypsumlock/mesh/feed_follower.py",
        "if now_s >= self._store_fallback_at_s:",
        "if False:",
        f"{_MESH_FEED}.TestFollowing.test_version_arrives_in_time_without_the_readers",
    ),
    Mutation(
        "mesh: a node that lost the store is no longer a source for others",
        "gypsumlock/mesh/feed_relay.py",
        "store_connected=feed.is_connected_to_store() and not self._state.stopping,",
        "store_connected=True,",
        f"{_MESH_FEED}.TestFollowing.test_followers_read_the_store_when_readers_lose_it",
    ),
    Mutation(
        "mesh: a configuration delta is applied only if the result has its checksum",
        "gypsumlock/mesh/feed_messages.py",
        "return config if compute_checksum(config) == delta.checksum else None",
        "return config",
        f"{_MESH_FEED}.TestConfigDelta.test_result_with_a_wrong_checksum_is_rejected",
    ),
    Mutation(
        "mesh: upstream selection counts the transfer time over the owner's link",
        "gypsumlock/mesh/placement.py",
        "expected_s += _transfer_s(profile, view, now_s)",
        "pass",
        f"{_MESH_DECISIONS}.TestUpstreamSelector.test_large_responses_avoid_a_busy_link",
    ),
    Mutation(
        "mesh: large responses are sent in paced chunks",
        "gypsumlock/mesh/pacer.py",
        "if not self._turns and self._excess_backlog_s() <= 0:",
        "if True:",
        "tests.test_mesh_pacer.TestPacer."
        "test_small_messages_wait_for_a_few_chunks_only",
    ),
    Mutation(
        "mesh: chunks of urgent responses are sent first",
        "gypsumlock/mesh/turn_queue.py",
        "        rank = min(self._by_rank)\n",
        "        rank = max(self._by_rank)\n",
        "tests.test_mesh_pacer.TestPacer.test_urgent_responses_go_first",
    ),
    Mutation(
        "mesh: unrepeatable calls reuse only recently used connections",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, UNREPEATABLE_IDLE_LIMIT_S)",
        "pass",
        f"{_MESH_CALLS}.TestStaleConnections."
        "test_unrepeatable_call_uses_no_stale_connection",
    ),
    Mutation(
        "mesh: an idle connection that the upstream dropped reduces the idle limit",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, self._reduced_idle_limit_s)",
        "pass",
        f"{_MESH_CALLS}.TestStaleConnections.test_stale_connection_reduces_the_idle_limit",
    ),
    Mutation(
        "mesh: calls are refused if the link cannot send their responses in time",
        "gypsumlock/mesh/owner.py",
        "if transfer_s * DEADLINE_MARGIN_FACTOR > request.deadline_left_s:",
        "if False:",
        "tests.test_mesh_pacer.TestLowBandwidthLink."
        "test_responses_too_slow_for_the_link_are_refused",
    ),
    Mutation(
        "mesh: a stopping node waits for responses from silent nodes",
        "gypsumlock/mesh/node.py",
        "self.directory.disable_silence_timeouts()",
        "pass",
        f"{_MESH_CALLS}.TestSilence.test_stopping_node_waits_for_a_silent_node",
    ),
    Mutation(
        "mesh: the expected wait counts urgent calls that have not arrived yet",
        "gypsumlock/mesh/admission.py",
        "self.slots - self._accepted_demand.slots_above(priority, now_s)",
        "self.slots",
        f"{_MESH_ADMISSION}.TestAdmissionQueue."
        "test_expected_wait_counts_urgent_calls_that_have_not_arrived",
    ),
    Mutation(
        "mesh: a stopping node shortens deadlines to its remaining time",
        "gypsumlock/mesh/call_classifier.py",
        "remaining_s = min(remaining_s, self._state.ends_at_s - request.received_s)",
        "pass",
        f"{_MESH_CALLS}.TestLeaving.test_stopping_node_shortens_deadlines",
    ),
    Mutation(
        "mesh: lower ranks keep a share of a link that is full",
        "gypsumlock/mesh/turn_queue.py",
        "if lower_ranks and self._turns_of_highest_rank >= LOWER_RANK_INTERVAL:",
        "if False:",
        "tests.test_mesh_pacer.TestRanksOnFullLink.test_lower_rank_is_sent_in_time",
    ),
    Mutation(
        "mesh: lower ranks keep a small share of the link only",
        "gypsumlock/mesh/turn_queue.py",
        "LOWER_RANK_INTERVAL = 8",
        "LOWER_RANK_INTERVAL = 2",
        "tests.test_mesh_pacer.TestRanksOnFullLink."
        "test_most_of_the_link_goes_to_the_higher_rank",
    ),
)
