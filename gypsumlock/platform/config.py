"""Decodes the operator's configuration.

Everything stands in one list, `resources`; its `resource_type` says what an entry
is, and its `spec` holds the fields of that kind. Entries of other kinds are
ignored.
"""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["decode_config"]

# Kinds whose calls may run more than once.
REPEATABLE_KINDS = frozenset({"idempotent", "download"})
# Latency target and rank of a route that states none.
DEFAULT_RANK = 1
DEFAULT_ATTEMPTS = 1
# A version is written as this letter and a number.
VERSION_PREFIX = "r"


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Entry(msgspec.Struct, frozen=True):
    resource_type: str
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Document(msgspec.Struct, frozen=True):
    version: str
    resources: list[_Entry]


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    # Says what may be repeated: idempotent, non_idempotent or download.
    route_kind: str
    timeout_s: float
    target_latency_s: float | None = None
    # The rank; 0 is the most urgent.
    priority: int = DEFAULT_RANK
    max_attempts: int = DEFAULT_ATTEMPTS
    # Exactly one of these says where calls go.
    service: str | None = None
    weighted_clusters: list[_Part] | None = None


class _Service(msgspec.Struct, frozen=True):
    health_path: str = "/healthz"
    max_conns: int = 100


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


_DECODER = msgspec.json.Decoder(_Document)


def decode_config(value: bytes) -> Result[MeshConfig, Fault]:
    """Decode a whole version, or refuse it whole.

    Returns
    -------
    Result[MeshConfig, Fault]
        The version, or `PLATFORM_BAD_MESSAGE`.
    """
    try:
        return Ok(_decode(value))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        found = f"configuration can't be decoded: {error}"
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, found))


def _decode(value: bytes) -> MeshConfig:
    document = _DECODER.decode(value)
    routes: list[RouteSpec] = []
    services: list[ServiceSpec] = []
    limits: ClientLimits | None = None
    for entry in document.resources:
        name = entry.metadata.name
        if entry.resource_type == "routes":
            routes.append(_route(name, msgspec.json.decode(entry.spec, type=_Route)))
        elif entry.resource_type == "services":
            service = msgspec.json.decode(entry.spec, type=_Service)
            services.append(ServiceSpec(name, service.health_path, service.max_conns))
        elif entry.resource_type == "limits":
            found = msgspec.json.decode(entry.spec, type=_Limits)
            limits = ClientLimits(
                found.max_header_bytes,
                found.max_body_bytes,
                found.header_timeout_s,
                found.idle_timeout_s,
            )
    if limits is None:
        raise ValueError("there are no limits")
    return MeshConfig(
        _version(document.version), tuple(routes), tuple(services), limits
    )


def _route(name: str, spec: _Route) -> RouteSpec:
    if spec.service is not None:
        shares: tuple[ServiceShare, ...] = (ServiceShare(spec.service, 1.0),)
    else:
        parts = spec.weighted_clusters or []
        shares = tuple(ServiceShare(part.service, part.weight) for part in parts)
    if not shares or sum(share.weight for share in shares) <= 0:
        raise ValueError(f"route {name} goes to no service")
    target_s = spec.target_latency_s
    return RouteSpec(
        name=name,
        host=spec.host,
        prefix=spec.prefix,
        repeatable=spec.route_kind in REPEATABLE_KINDS,
        timeout_s=spec.timeout_s,
        target_latency_s=spec.timeout_s if target_s is None else target_s,
        rank=spec.priority,
        max_attempts=max(1, spec.max_attempts),
        shares=shares,
    )


def _version(text: str) -> int:
    if not text.startswith(VERSION_PREFIX):
        raise ValueError(f"found version {text!r}, allowed: r and a number")
    return int(text.removeprefix(VERSION_PREFIX))
