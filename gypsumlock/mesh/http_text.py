"""Encodes calls as HTTP/1.1, and tells which headers go on."""

from __future__ import annotations

from gypsumlock.mesh.model import CallRequest, HeaderNames, Headers

__all__ = ["encode_request", "find_header", "forwardable"]

# Headers that concern one connection (RFC 9110, section 7.6.1) or frame the body.
HOP_BY_HOP = frozenset(
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
        b"content-length",
    }
)
BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def forwardable(headers: Headers) -> Headers:
    """Return the headers that go on to the next connection."""
    connection = find_header(headers, b"connection")
    named: frozenset[bytes] = frozenset()
    if connection is not None:
        named = frozenset(item.strip().lower() for item in connection.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    ]


def encode_request(
    request: CallRequest, names: HeaderNames, instance: str, left_s: float
) -> bytes:
    """Return the bytes of a call to an upstream.

    Parameters
    ----------
    request : CallRequest
        The call; its headers are those that go on.
    names : HeaderNames
        Names of the headers that this node sets.
    instance : str
        Instance that must run the call; empty if it is not known.
    left_s : float
        Time that is left for the answer, in seconds.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend([b"%b: %b\r\n" % header for header in request.headers])
    lines.append(b"%b: %d\r\n" % (names.deadline_ms, max(1, int(left_s * 1000))))
    if instance:
        lines.append(b"%b: %b\r\n" % (names.target_instance, instance.encode()))
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
