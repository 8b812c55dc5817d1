"""Rendezvous hashing: a score for each pair of names, the same in every process."""

from __future__ import annotations

import hashlib
from functools import lru_cache

__all__ = ["rendezvous_score"]

SCORE_BYTES = 8


@lru_cache(maxsize=8192)
def rendezvous_score(chooser: str, candidate: str) -> bytes:
    """Return the score that one name gives another; the lowest is its first choice."""
    pair = f"{chooser}|{candidate}".encode()
    return hashlib.blake2b(pair, digest_size=SCORE_BYTES).digest()
