"""How long ago a node last knew that no newer configuration version existed.

Designed for the removal of API keys where a cut-off node must stop serving them: a node
that is paused, cut off from the store, or follows a reader that is cut off itself. The
classes read no clock; times are those of a clock that goes on during a suspension.

What was received before a pause of the process is handled after it. A message
therefore counts as sent no later than the time by which it was due.
"""

from __future__ import annotations

import math
from typing import Final

__all__ = ["ConfigContact", "HeartbeatTimes"]

# Time after which the next heartbeat of a source is expected at the latest, in seconds:
# two intervals, and a margin for a busy sender.
MAX_HEARTBEAT_STEP_S: Final = 1.0
# Largest age that a message carries, in seconds.
MAX_AGE_S: Final = 1e9


class ConfigContact:
    """Time of the last contact with a source of configuration versions."""

    __slots__ = ("_at_s",)

    def __init__(self) -> None:
        self._at_s = -math.inf

    def confirm(self, at_s: float) -> None:
        """Record that no newer version existed at a time."""
        self._at_s = max(self._at_s, at_s)

    def age_s(self, now_s: float) -> float:
        """Return the time since the last contact, in seconds."""
        return min(MAX_AGE_S, max(0.0, now_s - self._at_s))


class HeartbeatTimes:
    """Times at which the heartbeats of one source were sent, at the latest.

    Parameters
    ----------
    asked_at_s : float
        Time of the request that the first heartbeat answers.
    """

    __slots__ = ("_sent_at_s",)

    def __init__(self, asked_at_s: float) -> None:
        self._sent_at_s = asked_at_s

    def next(self, now_s: float) -> float:
        """Return the time at which the heartbeat that is handled now was sent."""
        self._sent_at_s = min(now_s, self._sent_at_s + MAX_HEARTBEAT_STEP_S)
        return self._sent_at_s
