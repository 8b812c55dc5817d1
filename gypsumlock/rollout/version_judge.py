"""Judges the version of one service repeatedly, at a bounded cost.

Designed for a conductor on a machine with 0.43 cores: a judgement of 58 upstreams with
30 routes each takes some 20 ms, most of it for the established version, whose rates
change slowly.
"""

from __future__ import annotations

from collections.abc import Collection

from gypsumlock.mesh.model import RolloutEntry, RolloutPhase
from gypsumlock.rollout.evidence import Evidence
from gypsumlock.rollout.judgement import Baseline, Judgement, judge

__all__ = ["VersionJudge"]

# Time for which a judgement, and the rates of the established version, are used again,
# in seconds.
JUDGEMENT_LIFETIME_S = 0.25
BASELINE_LIFETIME_S = 1.0


class VersionJudge:
    """The evidence of one roll-out, and what follows from it."""

    __slots__ = ("_base", "_base_at_s", "_judged", "_judged_at_s", "evidence")

    def __init__(self) -> None:
        self.evidence = Evidence()
        self._base: Baseline | None = None
        self._base_at_s = float("-inf")
        # Last judgement, and the entry that it was for.
        self._judged: tuple[RolloutEntry, Judgement] | None = None
        self._judged_at_s = float("-inf")

    def judge(
        self, entry: RolloutEntry, serving: Collection[str], now_s: float
    ) -> Judgement:
        """Return a judgement that is at most a moment old.

        Parameters
        ----------
        entry : RolloutEntry
            Entry of the roll-out.
        serving : Collection[str]
            Instances of the candidate's serving upstreams.
        now_s : float
            Monotonic time.
        """
        judged = self._judged
        if (
            judged is not None
            and judged[0] == entry
            and now_s < self._judged_at_s + JUDGEMENT_LIFETIME_S
        ):
            return judged[1]
        if self._base is None or now_s >= self._base_at_s + BASELINE_LIFETIME_S:
            self._base = Baseline(self.evidence, entry.established)
            self._base_at_s = now_s
        judgement = judge(
            self.evidence,
            entry.candidate,
            self._base,
            serving,
            entry.suspects,
            now_s,
            entry.phase is RolloutPhase.FINISHING,
        )
        self._judged, self._judged_at_s = (entry, judgement), now_s
        return judgement
