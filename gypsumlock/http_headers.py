"""Headers of HTTP messages, as lists of lower-case names and values."""

from __future__ import annotations

from typing import Final, TypeAlias

__all__ = ["Headers", "end_to_end_headers", "find_header"]

Headers: TypeAlias = list[tuple[bytes, bytes]]

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


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that don't concern one connection only."""
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    ]


def _named_by_connection(headers: Headers) -> set[bytes]:
    value = find_header(headers, b"connection")
    if value is None:
        return set()
    return {name.strip().lower() for name in value.split(b",")}
