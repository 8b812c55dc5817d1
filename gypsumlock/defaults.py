"""Constants of a node: default values of options, and fixed parameters and limits.

A value that an operator can change is the default of a field of `gypsumlock.options`
or of the fleet-wide defaults in `gypsumlock.model`. The fixed limits bound what the
process accepts from outside.
"""

from __future__ import annotations

from typing import Final

# --- Heartbeats and membership ---
EXCHANGE_INTERVAL_S: Final = 2.0
EXCHANGE_TIMEOUT_S: Final = 0.8
SUSPECT_TIMEOUT_S: Final = 1.5
FORGET_DEAD_AFTER_S: Final = 600.0
NEIGHBOURS: Final = 5
NEIGHBOURS_PER_ZONE: Final = 2
INDIRECT_PROBES: Final = 2
PUSH_DELAY_S: Final = 0.01
SYNC_BUCKETS: Final = 32
MEMBERS_PER_EXCHANGE: Final = 256
SURVEY_FANOUT: Final = 16
SURVEY_TIMEOUT_S: Final = 1.0

# --- Announcements of upstreams ---
ANNOUNCE_SILENCE_S: Final = 3.0

# --- Confirmation of a version before it takes effect ---
# A version needs confirmations from HOLD_CONFIRMATIONS of the NEIGHBOURS; a node that
# restarts without access to the configuration source needs answers from
# RECOVERY_ANSWERS of them. Their sum exceeds NEIGHBOURS by two, so that the two quorums
# still overlap after one neighbour was replaced.
HOLD_CONFIRMATIONS: Final = 4
RECOVERY_ANSWERS: Final = 3
# First and longest interval between requests for confirmation.
FIRST_CONFIRM_INTERVAL_S: Final = 0.03
CONFIRM_INTERVAL_S: Final = 0.25

# --- Configuration source ---
FLEET_HEAD_READS_PER_S: Final = 20.0
MIN_HEAD_POLL_INTERVAL_S: Final = 1.0
PLATFORM_TIMEOUT_S: Final = 2.0
NODE_ROW_REFRESH_S: Final = 600.0
BOOTSTRAP_SAMPLE: Final = 16
ACCEPT_ATTEMPTS: Final = 8
RETRY_BASE_S: Final = 0.2
RETRY_MAX_S: Final = 5.0

# --- Detection of process pauses ---
PAUSE_CHECK_INTERVAL_S: Final = 0.25
PAUSE_LIMIT_S: Final = 2.0

# --- Calls ---
CALL_TIMEOUT_S: Final = 5.0
MAX_CALL_DEPTH: Final = 10
MAX_ATTEMPTS: Final = 3
REPLAY_BUFFER_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 1.0
POOL_IDLE_TIMEOUT_S: Final = 20.0
SERVER_KEEP_ALIVE_S: Final = 60
MAX_CONNECTIONS_PER_UPSTREAM: Final = 100
RESPONSE_BUFFER_BYTES: Final = 262_144
RETRY_BUDGET_SHARE: Final = 0.1
RETRY_BUDGET_BURST: Final = 10.0
EJECTION_FAILURES: Final = 3
EJECTION_S: Final = 5.0
MAX_EJECTED_SHARE: Final = 0.5
SLOW_START_S: Final = 10.0
SUBSET_SIZE: Final = 16

# --- Admission ---
QUEUE_PER_RANK: Final = 64
LIMIT_WINDOW_CALLS: Final = 20
LIMIT_LATENCY_TOLERANCE: Final = 2.0

# --- Graceful shutdown ---
LINGER_S: Final = 1.0
DRAIN_TIMEOUT_S: Final = 30.0

# --- Limits on external input ---
MAX_OPERATOR_BODY_BYTES: Final = 1_048_576
MAX_SNAPSHOT_BYTES: Final = 4_194_304
MAX_PLATFORM_RESPONSE_BYTES: Final = 8_388_608
MAX_HEADER_BYTES: Final = 65_536
# Time without progress after which a client's connection is closed.
CLIENT_STALL_TIMEOUT_S: Final = 60.0
# Most connections to the server for calls, and to each of the two APIs, as a share of
# the descriptors that the process may open.
CALL_CONNECTION_SHARE: Final = 0.3
API_CONNECTION_SHARE: Final = 0.05
MAX_ROUTES: Final = 5_000
MAX_EXCEPTIONS: Final = 500
MIN_SECRET_BYTES: Final = 16
