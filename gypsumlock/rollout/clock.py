"""The clock by which permissions expire."""

from __future__ import annotations

import time

__all__ = ["boot_s"]


def boot_s() -> float:
    """Return the time since the start of the machine, in seconds.

    Unlike the monotonic clock, it goes on while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
