"""Header names of the protocol between nodes, upstreams and clients.

Names are lower-case bytes, as in ASGI. Headers that start with `gypsumlock-`
are reserved for nodes: only nodes set them, and they are removed from whatever
a client or an upstream sends.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from gypsumlock.http_headers import Headers, end_to_end_headers, find_header

__all__ = [
    "CALL_ID",
    "CODE",
    "CONTEXT",
    "OUTCOME",
    "RETRIES",
    "TIMEOUT_MS",
    "CallOutcome",
    "Headers",
    "find_header",
    "forwardable_headers",
]

RESERVED_PREFIX: Final = b"gypsumlock-"
# Signed context of a call, sent by nodes and passed on by upstreams.
CONTEXT: Final = b"gypsumlock-context"
# Identifier of a client's call, the same on every hop.
CALL_ID: Final = b"gypsumlock-call-id"
# Time that the upstream has left to respond, in milliseconds.
TIMEOUT_MS: Final = b"gypsumlock-timeout-ms"
# Whether the call may have run, in an error response; see `CallOutcome`.
OUTCOME: Final = b"gypsumlock-outcome"
# Numeric result code of an error response.
CODE: Final = b"gypsumlock-code"
# Number of retries that the node made.
RETRIES: Final = b"gypsumlock-retries"


class CallOutcome(StrEnum):
    """What a node that responds in place of an upstream knows about the call."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


def forwardable_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded over the next connection."""
    return [
        item
        for item in end_to_end_headers(headers)
        if not item[0].startswith(RESERVED_PREFIX)
    ]
