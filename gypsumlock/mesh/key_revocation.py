"""Ends the waiting calls of API keys that a new configuration version has removed.

Phases:
1. A version comes into force: calls whose key it lacks, and that wait for a slot, are
   withdrawn from their owners' queues.
2. Such a call is sent to no further upstream. If it was sent to none, it is answered
   401. On a public route it goes on without an organisation.

A call that an upstream has received goes on to its end.
"""

from __future__ import annotations

from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.attempt import Attempt
from gypsumlock.mesh.call_classifier import Call
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.state import MeshState
from gypsumlock.organisations import mark_headers
from gypsumlock.result_codes import ResultCode

__all__ = ["KeyRevocation"]

log = get_logger(Component.ROUTE)


class KeyRevocation:
    """Attempts with API keys that are in progress at this node's dispatcher.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    directory : UpstreamDirectory
        Upstreams and the connections to their owners.
    """

    __slots__ = ("_attempts", "_directory", "_state")

    def __init__(self, state: MeshState, directory: UpstreamDirectory) -> None:
        self._state = state
        self._directory = directory
        self._attempts: dict[Attempt, Call] = {}
        state.route_table_listeners.append(self._withdraw_revoked_calls)

    def begin(self, call: Call, attempt: Attempt) -> None:
        """Record an attempt that begins."""
        if call.key_digest:
            self._attempts[attempt] = call

    def end(self, attempt: Attempt) -> None:
        """Forget an attempt that has ended."""
        self._attempts.pop(attempt, None)

    def may_send(self, call: Call) -> bool:
        """Return whether a call may be offered to an owner.

        A call on a public route loses its organisation together with its key.
        """
        if call.key_digest and self._state.is_config_outdated():
            return False
        if not self._is_revoked(call):
            return True
        if not call.route.public:
            return False
        call.organisation = None
        call.key_digest = b""
        call.headers = mark_headers(call.headers, self._state.header_names, None)
        return True

    def refusal_code(self, call: Call) -> ResultCode:
        """Return the code with which a call that was not executed is answered."""
        if call.sent_to:
            return call.refusal_code
        if call.key_digest and self._state.is_config_outdated():
            return ResultCode.CALL_CONFIG_OUTDATED
        if call.route.public or not self._is_revoked(call):
            return call.refusal_code
        return ResultCode.CALL_UNKNOWN_KEY

    def _is_revoked(self, call: Call) -> bool:
        """Return whether the configuration in force no longer has a call's key."""
        table = self._state.route_table
        return (
            bool(call.key_digest)
            and table is not None
            and table.requires_keys
            and table.find_organisation(call.key_digest) is None
        )

    def _withdraw_revoked_calls(self) -> None:
        revoked = [
            attempt
            for attempt, call in self._attempts.items()
            if self._is_revoked(call)
        ]
        for attempt in revoked:
            self._directory.withdraw(attempt)
        if revoked:
            log.info("calls of removed keys withdrawn", calls=len(revoked))
