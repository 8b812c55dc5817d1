"""Header names of the protocol between nodes, upstreams and clients.

Names are lower-case bytes, as ASGI carries them. Every header that starts with
`gypsumlock-` belongs to the nodes: it is taken off whatever a client or an
upstream sends, and set by nodes alone.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, TypeAlias

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

Headers: TypeAlias = list[tuple[bytes, bytes]]

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

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class CallOutcome(StrEnum):
    """What a node that answers in place of an upstream knows of the call."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    return next((value for key, value in headers if key == name), None)


def forwardable(headers: Headers) -> Headers:
    """Return the headers that go on to the next connection."""
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named and not name.startswith(PREFIX)
    ]


def _named_by_connection(headers: Headers) -> set[bytes]:
    value = find_header(headers, b"connection")
    if value is None:
        return set()
    return {name.strip().lower() for name in value.split(b",")}
