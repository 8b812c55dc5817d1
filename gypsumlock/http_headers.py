"""HTTP headers, as lists of lower-case names and their values."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final, TypeAlias

__all__ = ["Headers", "end_to_end_headers", "find_header", "has_conflict"]

Headers: TypeAlias = list[tuple[bytes, bytes]]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS: Final = frozenset(
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


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_conflict(headers: Headers, names: Collection[bytes]) -> bool:
    """Return whether one of some headers occurs more than once, with other values."""
    if len({name for name, _ in headers}) == len(headers):
        return False
    return any(
        len({value for key, value in headers if key == name}) > 1 for name in names
    )


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to a single connection."""
    options = _connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in options
    ]


def _connection_options(headers: Headers) -> set[bytes]:
    """Return the names of the headers that apply to the connection only."""
    values = [value for name, value in headers if name == b"connection"]
    return {name.strip().lower() for value in values for name in value.split(b",")}
