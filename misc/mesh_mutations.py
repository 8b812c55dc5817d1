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
        "if self.table is not None and table.version <= self.table.version:",
        "if False:",
        f"{_CALLS}.TestConfiguration.test_older_version_is_never_taken",
    ),
    Mutation(
        "mesh: leaving is final for an incarnation",
        "gypsumlock/mesh/upstream_registry.py",
        "beat.leaving or sticky,",
        "beat.leaving,",
        f"{_DECISIONS}.TestUpstreamRegistry.test_leaving_is_final_for_an_incarnation",
    ),
    Mutation(
        "mesh: a departure outlives the process",
        "gypsumlock/mesh/watchers.py",
        "self._state.registry.restore_departed(left.instance, left.born_ms)",
        "pass",
        f"{_CALLS}.TestLeaving.test_departed_upstream_gets_nothing_after_a_restart",
    ),
    Mutation(
        "mesh: an answer must echo its call",
        "gypsumlock/mesh/upstream_connection.py",
        "self._matches = not self._call_id or echoed == self._call_id",
        "self._matches = True",
        f"{_CALLS}.TestMisbehaviour.test_answer_of_another_call_is_passed_over",
    ),
    Mutation(
        "mesh: what may have run is not sent again unless it may run twice",
        "gypsumlock/mesh/caller.py",
        "if ran and not call.route.repeatable:",
        "if False:",
        f"{_CALLS}.TestMisbehaviour.test_answer_is_lost",
    ),
    Mutation(
        "mesh: slots are kept for urgent calls",
        "gypsumlock/mesh/admission.py",
        "return free > wanted - running",
        "return True",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_late_call_takes_no_slot_that_punctual_ones_need",
    ),
    Mutation(
        "mesh: calls are taken on a safe service time",
        "gypsumlock/mesh/load_estimates.py",
        "SAFE_DEVIATIONS = 2.0",
        "SAFE_DEVIATIONS = 0.0",
        f"{_FLOOD}.TestFlood."
        "test_flood_of_one_rank_is_served_in_time_as_far_as_slots_go",
    ),
    Mutation(
        "mesh: a call that became late is given back",
        "gypsumlock/mesh/admission.py",
        "if ticket.late_ok:",
        "if True:",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_call_that_became_late_is_given_back_unless_it_may_be",
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
        "gypsumlock/mesh/link.py",
        "if silent_s > SUSPECT_S + patience_s and not self.patient:",
        "if False:",
        f"{_CALLS}.TestSilence.test_repeatable_call_is_sent_elsewhere_in_time",
    ),
    Mutation(
        "mesh: a stop refuses what waits elsewhere",
        "gypsumlock/mesh/node.py",
        "self.directory.withdraw_waiting()",
        "pass",
        f"{_CALLS}.TestLeaving.test_stop_refuses_calls_that_never_got_a_slot",
    ),
    Mutation(
        "mesh: repeats keep a budget",
        "gypsumlock/mesh/retry_budget.py",
        "if len(self._repeats) + 1 > bound:",
        "if False:",
        f"{_DECISIONS}.TestRetryBudget.test_fleet_bound_holds",
    ),
    Mutation(
        "mesh: one node at an address",
        "gypsumlock/mesh/fleet_feed.py",
        "newest = {row.record.peer_address: row.record for row in ordered}",
        "newest = {row.record.node: row.record for row in ordered}",
        f"{_CALLS}.TestStore.test_address_of_a_lost_node_belongs_to_the_newest",
    ),
    Mutation(
        "mesh: a booking isn't broken off",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            task.cancel()",
        f"{_CALLS}.TestTimes.test_client_that_leaves_does_not_break_a_booking_off",
    ),
    Mutation(
        "mesh: a client that leaves ends a repeatable run",
        "gypsumlock/mesh/owner.py",
        "            if request.repeatable:\n                task.cancel()",
        "            pass",
        f"{_CALLS}.TestTimes.test_client_that_leaves_ends_a_repeatable_run",
    ),
    Mutation(
        "mesh: log lines are bounded",
        "gypsumlock/bounded_sink.py",
        "if self._line_counts[component, is_warning] >= limit:",
        "if False:",
        "tests.test_bounded_sink.TestBoundedSink.test_dropped_lines_are_counted",
    ),
    Mutation(
        "mesh: a call that can't go elsewhere waits for a silent node",
        "gypsumlock/mesh/caller.py",
        "return self._has_another(call, tried) and self._pay_repeat(call)",
        "return True",
        f"{_CALLS}.TestSilence.test_call_without_another_upstream_waits_for_its_answer",
    ),
    Mutation(
        "mesh: only readers ask the store",
        "gypsumlock/mesh/feed_follower.py",
        "            event.clear()",
        "            pass",
        f"{_FEED}.TestFollowing.test_changes_cost_calls_of_the_readers_only",
    ),
    Mutation(
        "mesh: a node without a source reads the store",
        "gypsumlock/mesh/feed_follower.py",
        "if now_s >= self._turn_at_s:",
        "if False:",
        f"{_FEED}.TestFollowing.test_version_arrives_in_time_without_the_readers",
    ),
    Mutation(
        "mesh: a source that lost the store is no source",
        "gypsumlock/mesh/feed_relay.py",
        "fresh=feed.hears_from_store() and not self._state.stopping,",
        "fresh=True,",
        f"{_FEED}.TestFollowing."
        "test_followers_read_for_themselves_when_readers_lose_the_store",
    ),
    Mutation(
        "mesh: a version is checked against the whole",
        "gypsumlock/mesh/feed_messages.py",
        "return config if digest_of(config) == change.digest else None",
        "return config",
        f"{_FEED}.TestConfigChange.test_version_that_comes_out_otherwise_is_refused",
    ),
    Mutation(
        "mesh: the link of the owner's machine counts in placing",
        "gypsumlock/mesh/placement.py",
        "expected_s += _transfer_s(shape, view, now_s)",
        "pass",
        f"{_DECISIONS}.TestPlacement.test_large_answers_avoid_a_link_that_is_taken",
    ),
    Mutation(
        "mesh: large answers leave in pieces",
        "gypsumlock/mesh/pacer.py",
        "if not self._turns and self._excess_s() <= 0:",
        "if True:",
        "tests.test_mesh_pacer.TestPacer."
        "test_small_messages_wait_for_a_few_pieces_only",
    ),
    Mutation(
        "mesh: urgent answers go first on the link",
        "gypsumlock/mesh/pacer.py",
        "turn = _Turn(rank, next(self._order), self._loop.create_future())",
        "turn = _Turn(0, next(self._order), self._loop.create_future())",
        "tests.test_mesh_pacer.TestPacer.test_urgent_answers_go_first",
    ),
    Mutation(
        "mesh: bookings use no connection that rested",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, UNREPEATABLE_IDLE_S)",
        "pass",
        f"{_CALLS}.TestForgottenConnections."
        "test_booking_is_not_lost_to_a_forgotten_connection",
    ),
    Mutation(
        "mesh: a forgotten connection is a lesson",
        "gypsumlock/mesh/upstream_pool.py",
        "limit_s = min(limit_s, self._forgotten_limit_s)",
        "pass",
        f"{_CALLS}.TestForgottenConnections.test_one_forgotten_connection_is_a_lesson",
    ),
    Mutation(
        "mesh: answers that the link can't carry in time are refused",
        "gypsumlock/mesh/owner.py",
        "if transfer_s * LATE_MARGIN > request.deadline_left_s:",
        "if False:",
        "tests.test_mesh_pacer.TestNarrowNode."
        "test_answers_that_the_link_can_t_carry_in_time_are_refused",
    ),
    Mutation(
        "mesh: a stopping node waits for silent ones",
        "gypsumlock/mesh/node.py",
        "self.directory.wait_out_silence()",
        "pass",
        f"{_CALLS}.TestSilence.test_stopping_node_waits_for_a_silent_one",
    ),
    Mutation(
        "mesh: a wait counts urgent calls to come",
        "gypsumlock/mesh/admission.py",
        "self.slots - self._taken.above(urgency)",
        "self.slots",
        f"{_FLOOD}.TestAdmissionQueue."
        "test_wait_counts_urgent_calls_that_are_still_to_come",
    ),
    Mutation(
        "mesh: a stopping node asks for answers before its end",
        "gypsumlock/mesh/call_classifier.py",
        "left_s = min(left_s, self._state.ends_at_s - request.received_s)",
        "pass",
        f"{_CALLS}.TestLeaving.test_stopping_node_asks_for_answers_before_its_end",
    ),
)
