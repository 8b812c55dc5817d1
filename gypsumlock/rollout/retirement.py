"""Tells which replaced upstreams may still execute calls at the end of a roll-out.

The reports of their owners count, and the record of an owner whose reports do not
arrive. An upstream that has announced its departure still finishes its calls.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.rollout.evidence import Evidence

__all__ = ["blocking_upstreams", "is_draining", "is_silent"]

# Time after the last report of an owner in which its own record is not consulted, in
# seconds.
REPORT_LIFETIME_S = 3.0


def blocking_upstreams(
    present: Iterable[UpstreamRecord], candidate: str, evidence: Evidence, now_s: float
) -> list[UpstreamRecord]:
    """Return the upstreams of other versions that are not known to have retired.

    Parameters
    ----------
    present : Iterable[UpstreamRecord]
        Upstreams that have not departed.
    candidate : str
        The new version.
    evidence : Evidence
        What the owners have reported.
    now_s : float
        Monotonic time.
    """
    blocking = []
    for record in present:
        if record.version == candidate:
            continue
        if is_silent(evidence, record.instance, now_s):
            retired = record.retired
        else:
            retired = evidence.upstreams[record.instance].retired
        if not retired:
            blocking.append(record)
    return blocking


def is_silent(evidence: Evidence, instance: str, now_s: float) -> bool:
    """Return whether the owner of an upstream has not reported for a while."""
    upstream = evidence.upstreams.get(instance)
    return upstream is None or upstream.last_seen_s < now_s - REPORT_LIFETIME_S


def is_draining(evidence: Evidence, candidate: str, now_s: float) -> bool:
    """Return whether an owner reports calls in flight at a replaced upstream."""
    instances: Collection[str] = evidence.upstreams.keys()
    return any(
        not is_silent(evidence, instance, now_s)
        and evidence.upstreams[instance].version != candidate
        and not evidence.upstreams[instance].retired
        for instance in instances
    )
