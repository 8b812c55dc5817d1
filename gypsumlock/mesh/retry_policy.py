"""Decides whether a call may be sent to another upstream after it was sent to one.

A call that may have been executed is sent again only if its route permits that. Each
retry is charged to the budget of its service.
"""

from __future__ import annotations

import asyncio

from gypsumlock.mesh.call_classifier import Call
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.model import Answer, CallOutcome, Refusal
from gypsumlock.mesh.retry_budget import RetryBudgets
from gypsumlock.mesh.state import MeshState
from gypsumlock.metrics import Metrics

__all__ = ["RetryPolicy", "is_success"]

SERVER_ERROR = 500


def is_success(outcome: CallOutcome) -> bool:
    """Return whether an outcome is an answer without a server error."""
    return isinstance(outcome, Answer) and outcome.status < SERVER_ERROR


class RetryPolicy:
    """Permits and charges the retries of one node.

    Parameters
    ----------
    state : MeshState
        Shared state of the node, with the bounds on retries.
    directory : UpstreamDirectory
        Upstreams that a call may be sent to.
    metrics : Metrics
        Counts the retries that the budget does not allow.
    """

    __slots__ = ("_budgets", "_directory", "_loop", "_metrics", "_state")

    def __init__(
        self, state: MeshState, directory: UpstreamDirectory, metrics: Metrics
    ) -> None:
        self._state = state
        self._directory = directory
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._budgets = RetryBudgets(state.bounds.retry_window_s)

    def record_first_attempt(self, call: Call) -> None:
        """Record that a call was sent to its first upstream, or may have been."""
        self._budgets.record_first_attempt(
            call.service, call.route.name, self._loop.time()
        )

    def record_result(self, call: Call, outcome: CallOutcome) -> None:
        """Record the outcome of a retry."""
        self._budgets.yields.record_result(call.service, is_success(outcome))

    def may_retry(self, call: Call, outcome: CallOutcome | None) -> bool:
        """Return whether a call may be sent again.

        Parameters
        ----------
        call : Call
            The call.
        outcome : CallOutcome | None
            Its last outcome; None if no owner took the call.
        """
        if outcome is None:
            return False
        may_have_run = not isinstance(outcome, Refusal)
        if may_have_run and not call.route.repeatable:
            return False
        return self._has_untried_upstream(call, call.sent_to)

    def _has_untried_upstream(self, call: Call, tried: set[str]) -> bool:
        """Return whether the call may be sent to one more upstream."""
        if len(tried) >= call.route.max_attempts:
            return False
        views = self._directory.views(call.service)
        return any(
            view.node not in tried and not view.ejected
            for view in self._state.versions.usable(call.service, views)
        )

    def charge(self, call: Call) -> bool:
        """Charge a retry to the budget, unless it has been charged already.

        Return False if the budget is empty.
        """
        if call.retry_charged:
            return True
        bounds = self._state.bounds
        own_allowance = bounds.retry_allowance / max(1, self._directory.upstream_count)
        if not self._budgets.try_spend(
            call.service,
            call.route.name,
            self._loop.time(),
            bounds.retry_ratio,
            own_allowance,
        ):
            self._metrics.increment("retry.budget_empty")
            return False
        call.retry_charged = True
        return True

    def may_fail_over(self, call: Call, unresponsive: str) -> bool:
        """Return whether to retry a call instead of waiting for an unresponsive node.

        If so, the retry is charged to the budget. A call that can't be retried keeps
        waiting: its response may still arrive, and would only be lost otherwise.
        """
        if not call.route.repeatable:
            return False
        tried = call.sent_to | {unresponsive}
        return self._has_untried_upstream(call, tried) and self.charge(call)
