"""API keys: their digests, and where a request carries one.

A node handles a key only from the moment it is received until its digest is computed.
Configurations, messages between nodes and the calls in progress hold digests.
"""

from __future__ import annotations

import hashlib
from typing import Final

__all__ = ["DIGEST_BYTES", "bearer_key", "digest_key"]

DIGEST_BYTES: Final = 16
# Separates these digests from those of other programs; it is no secret. All nodes of a
# fleet must use the same value.
DIGEST_CONTEXT: Final = b"gypsumlock api key"
BEARER_SCHEME: Final = b"bearer"


def digest_key(key: bytes) -> bytes:
    """Return the digest by which nodes know an API key."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=DIGEST_CONTEXT).digest()


def bearer_key(authorization: bytes | None) -> bytes:
    """Return the API key in the value of a header, or nothing if there is none.

    Parameters
    ----------
    authorization : bytes | None
        Value of the header that carries the credentials; None if it is missing.
    """
    if authorization is None:
        return b""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == BEARER_SCHEME else b""
