"""The row in the store that holds one lease."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from gypsumlock.mesh.field_types import DECODE_ERRORS, Number, Text

__all__ = ["Lease", "decode_lease", "encode_lease"]

# In seconds. A longer one in a damaged row would keep all nodes from the lease.
LeaseDuration = Annotated[float, Meta(gt=0, le=60)]


class Lease(msgspec.Struct, frozen=True):
    """Content of the row; a released lease has no holder and keeps its token."""

    # Name of the node that holds the lease; empty once it was released.
    holder: Text
    # Fencing token; incremented by each acquisition.
    token: Number
    duration_s: LeaseDuration


def encode_lease(lease: Lease) -> bytes:
    """Return the value of the row."""
    return msgspec.json.encode(lease)


def decode_lease(value: bytes | None) -> Lease | None:
    """Return the lease in a row, or None if there is none that can be decoded."""
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=Lease)
    except DECODE_ERRORS:
        return None
