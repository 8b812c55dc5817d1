"""Mutations of leases and quotas; see `misc.mutations`."""

from __future__ import annotations

from misc.mutation import Mutation

__all__ = ["QUOTA_MUTATIONS"]

_FAILURES = "tests.test_quota_failures.TestFailures"
_PARTS = "tests.test_quota_failures.TestParts"

QUOTA_MUTATIONS = (
    Mutation(
        "quota: a lease is taken over only once it was unchanged for its duration",
        "gypsumlock/leases/lease_state.py",
        "return now_s >= self._seen_at_s + row.duration_s + MARGIN_S",
        "return True",
        "tests.test_leases.TestExclusion.test_one_holder_and_growing_tokens",
    ),
    Mutation(
        "quota: a paused holder of a lease stops by itself",
        "gypsumlock/leases/lease_state.py",
        "return self._token if now_s < self._held_until_s else None",
        "return self._token",
        "tests.test_leases.TestTakeover.test_paused_holder_stops_by_itself",
    ),
    Mutation(
        "quota: a holder counts the duration from the start of its write",
        "gypsumlock/leases/lease_state.py",
        "self._held_until_s = pending.started_at_s + usable_s",
        "self._held_until_s = now_s + usable_s",
        "tests.test_leases.TestTakeover.test_paused_holder_stops_by_itself",
    ),
    Mutation(
        "quota: tokens are not spent after they have expired",
        "gypsumlock/quota/balance.py",
        "if lot.count and lot.expires_at_s > now_s:\n                lot",
        "if lot.count:\n                lot",
        f"{_PARTS}.test_expired_token_is_not_spent_but_returned",
    ),
    Mutation(
        "quota: the lifetime of tokens counts from the request",
        "gypsumlock/quota/requests.py",
        "expires_at_s=pending.asked_at_s + lifetime_s",
        "expires_at_s=now_s + lifetime_s",
        f"{_FAILURES}.test_grant_that_arrives_late_is_not_used",
    ),
    Mutation(
        "quota: a new holder starts with empty buckets",
        "gypsumlock/quota/bucket.py",
        "        self._level = 0.0\n",
        "        self._level = limit.capacity\n",
        f"{_PARTS}.test_new_holder_starts_with_empty_buckets",
    ),
    Mutation(
        "quota: returned tokens never raise what a bucket gives out",
        "gypsumlock/quota/bucket.py",
        "accepted = max(0.0, min(float(count), self._limit.capacity - peak))",
        "accepted = float(count)",
        "tests.test_quota_bound.TestReturnedTokens",
    ),
    Mutation(
        "quota: grants with an old fencing token are ignored",
        "gypsumlock/quota/slots.py",
        "if token < self._token and now_s - self._token_at_s < TOKEN_PERIOD_S:",
        "if False:",
        f"{_PARTS}.test_grants_with_an_old_token_are_ignored",
    ),
    Mutation(
        "quota: another part is asked when one does not answer",
        "gypsumlock/quota/requests.py",
        "                self._end(pending, now_s)\n"
        "                pending.is_late = True\n",
        "",
        f"{_FAILURES}.test_granting_node_killed",
    ),
    Mutation(
        "quota: the charge of a call that was not run is refunded",
        "gypsumlock/mesh/caller.py",
        "            self.charger.refund(call)\n",
        "            pass\n",
        "tests.test_quota_calls.TestStatuses.test_refused_call_is_refunded",
    ),
)
