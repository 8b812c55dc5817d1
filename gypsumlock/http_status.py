"""Tells the statuses of final and interim responses from numbers that are none."""

from __future__ import annotations

from typing import Final

__all__ = ["MAX_FINAL_STATUS", "MIN_FINAL_STATUS", "is_final_status", "is_status"]

# Status codes of RFC 9110, section 15; those below the first final one are interim.
MIN_STATUS: Final = 100
MIN_FINAL_STATUS: Final = 200
MAX_FINAL_STATUS: Final = 599


def is_status(number: int) -> bool:
    """Return whether a number is the status of a final or an interim response."""
    return MIN_STATUS <= number <= MAX_FINAL_STATUS


def is_final_status(number: int) -> bool:
    """Return whether a number is the status of a final response."""
    return MIN_FINAL_STATUS <= number <= MAX_FINAL_STATUS
