"""Snapshots: immutable, accepted versions of the whole configuration.

The digest of a snapshot is the SHA-256 of its canonical JSON. The JSON includes
the version number, so that a payload can never pass verification as another
version.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.model.ranks import Attempts, Defaults, Name, TimeoutS
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "EMPTY_SNAPSHOT",
    "ConfigException",
    "Origin",
    "Overrides",
    "Selector",
    "Snapshot",
    "VersionRef",
    "decode_snapshot",
    "digest_of",
    "encode_snapshot",
]


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the calls that an exception applies to; empty fields match any value."""

    service: str = ""
    route: str = ""
    # Zone and instance of the node that handles the call.
    zone: str = ""
    instance: str = ""


@dataclass(frozen=True, slots=True)
class Overrides:
    """Route settings that an exception overrides; None keeps the default."""

    timeout_s: TimeoutS | None = None
    max_attempts: Attempts | None = None
    rank: Name | None = None
    # False rejects the selected calls with the outcome `not-run`.
    accept_calls: bool | None = None


@dataclass(frozen=True, slots=True)
class ConfigException:
    """A deviation from the defaults, with the reason for it."""

    name: Name
    selector: Selector
    overrides: Overrides
    reason: str
    author: str
    changed_at: str
    # Version in which the exception was last changed.
    revision: int
    # Date on which to review the exception. Once it has passed, the exception is
    # reported as overdue but stays in effect.
    review_on: str = ""


@dataclass(frozen=True, slots=True)
class Origin:
    """Records who created a version, when and why."""

    author: str = ""
    reason: str = ""
    accepted_at: str = ""
    operation_id: str = ""
    summary: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete version of the configuration."""

    version: int
    parent: int
    defaults: Defaults
    # Version in which the defaults were last changed.
    defaults_revision: int = 0
    exceptions: Annotated[
        tuple[ConfigException, ...], Meta(max_length=defaults.MAX_EXCEPTIONS)
    ] = ()
    origin: Origin = Origin()

    def exception_named(self, name: str) -> ConfigException | None:
        """Return the exception with the given name, or None."""
        return next((item for item in self.exceptions if item.name == name), None)


@dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """Identifies a version by its number and content digest."""

    version: int
    digest: bytes


EMPTY_SNAPSHOT = Snapshot(version=0, parent=0, defaults=Defaults())

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER = msgspec.json.Decoder(Snapshot)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the canonical JSON of a snapshot."""
    return _ENCODER.encode(snapshot)


def digest_of(payload: bytes) -> bytes:
    """Return the SHA-256 digest of an encoded snapshot (32 bytes)."""
    return hashlib.sha256(payload).digest()


def decode_snapshot(payload: bytes, expected: VersionRef) -> Result[Snapshot, Fault]:
    """Verify and decode an encoded snapshot.

    Parameters
    ----------
    payload : bytes
        Canonical JSON, as received from a peer or read from the object store.
    expected : VersionRef
        The version and digest that the payload must have.

    Returns
    -------
    Result[Snapshot, Fault]
        The snapshot, or `SNAPSHOT_DIGEST_MISMATCH` or `SNAPSHOT_UNDECODABLE`.
    """
    if digest_of(payload) != expected.digest:
        detail = f"the payload of version {expected.version} does not match its digest"
        return Err(Fault(ResultCode.SNAPSHOT_DIGEST_MISMATCH, detail))
    try:
        snapshot = _DECODER.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.SNAPSHOT_UNDECODABLE, str(error)))
    if snapshot.version != expected.version:
        detail = (
            f"the payload contains version {snapshot.version}, "
            f"expected version {expected.version}"
        )
        return Err(Fault(ResultCode.SNAPSHOT_UNDECODABLE, detail))
    return Ok(snapshot)


EMPTY_REF = VersionRef(0, digest_of(encode_snapshot(EMPTY_SNAPSHOT)))
