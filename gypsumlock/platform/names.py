"""Request paths, header names and table names of the platform's protocols."""

from __future__ import annotations

from gypsumlock.mesh.model import HeaderNames

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TABLE",
    "DEREGISTER_PATH_PREFIX",
    "HEADER_NAMES",
    "HEARTBEAT_PATH_PREFIX",
    "METRICS_PATH",
    "ORDER_TABLE",
    "READY_PATH",
    "ROLLOUT_KEY_PREFIX",
    "STATUS_TABLE",
    "STORE_ERA_HEADER",
]

READY_PATH = b"/-/readyz"
# Served on the readiness listener, as the settings name no address for metrics.
METRICS_PATH = b"/metrics"
# Followed by the identifier of the upstream instance.
HEARTBEAT_PATH_PREFIX = b"/-/Instances.Heartbeat/"
DEREGISTER_PATH_PREFIX = b"/-/Instances.Deregister/"

# Table and key of the row that holds the operator's newest configuration.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
# The operator's orders for roll-outs are in the same table, and their status in another
# one; the prefix is followed by the name of the service.
ORDER_TABLE = CONFIG_TABLE
STATUS_TABLE = "status"
ROLLOUT_KEY_PREFIX = "rollout/"

# In all answers of the store: how often it has come back from a copy.
STORE_ERA_HEADER = b"store-era"

HEADER_NAMES = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    target_instance=b"target-instance",
    caller_service=b"caller-service",
    not_executed=b"not-executed",
    instance_id=b"instance-id",
    signature=b"server-seal",
    authorization=b"authorization",
    organisation=b"tenant",
)
