"""Rendezvous hashing of pairs of names, with the same scores in every process."""

from __future__ import annotations

import hashlib
from functools import lru_cache

__all__ = ["rendezvous_score"]

SCORE_BYTES = 8


@lru_cache(maxsize=8192)
def rendezvous_score(chooser: str, candidate: str) -> bytes:
    """Return the score of a candidate for a chooser; the lowest is its first choice."""
    pair = f"{chooser}|{candidate}".encode()
    return hashlib.blake2b(pair, digest_size=SCORE_BYTES).digest()
