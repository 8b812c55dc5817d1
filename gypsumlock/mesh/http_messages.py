"""Requests as a server receives them, and the heads of its responses."""

from __future__ import annotations

from gypsumlock.http_headers import Headers, find_header

__all__ = ["HttpRequest", "encode_rejection", "encode_response_head"]

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
SERVICE_UNAVAILABLE = 503
BODILESS_STATUSES = (204, 304)
# Retry-After of a request that is rejected for want of memory, in seconds.
REJECTION_RETRY_AFTER_S = 1


class HttpRequest:
    """One complete request."""

    __slots__ = (
        "body",
        "headers",
        "held_bytes",
        "keep_alive",
        "method",
        "received_s",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
        received_s: float,
        held_bytes: int = 0,
    ) -> None:
        self.method = method
        self.target = target
        # Names are in lower case.
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        # Monotonic time at which the request was complete.
        self.received_s = received_s
        # Bytes that are reserved for the request.
        self.held_bytes = held_bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def encode_response_head(
    status: int, headers: Headers, body_bytes: int, close_connection: bool
) -> bytes:
    """Return the head of a complete response.

    Parameters
    ----------
    status : int
        Status code.
    headers : list[tuple[bytes, bytes]]
        Headers except those that frame the message.
    body_bytes : int
        Size of the body.
    close_connection : bool
        Whether the connection is closed after the response.
    """
    reason = REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    lines.extend([b"%b: %b\r\n" % header for header in headers])
    if status >= 200 and status not in BODILESS_STATUSES:
        lines.append(b"content-length: %d\r\n" % body_bytes)
    lines.append(b"connection: close\r\n\r\n" if close_connection else b"\r\n")
    return b"".join(lines)


def encode_rejection(status: int) -> bytes:
    """Return the response to a request that is not read to its end."""
    headers: Headers = []
    if status == SERVICE_UNAVAILABLE:
        headers.append((b"retry-after", b"%d" % REJECTION_RETRY_AFTER_S))
    return encode_response_head(status, headers, 0, close_connection=True)
