"""Numbered result codes, and the fault that carries one.

Every error that leaves the process (an exit code, an HTTP answer, a log line)
names one entry of this registry. Codes fit in a process exit status, so they
stay between 0 and 255. A code is never reused for another meaning.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["CODE_TABLE", "CodeEntry", "Fault", "ResultCode", "get_code_entry"]


class ResultCode(IntEnum):
    """One number for each outcome that a user can meet."""

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
    # Status of the HTTP answer that carries the code; 0 where none does.
    http_status: int
    meaning: str
    action: str


@dataclass(frozen=True, slots=True)
class Fault:
    """One error: its code, what was found, and where.

    Attributes
    ----------
    code : ResultCode
        The numbered outcome.
    detail : str
        What was found, in one sentence without a full stop.
    path : str
        Place of the fault in a document; empty where there is none.
    """

    code: ResultCode
    detail: str
    path: str = ""

    def text(self) -> str:
        """Return the fault as one line for a person."""
        place = f"{self.path}: " if self.path else ""
        return f"[{self.code.value}] {place}{self.detail}"


def _entry(code: ResultCode, status: int, meaning: str, action: str) -> CodeEntry:
    return CodeEntry(code, status, meaning, action)


_C = ResultCode

CODE_TABLE: tuple[CodeEntry, ...] = (
    _entry(_C.OK, 200, "Done", "None"),
    _entry(_C.INTERNAL, 500, "A defect in gypsumlock", "Report it with the log"),
    _entry(_C.USAGE, 0, "Wrong command line", "See `gypsumlock --help`"),
    _entry(_C.SETTINGS_UNREADABLE, 0, "Settings file can't be read", "Check the path"),
    _entry(_C.SETTINGS_NOT_YAML, 0, "Settings are not YAML", "Mend the named line"),
    _entry(_C.SETTINGS_UNKNOWN_KEY, 0, "Unknown settings key", "Remove or rename it"),
    _entry(_C.SETTINGS_BAD_VALUE, 0, "Settings value not allowed", "Use a named value"),
    _entry(_C.SETTINGS_MISSING_KEY, 0, "Required settings key missing", "Add the key"),
    _entry(
        _C.SETTINGS_SECRET_UNREADABLE,
        0,
        "A key or token file can't be read or is too short",
        "Check the file and its mode",
    ),
    _entry(_C.PORT_IN_USE, 0, "A listening address is taken", "Free or change it"),
    _entry(_C.CONFIG_BAD_DOCUMENT, 400, "Configuration has wrong types", "Mend it"),
    _entry(_C.CONFIG_UNKNOWN_SERVICE, 422, "A route names no service", "Add it first"),
    _entry(_C.CONFIG_UNKNOWN_RANK, 422, "A rank is not defined", "Define the rank"),
    _entry(_C.CONFIG_OUT_OF_RANGE, 422, "A limit is out of range", "Use the range"),
    _entry(_C.CONFIG_DUPLICATE_NAME, 422, "A name is used twice", "Rename one"),
    _entry(_C.CONFIG_REASON_MISSING, 422, "An exception lacks a reason", "Write one"),
    _entry(_C.CONFIG_UNKNOWN_EXCEPTION, 404, "No such exception", "List them"),
    _entry(_C.CONFIG_UNKNOWN_PATH, 404, "No default has this path", "Show defaults"),
    _entry(
        _C.CONFIG_CONFLICT,
        409,
        "Another operator changed the same thing first",
        "Read the other change, then try again",
    ),
    _entry(_C.CONFIG_NO_CHANGE, 200, "Nothing would change", "None"),
    _entry(_C.CONFIG_UNKNOWN_VERSION, 404, "No such version", "See the history"),
    _entry(_C.CONFIG_UNKNOWN_SELECTOR, 422, "A selector fits nothing", "Mend it"),
    _entry(_C.CONFIG_TOO_BUSY, 503, "Too many racing changes", "Try again"),
    _entry(_C.PLATFORM_UNREACHABLE, 503, "Platform can't be reached", "Check it"),
    _entry(_C.PLATFORM_REFUSED, 502, "Platform refused a request", "Check its log"),
    _entry(_C.PLATFORM_BAD_ANSWER, 502, "Platform answer unreadable", "Check it"),
    _entry(_C.PLATFORM_CONDITION_FAILED, 409, "A condition did not hold", "Retry"),
    _entry(_C.PLATFORM_NOT_FOUND, 404, "Row or object is missing", "Check platform"),
    _entry(
        _C.PLATFORM_OUTCOME_UNKNOWN,
        503,
        "The write's answer was lost and can't be settled yet",
        "Repeat the same command with its operation id",
    ),
    _entry(
        _C.PLATFORM_HISTORY_LOST,
        0,
        "The store no longer has the changes asked for",
        "Nothing: the table is read anew",
    ),
    _entry(
        _C.PLATFORM_BAD_MESSAGE,
        400,
        "A message of the platform can't be decoded",
        "Nothing: it is ignored; find its writer if it stays",
    ),
    _entry(_C.CALL_NO_ROUTE, 404, "No route fits the call", "Add a route"),
    _entry(_C.CALL_NO_UPSTREAM, 503, "No known upstream", "See `upstreams`"),
    _entry(_C.CALL_NOT_READY, 503, "Node has no version in force", "See `status`"),
    _entry(_C.CALL_OVERLOADED, 503, "Refused by admission", "Slow down or add slots"),
    _entry(_C.CALL_LEAVING, 503, "Node or upstream is leaving", "Try another node"),
    _entry(_C.CALL_DEADLINE, 504, "Deadline passed", "See the route's timeout"),
    _entry(
        _C.CALL_UNKNOWN_OUTCOME,
        502,
        "The call may have run; it was not sent again",
        "Check at the service before resending",
    ),
    _entry(_C.CALL_UPSTREAM_UNREACHABLE, 503, "No connection", "See `upstreams`"),
    _entry(_C.CALL_TOO_DEEP, 508, "Calls nest too deep", "Look for a loop"),
    _entry(_C.CALL_BAD_REQUEST, 400, "Request can't be carried", "Mend the client"),
    _entry(_C.CALL_ANSWER_CUT, 502, "The answer broke off", "Client must not use it"),
    _entry(_C.CALL_DISABLED, 503, "Refused by an exception", "See `exception list`"),
    _entry(
        _C.CALL_UPSTREAM_REJECTED,
        503,
        "The upstream rejected the call without running it",
        "Slow down or add slots",
    ),
    _entry(_C.OPERATOR_TOKEN_MISSING, 401, "No operator token", "Give the token"),
    _entry(_C.OPERATOR_TOKEN_WRONG, 403, "Wrong operator token", "Check the file"),
    _entry(_C.OPERATOR_NOT_FOUND, 404, "No such operator resource", "See the docs"),
    _entry(_C.OPERATOR_BAD_BODY, 400, "Body can't be read", "Send JSON as documented"),
    _entry(_C.OPERATOR_BODY_TOO_LARGE, 413, "Body too large", "Send less"),
    _entry(_C.OPERATOR_UNREACHABLE, 0, "Node can't be reached", "Check the address"),
    _entry(_C.NOT_CONVERGED, 200, "Some nodes lack the version", "Read the list"),
    _entry(_C.LOGS_UNREADABLE, 0, "A log file can't be read", "Check the path"),
    _entry(
        _C.CALL_NOT_IN_LOGS,
        0,
        "No log line concerns the call",
        "Give the logs of all nodes, of the time of the call",
    ),
    _entry(_C.SNAPSHOT_DIGEST_MISMATCH, 0, "Snapshot is corrupt", "Check the store"),
    _entry(_C.SNAPSHOT_UNDECODABLE, 0, "Snapshot can't be decoded", "Upgrade node"),
    _entry(_C.SNAPSHOT_INVALID, 0, "Snapshot does not compile", "Upgrade the node"),
    _entry(_C.SNAPSHOT_UNAVAILABLE, 0, "Nobody gave the snapshot", "Check the store"),
    _entry(_C.HOLD_UNCONFIRMED, 0, "Too few peers hold the version", "Check peers"),
    _entry(
        _C.RECOVERY_PENDING,
        0,
        "Restarted node can't yet know its last version",
        "Bring back the platform or the peers",
    ),
    _entry(_C.PEER_UNREACHABLE, 0, "A peer does not answer", "Check the instance"),
    _entry(_C.PEER_TOKEN_WRONG, 0, "A peer has another fleet key", "Check the key"),
)

_BY_CODE = {entry.code: entry for entry in CODE_TABLE}


def get_code_entry(code: ResultCode) -> CodeEntry:
    """Return the registry entry of a code."""
    return _BY_CODE[code]
