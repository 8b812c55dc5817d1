"""The snapshot: one accepted version of the whole configuration.

A snapshot is immutable. Its digest is the SHA-256 of its canonical JSON, and
its own version number is part of that JSON, so that a version and a content
can never be paired wrongly.
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
    """Says where an exception is in effect; an empty field fits everything."""

    service: str = ""
    route: str = ""
    # Zone and instance of the node that handles the call.
    zone: str = ""
    instance: str = ""


@dataclass(frozen=True, slots=True)
class Overrides:
    """Route values that an exception replaces; None leaves the default."""

    timeout_s: TimeoutS | None = None
    max_attempts: Attempts | None = None
    rank: Name | None = None
    # False refuses the selected calls as not run.
    accept_calls: bool | None = None


@dataclass(frozen=True, slots=True)
class ConfigException:
    """One deviation from the defaults, with its written reason."""

    name: Name
    selector: Selector
    overrides: Overrides
    reason: str
    author: str
    changed_at: str
    # Version in which the exception was last changed.
    revision: int
    # Date on which someone should look at it again. Reported, never enforced.
    review_on: str = ""


@dataclass(frozen=True, slots=True)
class Origin:
    """Who made a version, when and why."""

    author: str = ""
    reason: str = ""
    accepted_at: str = ""
    operation_id: str = ""
    summary: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of the configuration, complete in itself."""

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
        """Return the exception of that name, if there is one."""
        return next((item for item in self.exceptions if item.name == name), None)


@dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """Names a version by its number and content digest."""

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
        Canonical JSON as it came from a peer or from the object store.
    expected : VersionRef
        The version and digest that the payload must have.

    Returns
    -------
    Result[Snapshot, Fault]
        The snapshot, or `SNAPSHOT_DIGEST_MISMATCH` or `SNAPSHOT_UNDECODABLE`.
    """
    if digest_of(payload) != expected.digest:
        found = f"version {expected.version} does not have the digest it was named by"
        return Err(Fault(ResultCode.SNAPSHOT_DIGEST_MISMATCH, found))
    try:
        snapshot = _DECODER.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.SNAPSHOT_UNDECODABLE, str(error)))
    if snapshot.version != expected.version:
        found = f"the snapshot says {snapshot.version}, the head {expected.version}"
        return Err(Fault(ResultCode.SNAPSHOT_UNDECODABLE, found))
    return Ok(snapshot)


EMPTY_REF = VersionRef(0, digest_of(encode_snapshot(EMPTY_SNAPSHOT)))
