"""What runs the calls that other nodes send."""

from __future__ import annotations

from abc import ABC, abstractmethod

from gypsumlock.mesh.model import CallOutcome, CallRequest

__all__ = ["CallHandler"]


class CallHandler(ABC):
    """Runs calls that other nodes send."""

    @abstractmethod
    async def run_call(self, request: CallRequest) -> CallOutcome:
        """Carry a call to its outcome; cancelled when its caller gives it up."""

    @abstractmethod
    def withdraw(self, request: CallRequest) -> None:
        """Refuse a call if it still waits for a slot."""
