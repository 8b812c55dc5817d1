"""Charges calls of clients to the quotas of their organisations.

A client attempt is charged once, however often the system retries it. The charge is
refunded if nothing of the call was sent to an upstream.
"""

from __future__ import annotations

from gypsumlock.mesh.call_classifier import Call
from gypsumlock.mesh.state import MeshState
from gypsumlock.quota.account import QuotaRefusal
from gypsumlock.quota.client import QuotaClient

__all__ = ["CallCharger"]


class CallCharger:
    """Charges and refunds the calls of one node's clients.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    client : QuotaClient
        Obtains the tokens.
    """

    __slots__ = ("_client", "_state")

    def __init__(self, state: MeshState, client: QuotaClient) -> None:
        self._state = state
        self._client = client

    def has_quota(self, call: Call) -> bool:
        """Return whether a call has to be charged."""
        organisation = call.organisation
        return (
            organisation is not None
            and organisation.rate_per_s > 0
            and self._state.bounds.quota is not None
        )

    async def charge(self, call: Call) -> bool:
        """Charge a call that has a quota; return False if it must be refused."""
        bounds = self._state.bounds.quota
        if call.organisation is None or bounds is None:
            return True
        result = await self._client.charge(call.organisation, bounds)
        if isinstance(result, QuotaRefusal):
            call.refusal_code = result.code
            call.retry_after_s = result.retry_after_s
            return False
        call.charge = result
        return True

    def refund(self, call: Call) -> None:
        """Refund the charge of a refused call, unless an upstream may have got it."""
        if call.charge is None or call.organisation is None or call.sent_to:
            return
        self._client.refund(call.organisation, call.charge)
        call.charge = None
