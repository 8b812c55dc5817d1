"""Finds the established version of a service without a roll-out.

Designed for upstreams that come one by one, and for ordinary replacements: a version
is recorded once it has been that of most upstreams for a while, and replaced only if
none of its upstreams has served for as long.
"""

from __future__ import annotations

from gypsumlock.mesh.model import RolloutEntry
from gypsumlock.rollout.version_table import ServiceVersions, settled_version

__all__ = ["MajorityTracker"]

# Time for which a majority has to last, in seconds.
SETTLE_S = 3.0


class MajorityTracker:
    """Versions that could become the established ones."""

    __slots__ = ("_unsettled",)

    def __init__(self) -> None:
        # Version by service, and since when it has been that of the majority.
        self._unsettled: dict[str, tuple[str, float]] = {}

    def version_to_record(
        self,
        service: str,
        entry: RolloutEntry | None,
        versions: ServiceVersions,
        now_s: float,
    ) -> str | None:
        """Return the version to record as established, or None to leave it.

        Parameters
        ----------
        service : str
            The service, which has no roll-out now.
        entry : RolloutEntry | None
            Its entry.
        versions : ServiceVersions
            Its upstreams.
        now_s : float
            Monotonic time.
        """
        if not versions.serving:
            return None
        if entry is not None and settled_version(entry) in versions.serving:
            self._unsettled.pop(service, None)
            return None
        version = versions.majority()
        known = self._unsettled.get(service)
        if known is None or known[0] != version:
            self._unsettled[service] = (version, now_s)
            return None
        if now_s < known[1] + SETTLE_S:
            return None
        del self._unsettled[service]
        return version
