"""Registry of numbered result codes, and the fault that carries one.

Every error that leaves the process (as an exit status, in an HTTP response or in a log
line) has one of these codes. Codes are between 0 and 255, because they are also used
as process exit statuses. A code is never reused with another meaning.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["CODE_TABLE", "CodeEntry", "Fault", "ResultCode", "get_code_entry"]


class ResultCode(IntEnum):
    """Result code of each outcome that is reported to users."""

    OK = 0
    INTERNAL = 1
    USAGE = 2

    SETTINGS_UNREADABLE = 10
    SETTINGS_NOT_YAML = 11
    SETTINGS_UNKNOWN_KEY = 12
    SETTINGS_BAD_VALUE = 13
    SETTINGS_MISSING_KEY = 14
    SETTINGS_SECRET_UNREADABLE = 15
    PORT_IN_USE = 16

    CONFIG_BAD_DOCUMENT = 30
    CONFIG_UNKNOWN_SERVICE = 31
    CONFIG_UNKNOWN_RANK = 32
    CONFIG_OUT_OF_RANGE = 33
    CONFIG_DUPLICATE_NAME = 34
    CONFIG_REASON_MISSING = 35
    CONFIG_UNKNOWN_EXCEPTION = 36
    CONFIG_UNKNOWN_PATH = 37
    CONFIG_CONFLICT = 38
    CONFIG_NO_CHANGE = 39
    CONFIG_UNKNOWN_VERSION = 40
    CONFIG_UNKNOWN_SELECTOR = 41
    CONFIG_TOO_BUSY = 42
    CONFIG_DUPLICATE_KEY = 43
    CONFIG_BAD_QUOTA = 44

    PLATFORM_UNREACHABLE = 60
    PLATFORM_REFUSED = 61
    PLATFORM_BAD_ANSWER = 62
    PLATFORM_CONDITION_FAILED = 63
    PLATFORM_NOT_FOUND = 64
    PLATFORM_OUTCOME_UNKNOWN = 65
    PLATFORM_HISTORY_LOST = 66
    PLATFORM_BAD_MESSAGE = 67

    CALL_NO_ROUTE = 80
    CALL_NO_UPSTREAM = 81
    CALL_NOT_READY = 82
    CALL_OVERLOADED = 83
    CALL_LEAVING = 84
    CALL_DEADLINE = 85
    CALL_UNKNOWN_OUTCOME = 86
    CALL_UPSTREAM_UNREACHABLE = 87
    CALL_TOO_DEEP = 88
    CALL_BAD_REQUEST = 89
    CALL_ANSWER_CUT = 90
    CALL_DISABLED = 91
    CALL_UPSTREAM_REJECTED = 92
    CALL_NO_MEMORY = 93
    CALL_UNKNOWN_KEY = 94
    CALL_OVER_QUOTA = 95
    CALL_QUOTA_UNAVAILABLE = 96
    CALL_CONFIG_OUTDATED = 97

    OPERATOR_TOKEN_MISSING = 110
    OPERATOR_TOKEN_WRONG = 111
    OPERATOR_NOT_FOUND = 112
    OPERATOR_BAD_BODY = 113
    OPERATOR_BODY_TOO_LARGE = 114
    OPERATOR_UNREACHABLE = 115
    NOT_CONVERGED = 116
    LOGS_UNREADABLE = 117
    CALL_NOT_IN_LOGS = 118

    SNAPSHOT_DIGEST_MISMATCH = 130
    SNAPSHOT_UNDECODABLE = 131
    SNAPSHOT_INVALID = 132
    SNAPSHOT_UNAVAILABLE = 133
    HOLD_UNCONFIRMED = 134
    RECOVERY_PENDING = 135
    PEER_UNREACHABLE = 136
    PEER_TOKEN_WRONG = 137


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """Describes one result code for the reference table."""

    code: ResultCode
    # Status of HTTP responses with this code; 0 if there are none.
    http_status: int
    meaning: str
    action: str


@dataclass(frozen=True, slots=True)
class Fault:
    """An error with its result code, description and location.

    Attributes
    ----------
    code : ResultCode
        Result code of the error.
    detail : str
        Description of the error, in one sentence without a full stop.
    path : str
        Path of the faulty value in a document; empty if there is none.
    """

    code: ResultCode
    detail: str
    path: str = ""

    def text(self) -> str:
        """Return the fault as one human-readable line."""
        location = f"{self.path}: " if self.path else ""
        return f"[{self.code.value}] {location}{self.detail}"


def _entry(code: ResultCode, status: int, meaning: str, action: str) -> CodeEntry:
    return CodeEntry(code, status, meaning, action)


_C = ResultCode

CODE_TABLE: tuple[CodeEntry, ...] = (
    _entry(_C.OK, 200, "Success", "None"),
    _entry(
        _C.INTERNAL,
        500,
        "Internal error: a defect in gypsumlock",
        "Report it with the log",
    ),
    _entry(_C.USAGE, 0, "Invalid command line", "See `gypsumlock --help`"),
    _entry(_C.SETTINGS_UNREADABLE, 0, "Settings file can't be read", "Check the path"),
    _entry(_C.SETTINGS_NOT_YAML, 0, "Settings are not YAML", "Fix the reported line"),
    _entry(_C.SETTINGS_UNKNOWN_KEY, 0, "Unknown settings key", "Remove or rename it"),
    _entry(_C.SETTINGS_BAD_VALUE, 0, "Invalid settings value", "Use an allowed value"),
    _entry(_C.SETTINGS_MISSING_KEY, 0, "Required settings key missing", "Add the key"),
    _entry(
        _C.SETTINGS_SECRET_UNREADABLE,
        0,
        "A key or token file can't be read or is too short",
        "Check the file and its mode",
    ),
    _entry(
        _C.PORT_IN_USE, 0, "A listen address is in use", "Free or change the address"
    ),
    _entry(
        _C.CONFIG_BAD_DOCUMENT,
        400,
        "Configuration has values of wrong types",
        "Correct the values",
    ),
    _entry(
        _C.CONFIG_UNKNOWN_SERVICE,
        422,
        "A route names an unknown service",
        "Add the service first",
    ),
    _entry(_C.CONFIG_UNKNOWN_RANK, 422, "A rank is not defined", "Define the rank"),
    _entry(
        _C.CONFIG_OUT_OF_RANGE,
        422,
        "A limit is out of range",
        "Use a value in the range",
    ),
    _entry(_C.CONFIG_DUPLICATE_NAME, 422, "A name is used twice", "Rename one"),
    _entry(
        _C.CONFIG_REASON_MISSING, 422, "An exception has no reason", "Give a reason"
    ),
    _entry(
        _C.CONFIG_UNKNOWN_EXCEPTION, 404, "No such exception", "See `exception list`"
    ),
    _entry(
        _C.CONFIG_UNKNOWN_PATH, 404, "No default has this path", "See `default show`"
    ),
    _entry(
        _C.CONFIG_CONFLICT,
        409,
        "Another operator changed the same item first",
        "Review that change, then retry",
    ),
    _entry(_C.CONFIG_NO_CHANGE, 200, "The request changes nothing", "None"),
    _entry(_C.CONFIG_UNKNOWN_VERSION, 404, "No such version", "See `history`"),
    _entry(
        _C.CONFIG_UNKNOWN_SELECTOR,
        422,
        "A selector matches nothing",
        "Correct the selector",
    ),
    _entry(_C.CONFIG_TOO_BUSY, 503, "Too many concurrent changes", "Retry"),
    _entry(
        _C.CONFIG_DUPLICATE_KEY,
        422,
        "An API key belongs to two organisations",
        "Remove it from one of them",
    ),
    _entry(
        _C.CONFIG_BAD_QUOTA,
        422,
        "A quota is negative or not a number",
        "Use a number of at least 0",
    ),
    _entry(
        _C.PLATFORM_UNREACHABLE, 503, "Platform is unreachable", "Check the platform"
    ),
    _entry(
        _C.PLATFORM_REFUSED,
        502,
        "Platform rejected a request",
        "Check the platform's log",
    ),
    _entry(
        _C.PLATFORM_BAD_ANSWER,
        502,
        "Platform response can't be decoded",
        "Check the platform",
    ),
    _entry(
        _C.PLATFORM_CONDITION_FAILED,
        409,
        "A condition of a write did not hold",
        "Retry",
    ),
    _entry(_C.PLATFORM_NOT_FOUND, 404, "Row or object not found", "Check the platform"),
    _entry(
        _C.PLATFORM_OUTCOME_UNKNOWN,
        503,
        "The response to a write was lost and its outcome can't be determined yet",
        "Repeat the command with the same operation id",
    ),
    _entry(
        _C.PLATFORM_HISTORY_LOST,
        0,
        "The store no longer has the requested changes",
        "None: the whole table is read again",
    ),
    _entry(
        _C.PLATFORM_BAD_MESSAGE,
        400,
        "A message from the platform can't be decoded",
        "None: it is ignored; if it persists, find its writer",
    ),
    _entry(_C.CALL_NO_ROUTE, 404, "No route matches the call", "Add a route"),
    _entry(_C.CALL_NO_UPSTREAM, 503, "No known upstream", "See `upstreams`"),
    _entry(
        _C.CALL_NOT_READY,
        503,
        "Node has no configuration version in force",
        "See `status`",
    ),
    _entry(
        _C.CALL_OVERLOADED,
        503,
        "Rejected by admission control",
        "Send fewer calls or add slots",
    ),
    _entry(_C.CALL_LEAVING, 503, "Node or upstream is leaving", "Try another node"),
    _entry(_C.CALL_DEADLINE, 504, "Deadline exceeded", "Check the route's timeout"),
    _entry(
        _C.CALL_UNKNOWN_OUTCOME,
        502,
        "The call may have been executed; it was not retried",
        "Check with the service before resending",
    ),
    _entry(
        _C.CALL_UPSTREAM_UNREACHABLE,
        503,
        "No connection to the upstream",
        "See `upstreams`",
    ),
    _entry(
        _C.CALL_TOO_DEEP, 508, "Calls are nested too deeply", "Look for a call loop"
    ),
    _entry(_C.CALL_BAD_REQUEST, 400, "Request can't be forwarded", "Fix the client"),
    _entry(
        _C.CALL_ANSWER_CUT,
        502,
        "The response was cut off",
        "The client must discard it",
    ),
    _entry(_C.CALL_DISABLED, 503, "Rejected by an exception", "See `exception list`"),
    _entry(
        _C.CALL_UPSTREAM_REJECTED,
        503,
        "The upstream rejected the call without executing it",
        "Send fewer calls or add slots",
    ),
    _entry(
        _C.CALL_NO_MEMORY,
        503,
        "The node holds too many bytes of other calls",
        "Send smaller bodies, or give the node more memory",
    ),
    _entry(
        _C.CALL_UNKNOWN_KEY,
        401,
        "The call has no valid API key",
        "Use a key of the configuration in force",
    ),
    _entry(
        _C.CALL_OVER_QUOTA,
        429,
        "The organisation is over its quota",
        "Send fewer calls, or raise its quota",
    ),
    _entry(
        _C.CALL_QUOTA_UNAVAILABLE,
        503,
        "No node that grants quota can be reached",
        "Check the store and the connections between nodes",
    ),
    _entry(
        _C.CALL_CONFIG_OUTDATED,
        503,
        "The node can't tell whether the API key is still valid",
        "Check the store and the connections between nodes",
    ),
    _entry(_C.OPERATOR_TOKEN_MISSING, 401, "No operator token", "Provide the token"),
    _entry(
        _C.OPERATOR_TOKEN_WRONG, 403, "Wrong operator token", "Check the token file"
    ),
    _entry(_C.OPERATOR_NOT_FOUND, 404, "No such endpoint", "See the docs"),
    _entry(
        _C.OPERATOR_BAD_BODY,
        400,
        "Request body can't be read",
        "Send JSON as documented",
    ),
    _entry(
        _C.OPERATOR_BODY_TOO_LARGE, 413, "Request body too large", "Send a smaller body"
    ),
    _entry(_C.OPERATOR_UNREACHABLE, 0, "Node is unreachable", "Check the address"),
    _entry(
        _C.NOT_CONVERGED,
        200,
        "Some nodes do not run the version",
        "See the listed nodes",
    ),
    _entry(_C.LOGS_UNREADABLE, 0, "A log file can't be read", "Check the path"),
    _entry(
        _C.CALL_NOT_IN_LOGS,
        0,
        "No log line refers to the call",
        "Provide the logs of all nodes for the time of the call",
    ),
    _entry(_C.SNAPSHOT_DIGEST_MISMATCH, 0, "Snapshot is corrupt", "Check the store"),
    _entry(_C.SNAPSHOT_UNDECODABLE, 0, "Snapshot can't be decoded", "Upgrade the node"),
    _entry(_C.SNAPSHOT_INVALID, 0, "Snapshot does not compile", "Upgrade the node"),
    _entry(
        _C.SNAPSHOT_UNAVAILABLE,
        0,
        "No peer or store provided the snapshot",
        "Check the store",
    ),
    _entry(
        _C.HOLD_UNCONFIRMED, 0, "Too few peers confirmed the version", "Check the peers"
    ),
    _entry(
        _C.RECOVERY_PENDING,
        0,
        "Restarted node can't determine its last version yet",
        "Restore the platform or the peers",
    ),
    _entry(_C.PEER_UNREACHABLE, 0, "A peer does not respond", "Check the instance"),
    _entry(
        _C.PEER_TOKEN_WRONG,
        0,
        "A peer uses a different fleet key",
        "Check the fleet key",
    ),
)

_ENTRY_BY_CODE = {entry.code: entry for entry in CODE_TABLE}


def get_code_entry(code: ResultCode) -> CodeEntry:
    """Return the registry entry of a code."""
    return _ENTRY_BY_CODE[code]
