"""HTTP/1.1 encoding of calls, and the choice of the headers that are forwarded."""

from __future__ import annotations

from gypsumlock.http_headers import Headers, end_to_end_headers
from gypsumlock.mesh.model import CallRequest, HeaderNames

__all__ = ["encode_request", "forwardable_headers"]

BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


def forwardable_headers(headers: Headers) -> Headers:
    """Return the headers to forward.

    Hop-by-hop headers are left out, and content-length too: each connection frames
    bodies anew.
    """
    return [
        item for item in end_to_end_headers(headers) if item[0] != b"content-length"
    ]


def encode_request(
    request: CallRequest, header_names: HeaderNames, instance: str, remaining_s: float
) -> bytes:
    """Return the bytes of the request that sends a call to an upstream.

    Parameters
    ----------
    request : CallRequest
        The call; all of its headers are sent.
    header_names : HeaderNames
        Names of the headers that this node sets.
    instance : str
        Instance that must execute the call; empty if it is not known.
    remaining_s : float
        Time until the deadline, in seconds.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend([b"%b: %b\r\n" % header for header in request.headers])
    lines.append(
        b"%b: %d\r\n" % (header_names.deadline_ms, max(1, int(remaining_s * 1000)))
    )
    if instance:
        lines.append(b"%b: %b\r\n" % (header_names.target_instance, instance.encode()))
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
