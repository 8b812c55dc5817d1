"""The response of an HTTP server to one request, and the ways to get none."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.http_headers import Headers, find_header

__all__ = ["ConnectFailed", "ExchangeFailed", "ReadTimeouts", "UpstreamResponse"]


class ConnectFailed(Exception):
    """No connection could be established; nothing was sent."""


class ExchangeFailed(Exception):
    """The call was sent, but no usable response was received."""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """Complete response of an upstream."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """Timeouts for reading a response."""

    # Until the first byte arrives.
    first_byte_s: float
    # Between two reads after that.
    next_byte_s: float
