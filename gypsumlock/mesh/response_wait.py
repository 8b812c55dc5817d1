"""Tells when to stop waiting for a response that an upstream will not send.

Designed for upstreams that, once they are full, never respond on a connection again. A
call that waits for them until its deadline is lost although another upstream would have
had time for it, and the upstream that made it as a nested call fails its own caller.

A call is given up only where silences have been seen recently, only after it has taken
clearly longer than all answered calls of its route, and only while there is time for
another attempt. A slow upstream that answers every call is waited for.
"""

from __future__ import annotations

import math

from gypsumlock.mesh.recent_table import RecentTable

__all__ = ["ResponseWaits"]

# Time constant with which silences and long answers are forgotten, in seconds.
MEMORY_S = 30.0
# Recent silences without which no call is given up; older ones count less. A single one
# may be a pause of the whole machine.
MIN_SILENCES = 1.5
# A call without a response counts as a silence after this many expected service times.
SILENCE_SERVICE_TIMES = 4.0
# A call is given up after this many times the longest answered call of its route took.
LONGEST_FACTOR = 1.5
# Shortest wait before a call is given up, in seconds. Pauses of the upstream's machine
# are shorter.
MIN_WAIT_S = 0.1


class ResponseWaits:
    """Time for which responses of one upstream are waited for."""

    __slots__ = ("_longest", "_silences", "_silent_at_s")

    def __init__(self) -> None:
        # By route: duration of the longest answered call, and when it ended.
        self._longest: RecentTable[str, tuple[float, float]] = RecentTable()
        self._silences = 0.0
        self._silent_at_s = 0.0

    def record_answer(self, route: str, took_s: float, now_s: float) -> None:
        """Record how long an answered call took."""
        if took_s >= self._longest_s(route, now_s):
            self._longest[route] = (took_s, now_s)

    def record_no_answer(self, expected_s: float, took_s: float, now_s: float) -> None:
        """Record a call that got no answer within a time, in seconds."""
        if took_s < max(MIN_WAIT_S, SILENCE_SERVICE_TIMES * expected_s):
            return
        self._silences = 1 + self._recent_silences(now_s)
        self._silent_at_s = now_s

    def wait_s(
        self, route: str, expected_s: float, left_s: float, now_s: float
    ) -> float:
        """Return the time after which a repeatable call is given up, in seconds.

        It is infinite for a call that is waited for until its deadline.

        Parameters
        ----------
        route : str
            Name of the route.
        expected_s : float
            Expected service time.
        left_s : float
            Time until the deadline.
        now_s : float
            Monotonic time.
        """
        if self._recent_silences(now_s) < MIN_SILENCES:
            return math.inf
        wait_s = max(
            MIN_WAIT_S,
            SILENCE_SERVICE_TIMES * expected_s,
            LONGEST_FACTOR * self._longest_s(route, now_s),
        )
        next_attempt_s = SILENCE_SERVICE_TIMES * expected_s
        return wait_s if wait_s + next_attempt_s < left_s else math.inf

    def _recent_silences(self, now_s: float) -> float:
        return self._silences * math.exp((self._silent_at_s - now_s) / MEMORY_S)

    def _longest_s(self, route: str, now_s: float) -> float:
        took_s, at_s = self._longest.get(route, (0.0, now_s))
        return took_s * math.exp((at_s - now_s) / MEMORY_S)
