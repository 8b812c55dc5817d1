"""Messages between nodes about the quotas that all nodes share.

One request may concern several organisations whose parts belong to the same slot.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from gypsumlock.mesh.field_types import Count, Duration, Number, Rate, Text

__all__ = [
    "MAX_GRANT_ITEMS",
    "MAX_RETURNED_LOTS",
    "Grant",
    "GrantItem",
    "GrantRequest",
    "GrantRequestItem",
    "ReturnedTokens",
]

MAX_GRANT_ITEMS = 64
MAX_RETURNED_LOTS = 16


class ReturnedTokens(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one grant that were not used."""

    # Time of the grant by the clock of its holder, in milliseconds.
    issued_ms: Number
    count: Count


class GrantRequestItem(msgspec.Struct, frozen=True, array_like=True):
    """What a node asks for one organisation."""

    organisation: Text
    wanted: Count
    # Limit of the organisation in the version that the asking node has in force.
    rate_per_s: Rate
    burst: Rate
    returned: Annotated[
        tuple[ReturnedTokens, ...], Meta(max_length=MAX_RETURNED_LOTS)
    ] = ()


class GrantRequest(msgspec.Struct, array_like=True, tag=16):
    """Requests tokens from the holder of a granting slot."""

    number: Number
    slot: Count
    # Configuration version that the asking node has in force.
    version: Number
    # Fencing token of the grants from which tokens are returned; 0 for none.
    token: Number
    # True if other candidates for the slot did not hold it or did not answer.
    redirected: bool
    items: Annotated[tuple[GrantRequestItem, ...], Meta(max_length=MAX_GRANT_ITEMS)]


class GrantItem(msgspec.Struct, frozen=True, array_like=True):
    """What is granted to one organisation."""

    organisation: Text
    count: Count
    # Time until there will be more, in seconds; 0 if all that was wanted was granted.
    more_after_s: Duration = 0.0


class Grant(msgspec.Struct, array_like=True, tag=17):
    """Response to a `GrantRequest`; without items if the node doesn't hold the slot."""

    number: Number
    slot: Count
    # Fencing token of the holder; 0 if the node does not hold the slot.
    token: Number
    # Node that holds the slot as far as this one knows; empty if it knows of none.
    holder: Text
    issued_ms: Number
    # Time for which the tokens may be used, from when they were asked for.
    lifetime_s: Duration
    items: Annotated[tuple[GrantItem, ...], Meta(max_length=MAX_GRANT_ITEMS)]
