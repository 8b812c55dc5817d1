"""Clock for everything that expires."""

from __future__ import annotations

import time

__all__ = ["boot_time_s"]


def boot_time_s() -> float:
    """Return the time since the machine booted, in seconds.

    Unlike the monotonic clock, it goes on while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
