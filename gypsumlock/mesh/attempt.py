"""One attempt of a call, and whether it can have run.

Designed for calls whose time ends while an owner still queues them, or while the
connection to it is being opened: they are refused as not run instead of being reported
as unknown. An attempt counts as run from the moment it is handed to its owner, until
the owner itself states that it has not sent the call and never will.
"""

from __future__ import annotations

from gypsumlock.mesh.model import CallRequest
from gypsumlock.mesh.request_body import OutgoingBody

__all__ = ["Attempt"]


class Attempt:
    """One attempt of a call at the owner of an upstream.

    Parameters
    ----------
    node : str
        Node of the owner.
    request : CallRequest
        The call as the owner receives it.
    """

    __slots__ = ("is_refused", "is_with_owner", "node", "outgoing_body", "request")

    def __init__(self, node: str, request: CallRequest) -> None:
        self.node = node
        self.request = request
        # A body that is sent separately; the call can't run without all of it.
        self.outgoing_body: OutgoingBody | None = None
        # True once the owner may have received the call.
        self.is_with_owner = False
        # True once the owner has stated that the call did not run and never will.
        self.is_refused = False

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have received the call."""
        body = self.outgoing_body
        is_complete = body is None or body.is_sent
        return self.is_with_owner and is_complete and not self.is_refused
