"""Decodes the organisations of the operator's configuration document.

The API keys become digests here. No error names a key.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from gypsumlock.mesh.field_types import Rank, Text, is_valid_head
from gypsumlock.mesh.model import Organisation
from gypsumlock.organisations import digest_key
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["InvalidOrganisation", "check_organisations", "decode_organisation"]

# Largest rate and burst that messages between nodes carry; a larger one is no limit in
# practice.
MAX_QUOTA = 1e9
_Name = Annotated[Text, msgspec.Meta(min_length=1)]


class InvalidOrganisation(Exception):
    """An organisation, or the list of them, is invalid; has the result code."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.fault = Fault(code, detail)


class _Tenant(msgspec.Struct, frozen=True):
    api_keys: list[str] = []
    # Overrides the rank of the route.
    priority: Rank | None = None
    # Quota in requests per second, and in a burst beyond that; 0 for no limit. Decoded
    # separately: a number out of range has a result code of its own.
    per_s: msgspec.Raw = msgspec.Raw(b"0")
    burst: msgspec.Raw = msgspec.Raw(b"0")


def decode_organisation(name: str, spec: msgspec.Raw) -> Organisation:
    """Decode one organisation.

    Raises
    ------
    InvalidOrganisation
        With `CONFIG_BAD_QUOTA` or `PLATFORM_BAD_MESSAGE`.
    msgspec.DecodeError
        If a field has another type.
    """
    msgspec.convert(name, _Name)
    if not is_valid_head([(b"name", name.encode())]) or name != name.strip():
        detail = f"the organisation name {name!r} can't be sent in a header"
        raise InvalidOrganisation(ResultCode.PLATFORM_BAD_MESSAGE, detail)
    tenant = msgspec.json.decode(spec, type=_Tenant)
    digests = dict.fromkeys(digest_key(key.encode()) for key in tenant.api_keys if key)
    return Organisation(
        name=name,
        key_digests=tuple(digests),
        rank=tenant.priority,
        rate_per_s=_decode_quota(name, tenant.per_s),
        burst=_decode_quota(name, tenant.burst),
    )


def check_organisations(organisations: Iterable[Organisation]) -> None:
    """Check that no two organisations share a name or an API key.

    Raises
    ------
    InvalidOrganisation
        With `CONFIG_DUPLICATE_NAME` or `CONFIG_DUPLICATE_KEY`.
    """
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for organisation in organisations:
        name = organisation.name
        if name in names:
            detail = f"two organisations have the name {name!r}"
            raise InvalidOrganisation(ResultCode.CONFIG_DUPLICATE_NAME, detail)
        names.add(name)
        for digest in organisation.key_digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                detail = f"the organisations {owner!r} and {name!r} share an API key"
                raise InvalidOrganisation(ResultCode.CONFIG_DUPLICATE_KEY, detail)


def _decode_quota(name: str, text: msgspec.Raw) -> float:
    """Return a rate or a burst; an absent or empty one is 0."""
    try:
        value = msgspec.json.decode(text, type=float | None) or 0.0
    except msgspec.DecodeError:
        # No number, or one that is out of range.
        value = math.nan
    if not math.isfinite(value) or value < 0:
        detail = f"the organisation {name!r} has an invalid rate or burst"
        raise InvalidOrganisation(ResultCode.CONFIG_BAD_QUOTA, detail)
    return min(value, MAX_QUOTA)
