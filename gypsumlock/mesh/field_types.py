"""Types of the fields of received messages, with the range of their values.

A message may come from another program, or from a node of another version. Each of its
fields is checked once, where the message is decoded; nothing that uses a field later
has to expect a value outside of its range.
"""

from __future__ import annotations

import re
import string
from typing import Annotated, Final

import msgspec
from msgspec import Meta

from gypsumlock.http_headers import Headers
from gypsumlock.http_status import MAX_FINAL_STATUS, MIN_FINAL_STATUS

__all__ = [
    "DECODE_ERRORS",
    "Address",
    "Bandwidth",
    "Count",
    "Duration",
    "HealthPath",
    "Identifier",
    "MemorySize",
    "Number",
    "Rank",
    "Rate",
    "Ratio",
    "Share",
    "Slots",
    "StatusCode",
    "Text",
    "TimeLeft",
    "TimestampMs",
    "Weight",
    "is_identifier",
    "is_valid_head",
]

# What msgspec raises for a message that can't be decoded. A deeply nested one exceeds
# the recursion limit.
DECODE_ERRORS: Final = (msgspec.DecodeError, RecursionError)

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    "(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    "|[1-9][0-9]{0,3})"
)
# Printable ASCII without spaces, so that it fits into a header and a path.
_IDENTIFIER = r"\A[!-~]{0,200}\Z"

# An IPv4 address and a port, as `IP:port`.
Address = Annotated[str, Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z")]
# Name of an instance; empty for none.
Identifier = Annotated[str, Meta(pattern=_IDENTIFIER)]
# Any other name, such as that of a zone.
Text = Annotated[str, Meta(max_length=200)]

# A path that can be written into a request line.
HealthPath = Annotated[str, Meta(pattern=r"\A/[!-~]*\Z")]

Count = Annotated[int, Meta(ge=0, le=2**31 - 1)]
Slots = Annotated[int, Meta(ge=1, le=100_000)]
Rank = Annotated[int, Meta(ge=0, le=1_000)]
# Of a final response.
StatusCode = Annotated[int, Meta(ge=MIN_FINAL_STATUS, le=MAX_FINAL_STATUS)]
# Version of a row or of the configuration, or number of a message.
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# Unix milliseconds, until the year 2100. One in the far future would make every later
# start look older.
TimestampMs = Annotated[int, Meta(ge=0, le=4_102_444_800_000)]

# In seconds.
Duration = Annotated[float, Meta(ge=0, le=1e9)]
# Time until a moment that may have passed, in seconds.
TimeLeft = Annotated[float, Meta(ge=-1e9, le=1e9)]
# In megabits per second.
Bandwidth = Annotated[float, Meta(ge=0, le=1e9)]
# In megabytes.
MemorySize = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
# Weights are relative to the others of the same list; a ratio may exceed 1.
Weight = Annotated[float, Meta(ge=0, le=1e9)]
Ratio = Annotated[float, Meta(ge=0, le=1e9)]
# Calls per second, or calls in a burst.
Rate = Annotated[float, Meta(ge=0, le=1e9)]

_IDENTIFIER_REGEX = re.compile(_IDENTIFIER)
# Bytes of method names and header names, and of request targets.
_TOKEN_BYTES = b"!#$%&'*+-.^_`|~" + (string.ascii_letters + string.digits).encode()
_TARGET_BYTES = bytes([*range(0x21, 0x7F), *range(0x80, 0x100)])
# Bytes that end a header value.
_LINE_ENDS = b"\x00\r\n"


def is_identifier(text: str) -> bool:
    """Return whether a text can name an instance."""
    return bool(text) and _IDENTIFIER_REGEX.match(text) is not None


def is_valid_head(
    headers: Headers, method: bytes = b"GET", target: bytes = b"/"
) -> bool:
    """Return whether a head, once it is written, is read as the same head.

    Parameters
    ----------
    headers : Headers
        The headers.
    method, target : bytes
        Method and target of a request.
    """
    tokens = [method, *[name for name, _ in headers]]
    values = b"".join([value for _, value in headers])
    return (
        all(tokens)
        and bool(target)
        and not b"".join(tokens).translate(None, _TOKEN_BYTES)
        and not target.translate(None, _TARGET_BYTES)
        and len(values.translate(None, _LINE_ENDS)) == len(values)
    )
