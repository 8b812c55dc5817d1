"""Asks the upstream beside a node that has just started who it is.

A node that restarts knows nothing of the upstream until its next heartbeat. One
health check closes that gap: after a herd of nodes has died, calls can be carried
as soon as the nodes are back.
"""

from __future__ import annotations

import anyio

from gypsumlock.http_headers import find_header
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_connection import (
    ConnectFailed,
    ExchangeFailed,
    UpstreamAnswer,
)
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.mesh.upstream_registry import UpstreamIncarnation

__all__ = ["probe_upstream"]

log = get_logger(Component.UPSTREAM)

# Time for which a health check is waited for, in seconds.
PROBE_TIMEOUT_S = 1.0
# Health checks sent to an upstream that gives no usable answer.
PROBE_ATTEMPTS = 5
PROBE_GAP_S = 0.2
STATUS_OK = 200


async def probe_upstream(state: MeshState, last: UpstreamRecord | None) -> bool:
    """Ask the upstream for its identity; return True if it is believed now.

    Parameters
    ----------
    state : MeshState
        The node's blackboard, with a table in force.
    last : UpstreamRecord | None
        What an earlier process at this node published. It tells the number of slots,
        which an upstream says only in its heartbeats.
    """
    if last is None or not last.instance:
        return False
    for _ in range(PROBE_ATTEMPTS):
        if state.registry.current is not None:
            return False
        answer = await _check_health(state)
        if answer is not None and answer.status == STATUS_OK:
            return _believe(state, last, answer)
        await anyio.sleep(PROBE_GAP_S)
    return False


async def _check_health(state: MeshState) -> UpstreamAnswer | None:
    service = state.table.service(state.service) if state.table else None
    if service is None:
        return None
    pool = UpstreamPool(state.addresses.upstream, state.headers.request_id)
    request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
        service.health_path.encode(),
        state.addresses.upstream.encode(),
    )
    try:
        connection = await pool.acquire(repeatable=True)
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            return await connection.exchange(b"GET", b"", request)
    except (ConnectFailed, ExchangeFailed) as error:
        log.info("health check failed", reason=str(error))
        return None
    log.info("health check not answered", timeout_s=PROBE_TIMEOUT_S)
    return None


def _believe(state: MeshState, last: UpstreamRecord, answer: UpstreamAnswer) -> bool:
    name = find_header(answer.headers, state.headers.instance_id)
    if name is None:
        return False
    instance = name.decode("latin-1")
    # Any heartbeat says more than a health check, and replaces what is assumed here.
    born_ms = last.born_ms if instance == last.instance else 0
    found = UpstreamIncarnation(
        instance=instance,
        service=state.service,
        slots=last.slots,
        born_ms=born_ms,
        sequence=-1,
        leaving=False,
    )
    believed = state.registry.assume(found)
    if believed:
        log.info("upstream recognised", instance=found.instance, slots=found.slots)
    return believed
