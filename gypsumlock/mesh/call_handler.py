"""Interface for running the calls that arrive from other nodes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from gypsumlock.mesh.model import CallOutcome, CallRequest

__all__ = ["CallHandler"]


class CallHandler(ABC):
    """Runs calls from other nodes."""

    @abstractmethod
    async def run_call(self, request: CallRequest) -> CallOutcome:
        """Run a call and return its outcome; cancelled when the caller cancels it."""

    @abstractmethod
    def withdraw(self, request: CallRequest) -> bool:
        """Refuse a call if it is still waiting for a slot; return whether it was."""
