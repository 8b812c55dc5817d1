"""Organisations whose clients identify themselves by API keys.

Everything here is pure: it does no I/O and reads no clock.
"""

from __future__ import annotations

from gypsumlock.organisations.api_keys import bearer_key, digest_key
from gypsumlock.organisations.config_contact import ConfigContact, HeartbeatTimes
from gypsumlock.organisations.identification import (
    ANONYMOUS,
    Identity,
    identify,
    mark_headers,
)

__all__ = [
    "ANONYMOUS",
    "ConfigContact",
    "HeartbeatTimes",
    "Identity",
    "bearer_key",
    "digest_key",
    "identify",
    "mark_headers",
]
