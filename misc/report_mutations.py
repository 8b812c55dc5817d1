"""Mutations that disable what keeps operators' reports from coming true.

See `misc.mutations`, and the matrix of reports in docs/INVARIANTS.md.
"""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["REPORT_MUTATIONS"]

_ENDLESS = "tests.test_endless_responses"
_FIELDS = "tests.test_field_checks"
_MEMORY = "tests.test_memory_bounds"
_STOP = "tests.test_planned_stop.TestPlannedStop"
_JOINED = "tests.test_joined_heads"
_LEAVING = "tests.test_mesh_calls.TestLeaving"
_SILENCE = "tests.test_mesh_calls.TestSilence"
_DEPARTURE = "tests.test_departure_ack.TestDepartureAck"
_HELD = "tests.test_held_memory"

REPORT_MUTATIONS = (
    Mutation(
        "reports: a stale copy of a response or refusal answers no later call",
        "gypsumlock/mesh/upstream_connection.py",
        "self._id_matches = not self._request_id or echoed == self._request_id",
        "self._id_matches = True",
        f"{_ENDLESS}.TestStaleResponses.test_stale_copy_answers_no_later_call",
    ),
    Mutation(
        "reports: a call without an identifier uses no kept connection",
        "gypsumlock/mesh/upstream_client.py",
        "            return await self._pool.open(timeout_s)",
        "            pass",
        f"{_ENDLESS}.TestStaleResponses."
        "test_call_without_identifier_uses_no_kept_connection",
    ),
    Mutation(
        "reports: a call holds its slot for a limited time",
        "gypsumlock/mesh/upstream_client.py",
        "async with asyncio.timeout(min(max_wait_s, left_s + OVERDUE_RESPONSE_S)):",
        "async with asyncio.timeout(None):",
        f"{_ENDLESS}.TestEndlessResponses.test_slow_response_is_cut_off",
    ),
    Mutation(
        "reports: a head, framing or trailer without end is cut off",
        "gypsumlock/mesh/upstream_connection.py",
        "if self._head_bytes > MAX_FRAMING_BYTES or self._exceeds_framing_limit():",
        "if False:",
        f"{_ENDLESS}.TestEndlessResponses.test_memory_is_bounded",
    ),
    Mutation(
        "reports: an address that can't be parsed is no field of a record",
        "gypsumlock/mesh/model.py",
        "peer_address: Address",
        "peer_address: Text",
        f"{_FIELDS}.TestOddRows.test_odd_rows_end_no_node",
    ),
    Mutation(
        "reports: a deeply nested message is ignored",
        "gypsumlock/mesh/field_types.py",
        "(msgspec.DecodeError, RecursionError)",
        "(msgspec.DecodeError,)",
        f"{_FIELDS}.TestOddRows.test_odd_rows_end_no_node",
    ),
    Mutation(
        "reports: a start beyond 64 bits is no field of a record",
        "gypsumlock/mesh/field_types.py",
        "TimestampMs = Annotated[int, Meta(ge=0, le=4_102_444_800_000)]",
        "TimestampMs = int",
        f"{_FIELDS}.TestOddRows.test_odd_rows_end_no_node",
    ),
    Mutation(
        "reports: an invalid message of another node leaves the others",
        "gypsumlock/mesh/frames.py",
        "                self._handle_invalid(frame)\n",
        "                self.abort()\n                return\n",
        f"{_FIELDS}.TestMessagesBetweenNodes."
        "test_message_with_an_odd_field_leaves_the_others",
    ),
    Mutation(
        "reports: a response that is cut in its head or body is no response",
        "gypsumlock/mesh/upstream_connection.py",
        "if self._ends_at_close and self._id_matches and not self._complete:",
        "if not self._complete:",
        "tests.test_cut_responses.TestCutResponses.test_cut_head_is_no_response",
    ),
    Mutation(
        "reports: a stopping node answers the calls from before its stop",
        "gypsumlock/mesh/node.py",
        "        self.dispatcher.limit_deadlines()\n",
        "",
        f"{_STOP}.test_calls_from_before_the_stop_get_an_answer",
    ),
    Mutation(
        "reports: a stopping node answers the calls that come late",
        "gypsumlock/mesh/node.py",
        "while loop.time() < self.state.exits_at_s:",
        "while loop.time() < self.state.ends_at_s:",
        f"{_STOP}.test_late_calls_get_an_answer",
    ),
    Mutation(
        "reports: a stopping node accepts calls in half of its grace period",
        "gypsumlock/mesh/state.py",
        "MAX_CLIENT_DRAIN_SHARE = 0.5",
        "MAX_CLIENT_DRAIN_SHARE = 1.0",
        f"{_STOP}.test_call_in_the_second_half_of_the_grace_is_refused",
    ),
    Mutation(
        "reports: a status line inside a head shows two heads",
        "gypsumlock/mesh/upstream_connection.py",
        'if _STATUS_LINE.search(b"\\n".join(texts)):',
        "if False:",
        f"{_JOINED}.TestJoinedResponseHeads",
    ),
    Mutation(
        "reports: a request that contradicts itself is rejected",
        "gypsumlock/mesh/call_classifier.py",
        "if has_conflict(request.headers, deciding):",
        "if False:",
        f"{_JOINED}.TestConflictingRequestHeaders",
    ),
    Mutation(
        "reports: a route that is seldom called has no histogram",
        "gypsumlock/metrics/metrics.py",
        "MAX_SINGLE_VALUES: Final = 32",
        "MAX_SINGLE_VALUES: Final = 1",
        "tests.test_metrics.TestLatencies.test_seldom_called_routes_take_little_memory",
    ),
    Mutation(
        "reports: the number of histograms is limited",
        "gypsumlock/metrics/metrics.py",
        "has_room = len(self._latencies) < MAX_HISTOGRAMS",
        "has_room = True",
        "tests.test_metrics.TestLatencies.test_often_called_routes_take_bounded_memory",
    ),
    Mutation(
        "reports: a stopping node leaves new connections time for a request",
        "gypsumlock/mesh/server_connection.py",
        "MIN_IDLE_S = 0.2",
        "MIN_IDLE_S = 0.0",
        f"{_STOP}.test_new_connection_has_time_for_its_request",
    ),
    Mutation(
        "mesh: a starting node leaves its row until it has probed its upstream",
        "gypsumlock/mesh/record_publisher.py",
        "return not is_known and desired.departures == published.departures",
        "return False",
        "tests.test_departure_ack.TestRowOfAnEarlierProcess."
        "test_restart_does_not_take_the_upstream_out_of_use",
    ),
    Mutation(
        "reports: a body of another call allows no longer head after it",
        "gypsumlock/mesh/upstream_connection.py",
        "self._head_bytes + len(data) if is_in_head else 0",
        "0",
        f"{_MEMORY}.TestReceivedResponse."
        "test_body_of_another_call_allows_no_longer_head",
    ),
    Mutation(
        "reports: the number of headers of a response is limited",
        "gypsumlock/mesh/upstream_connection.py",
        "if len(self._headers) >= MAX_HEADERS:",
        "if False:",
        f"{_MEMORY}.TestReceivedResponse.test_tiny_headers_take_bounded_memory",
    ),
    Mutation(
        "reports: a configuration of another node has a limited size",
        "gypsumlock/mesh/feed_messages.py",
        "decompressor.decompress(data, MAX_CONFIG_BYTES)",
        "decompressor.decompress(data)",
        f"{_MEMORY}.TestReceivedConfig",
    ),
    Mutation(
        "reports: trailers don't say that a call was not executed",
        "gypsumlock/mesh/upstream_connection.py",
        "if not self._complete and not self._headers_complete:",
        "if not self._complete:",
        f"{_ENDLESS}.TestForeignResponses."
        "test_trailer_does_not_say_that_the_call_was_not_executed",
    ),
    Mutation(
        "reports: a success without the upstream's signature is not passed on",
        "gypsumlock/mesh/response_kind.py",
        "    if not _is_from_upstream(response, names):",
        "    if False:",
        f"{_ENDLESS}.TestForeignResponses.test_unsigned_success_is_not_passed_on",
    ),
    Mutation(
        "reports: a stopping node sends what a slow client has not read yet",
        "gypsumlock/mesh/server_connection.py",
        "or has_unsent_bytes(self._transport)",
        "or False",
        f"{_LEAVING}.test_stop_waits_for_a_client_that_reads_slowly",
    ),
    Mutation(
        "reports: a stopping node answers pipelined requests",
        "gypsumlock/mesh/server_connection.py",
        "is_last = self._server.closing and not self._pipelined",
        "is_last = self._server.closing",
        f"{_LEAVING}.test_pipelined_requests_are_answered_after_a_stop",
    ),
    Mutation(
        "reports: a departure is acknowledged once the store holds it",
        "gypsumlock/platform/endpoints.py",
        "if await published.wait_for_departure(departure, DEPARTURE_ACK_TIMEOUT_S):",
        "if True:",
        f"{_DEPARTURE}.test_departure_is_not_acknowledged_while_the_store_is_down",
    ),
    Mutation(
        "reports: a process publishes the departures that it has restored",
        "gypsumlock/mesh/record_publisher.py",
        "departures=state.registry.departures(),",
        "",
        f"{_DEPARTURE}.test_departure_outlives_several_restarts",
    ),
    Mutation(
        "reports: a departure of an unknown upstream is stored",
        "gypsumlock/mesh/record_publisher.py",
        "if published is not None or desired.instance or desired.departures:",
        "if published is not None or desired.instance:",
        f"{_DEPARTURE}.test_departure_before_the_first_row_is_stored",
    ),
    Mutation(
        "reports: a late write of a stopped process does not take effect for good",
        "gypsumlock/mesh/record_publisher.py",
        "if row is not None and row.row_version > self._row_version:",
        "if False:",
        "tests.test_departure_ack.TestRowOfAnEarlierProcess."
        "test_late_write_does_not_take_the_upstream_out_of_use",
    ),
    Mutation(
        "reports: a process keeps what an earlier one knew of a silent upstream",
        "gypsumlock/mesh/record_publisher.py",
        "return self._with_previous_upstream(record)",
        "return record",
        "tests.test_departure_ack.TestRowOfAnEarlierProcess."
        "test_silent_upstream_stays_known",
    ),
    Mutation(
        "reports: a late heartbeat brings no departed upstream back after a restart",
        "gypsumlock/mesh/upstream_registry.py",
        "            self.current = replace(current, leaving=True)\n\n    def assume",
        "            pass\n\n    def assume",
        f"{_DEPARTURE}.test_departure_is_acknowledged_once_it_is_stored",
    ),
    Mutation(
        "reports: an unrepeatable call is not given up on a paused node",
        "gypsumlock/mesh/peer_connection.py",
        "        if not protocol.pending:\n            protocol.abort()\n"
        "            return\n",
        "        protocol.abort()\n        return\n",
        f"{_SILENCE}.test_unrepeatable_call_waits_for_a_paused_node",
    ),
    Mutation(
        "mesh: retries are charged for the nested calls of repeated runs",
        "gypsumlock/mesh/retry_budget.py",
        "NESTED_CALLS_PER_RETRY = 1.0",
        "NESTED_CALLS_PER_RETRY = 0.0",
        "tests.test_mesh_decisions.TestRetryBudget."
        "test_nested_calls_of_repeated_runs_stay_within_the_limit",
    ),
    Mutation(
        "mesh: a starting node calls the store few times",
        "gypsumlock/mesh/record_watcher.py",
        "UNFOLLOWED_RECORD_DELAY_S = 1.5",
        "UNFOLLOWED_RECORD_DELAY_S = 0.5",
        "tests.test_mesh_feed.TestColdStart",
    ),
    Mutation(
        "reports: a body that a node can't hold is refused at its head",
        "gypsumlock/mesh/request_reader.py",
        "if length.isdigit() and not self._has_room(int(length)):",
        "if False:",
        f"{_HELD}.TestLargeRequests.test_body_beyond_the_memory_is_refused_at_its_head",
    ),
    Mutation(
        "reports: bodies of clients are limited together",
        "gypsumlock/mesh/request_reader.py",
        "elif not self._budget.reserve(len(body)):",
        "elif self._budget.hold(len(body)) is not None:",
        f"{_HELD}.TestLargeRequests."
        "test_body_of_unknown_length_is_refused_once_it_is_too_large",
    ),
    Mutation(
        "reports: answers that wait for the link are counted",
        "gypsumlock/mesh/inbound_connection.py",
        "            body_bytes = len(outcome.body)\n",
        "            body_bytes = 0\n",
        f"{_HELD}.TestWaitingAnswers.test_answers_that_wait_for_the_link_are_bounded",
    ),
    Mutation(
        "reports: answers that a client does not read are counted",
        "gypsumlock/mesh/server_connection.py",
        "self._unsent.pause(self._transport)",
        "pass",
        f"{_HELD}.TestWaitingAnswers."
        "test_answers_that_a_client_does_not_read_are_bounded",
    ),
    Mutation(
        "reports: a call that is cancelled before it has begun is not in flight",
        "gypsumlock/mesh/inbound_connection.py",
        "task.add_done_callback(lambda _: self._end_call(request))",
        "pass",
        f"{_HELD}.TestInboundConnection.test_call_cancelled_at_once_is_not_in_flight",
    ),
    Mutation(
        "reports: a row that another program has overwritten is written again",
        "gypsumlock/mesh/record_watcher.py",
        "record = decode_record(row) or self._without_upstream(row)",
        "record = decode_record(row)",
        f"{_FIELDS}.TestOddRows.test_overwritten_row_is_written_again",
    ),
    Mutation(
        "reports: a row with the address of a live node does not hide it",
        "gypsumlock/mesh/record_publisher.py",
        "return desired != published or self._is_hidden()",
        "return desired != published",
        f"{_FIELDS}.TestOddRows.test_address_of_a_live_node_under_another_name",
    ),
    Mutation(
        "reports: a heartbeat of an unknown service is rejected",
        "gypsumlock/platform/endpoints.py",
        "if not self._state.is_known_service(heartbeat.service):",
        "if False:",
        f"{_DEPARTURE}.test_heartbeat_of_an_unknown_service_is_rejected",
    ),
    Mutation(
        "reports: calls of a short grace period end in its last sixth only",
        "gypsumlock/mesh/state.py",
        "MAX_END_MARGIN_SHARE = 0.15",
        "MAX_END_MARGIN_SHARE = 0.3",
        f"{_STOP}.test_calls_from_before_the_stop_get_an_answer",
    ),
    Mutation(
        "reports: what is kept by a name from outside is bounded",
        "gypsumlock/mesh/recent_table.py",
        "if len(values) > self._max_names:",
        "if False:",
        "tests.test_names_from_outside.TestTablesByRoute.test_retry_budgets",
    ),
    Mutation(
        "reports: latencies of seldom called routes are bounded",
        "gypsumlock/metrics/metrics.py",
        "elif len(self._single_values_us) > MAX_SINGLE_LABELS:",
        "elif False:",
        "tests.test_names_from_outside.TestTablesByRoute.test_latencies",
    ),
    Mutation(
        "platform: one silent connection to the store tells of the others",
        "gypsumlock/platform/store_client.py",
        "            self._pool.clear()\n            detail",
        "            detail",
        "tests.test_platform_adapter.TestSilentConnections."
        "test_one_silent_connection_tells_of_the_others",
    ),
    Mutation(
        "reports: a departure that is not applied is not acknowledged",
        "gypsumlock/platform/endpoints.py",
        "if heartbeat.leaving and registry.departure_of(instance) is None:",
        "if False:",
        f"{_DEPARTURE}.test_draining_that_is_not_applied_is_not_acknowledged",
    ),
    Mutation(
        "platform: a reload signal during the start ends no process",
        "gypsumlock/platform/__main__.py",
        "signal.signal(signal.SIGHUP, signal.SIG_IGN)",
        "pass",
        "tests.test_platform_process.TestPlatformProcess."
        "test_reload_signal_during_the_start_is_no_end",
    ),
)
