"""Encodes calls as HTTP/1.1, and tells which headers go on."""

from __future__ import annotations

from gypsumlock.http_headers import Headers, end_to_end
from gypsumlock.mesh.model import CallRequest, HeaderNames

__all__ = ["encode_request", "forwardable_headers"]

BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


def forwardable_headers(headers: Headers) -> Headers:
    """Return the headers that go on; bodies are framed anew on each connection."""
    return [item for item in end_to_end(headers) if item[0] != b"content-length"]


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
