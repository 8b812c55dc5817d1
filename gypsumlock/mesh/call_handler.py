"""Interface for running the calls that arrive from other nodes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from gypsumlock.mesh.model import CallOutcome, CallRequest
from gypsumlock.mesh.request_body import BodyReceiver

__all__ = ["CallHandler"]


class CallHandler(ABC):
    """Runs calls from other nodes."""

    @abstractmethod
    async def run_call(
        self, request: CallRequest, receive_body: BodyReceiver | None = None
    ) -> CallOutcome:
        """Run a call and return its outcome; cancelled when the caller cancels it.

        Parameters
        ----------
        request : CallRequest
            The call.
        receive_body : BodyReceiver | None
            Called once the call is accepted; None if the request has its body.
        """

    @abstractmethod
    def withdraw(self, request: CallRequest) -> bool:
        """Refuse a call if it is still waiting for a slot; return whether it was."""
