"""Identifies the local upstream by a health check after a node has started.

A restarted node knows nothing of the upstream until the next heartbeat. One health
check closes that gap: after many nodes have died at once, calls can be forwarded as
soon as the nodes run again.
"""

from __future__ import annotations

import anyio

from gypsumlock.http_headers import find_header
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.field_types import is_identifier
from gypsumlock.mesh.model import UpstreamRecord
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.upstream_pool import UpstreamPool
from gypsumlock.mesh.upstream_registry import UpstreamIncarnation
from gypsumlock.mesh.upstream_response import (
    ConnectFailed,
    ExchangeFailed,
    UpstreamResponse,
)

__all__ = ["probe_upstream"]

log = get_logger(Component.UPSTREAM)

PROBE_TIMEOUT_S = 1.0
# Health checks sent until the upstream gives a usable response.
PROBE_ATTEMPTS = 5
PROBE_RETRY_DELAY_S = 0.2
STATUS_OK = 200


async def probe_upstream(
    state: MeshState, previous_record: UpstreamRecord | None
) -> bool:
    """Ask the upstream for its identity; return whether it was registered.

    Parameters
    ----------
    state : MeshState
        Shared state of the node, with a route table in force.
    previous_record : UpstreamRecord | None
        Last record that an earlier process of this node published. It has the number
        of slots, which an upstream reports only in its heartbeats.
    """
    if previous_record is None or not previous_record.instance:
        return False
    for _ in range(PROBE_ATTEMPTS):
        if state.registry.current is not None:
            return False
        response = await _check_health(state)
        if response is not None and response.status == STATUS_OK:
            return _register_upstream(state, previous_record, response)
        await anyio.sleep(PROBE_RETRY_DELAY_S)
    return False


async def _check_health(state: MeshState) -> UpstreamResponse | None:
    service = state.route_table.service(state.service) if state.route_table else None
    if service is None:
        return None
    pool = UpstreamPool(state.addresses.upstream, state.header_names.request_id)
    request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
        service.health_path.encode(),
        state.addresses.upstream.encode(),
    )
    try:
        connection = await pool.open()
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                return await connection.exchange(b"GET", b"", request)
        finally:
            connection.close()
    except (ConnectFailed, ExchangeFailed) as error:
        log.info("health check failed", reason=str(error))
        return None
    log.info("health check timed out", timeout_s=PROBE_TIMEOUT_S)
    return None


def _register_upstream(
    state: MeshState, previous_record: UpstreamRecord, response: UpstreamResponse
) -> bool:
    instance_id = find_header(response.headers, state.header_names.instance_id)
    if instance_id is None:
        return False
    instance = instance_id.decode("latin-1")
    if not is_identifier(instance):
        log.warning("health check ignored", reason=f"instance {instance[:40]!r}")
        return False
    # A heartbeat tells more than a health check; any heartbeat replaces these values.
    is_same = instance == previous_record.instance
    born_ms = previous_record.born_ms if is_same else 0
    incarnation = UpstreamIncarnation(
        instance=instance,
        service=state.service,
        slots=previous_record.slots,
        born_ms=born_ms,
        sequence=-1,
        leaving=False,
        version=previous_record.version if is_same else "",
    )
    registered = state.registry.assume(incarnation)
    if registered:
        log.info(
            "upstream recognised",
            instance=incarnation.instance,
            slots=incarnation.slots,
        )
    return registered
