"""Determines the organisation of a request from the API key that it carries.

Designed for every request of a node: one digest and one look-up. Without organisations
in the configuration a request needs no key, and nothing about it is changed.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumlock.http_headers import Headers
from gypsumlock.mesh.model import HeaderNames, Organisation, RouteSpec
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.organisations.api_keys import bearer_key, digest_key
from gypsumlock.result_codes import ResultCode

__all__ = ["ANONYMOUS", "Identity", "identify", "mark_headers"]


@dataclass(frozen=True, slots=True)
class Identity:
    """Organisation of a request, and the key that shows it."""

    # None if the request belongs to none.
    organisation: Organisation | None = None
    # Digest of the key; empty if the request needs none.
    key_digest: bytes = b""


ANONYMOUS = Identity()


def identify(
    table: RouteTable, route: RouteSpec, authorization: bytes | None
) -> Identity | ResultCode:
    """Return the identity of a request, or `CALL_UNKNOWN_KEY`.

    Parameters
    ----------
    table : RouteTable
        Configuration in force.
    route : RouteSpec
        Route of the request.
    authorization : bytes | None
        Value of the header with the credentials; None if it is missing.
    """
    if not table.requires_keys:
        return ANONYMOUS
    key = bearer_key(authorization)
    if key:
        digest = digest_key(key)
        organisation = table.find_organisation(digest)
        if organisation is not None:
            return Identity(organisation, digest)
    return ANONYMOUS if route.public else ResultCode.CALL_UNKNOWN_KEY


def mark_headers(
    headers: Headers, names: HeaderNames, organisation: Organisation | None
) -> Headers:
    """Return the headers of a request that may be sent to an upstream.

    They carry the name of the organisation, whatever the client sent, and no key. Only
    for configurations with organisations.
    """
    hidden = (names.authorization, names.organisation)
    marked = [header for header in headers if header[0] not in hidden]
    if organisation is not None:
        marked.append((names.organisation, organisation.name.encode()))
    return marked
