"""Header names of the protocol between nodes, upstreams and clients.

Names are lower-case bytes, as ASGI carries them. Every header that starts with
`gypsumlock-` belongs to the nodes: it is taken off whatever a client or an
upstream sends, and set by nodes alone.
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
    "forwardable",
]

PREFIX: Final = b"gypsumlock-"
# Signed context of a call, between nodes and through upstreams.
CONTEXT: Final = b"gypsumlock-context"
# Identifier of a client's call, the same at every hop.
CALL_ID: Final = b"gypsumlock-call-id"
# Time that an upstream has left for its answer.
TIMEOUT_MS: Final = b"gypsumlock-timeout-ms"
# What a refusal says about the call; see `CallOutcome`.
OUTCOME: Final = b"gypsumlock-outcome"
# Numbered result code of a refusal.
CODE: Final = b"gypsumlock-code"
# Attempts beyond the first that a node made.
RETRIES: Final = b"gypsumlock-retries"


class CallOutcome(StrEnum):
    """What a node that answers in place of an upstream knows of the call."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


def forwardable(headers: Headers) -> Headers:
    """Return the headers that go on to the next connection."""
    return [
        item for item in end_to_end_headers(headers) if not item[0].startswith(PREFIX)
    ]
