"""Decodes the operator's configuration document.

The document has a single list, `resources`. The `resource_type` of a resource names its
type, and its `spec` holds the fields of that type. Resources of unknown types are
ignored.
"""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from gypsumlock.mesh.field_types import (
    DECODE_ERRORS,
    Count,
    Duration,
    HealthPath,
    Rank,
    Weight,
)
from gypsumlock.mesh.model import (
    ClientLimits,
    MeshConfig,
    Organisation,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
)
from gypsumlock.platform.tenants import (
    InvalidOrganisation,
    check_organisations,
    decode_organisation,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["decode_config"]

# Values of `route_kind` whose calls may be executed more than once.
REPEATABLE_ROUTE_KINDS = frozenset({"idempotent", "download"})
# Rank and maximum number of attempts of a route that specifies none. Its latency target
# defaults to its timeout.
DEFAULT_RANK = 1
DEFAULT_MAX_ATTEMPTS = 1
# A version is encoded as this letter followed by a number, such as `r7`.
VERSION_PREFIX = "r"
MAX_VERSION_DIGITS = 18


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True):
    resource_type: str
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _ConfigDocument(msgspec.Struct, frozen=True):
    version: str
    resources: list[_Resource]


class _WeightedCluster(msgspec.Struct, frozen=True):
    service: str
    weight: Weight


class _Route(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    # `idempotent`, `non_idempotent` or `download`; determines whether a call may be
    # executed more than once.
    route_kind: str
    timeout_s: Duration
    target_latency_s: Duration | None = None
    # Rank of the route; 0 is the most urgent.
    priority: Rank = DEFAULT_RANK
    max_attempts: Count = DEFAULT_MAX_ATTEMPTS
    # True if calls need no API key.
    public: bool = False
    # Destination of calls: exactly one of `service` and `weighted_clusters` is set.
    service: str | None = None
    weighted_clusters: list[_WeightedCluster] | None = None


class _Service(msgspec.Struct, frozen=True):
    health_path: HealthPath = "/healthz"
    max_conns: Count = 100


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_s: Duration
    idle_timeout_s: Duration


_DOCUMENT_DECODER = msgspec.json.Decoder(_ConfigDocument)


def decode_config(value: bytes) -> Result[MeshConfig, Fault]:
    """Decode one version of the configuration.

    An error in any part rejects the whole version.

    Returns
    -------
    Result[MeshConfig, Fault]
        The version, or `PLATFORM_BAD_MESSAGE`, `CONFIG_DUPLICATE_NAME`,
        `CONFIG_DUPLICATE_KEY` or `CONFIG_BAD_QUOTA`.
    """
    try:
        return Ok(_decode_document(value))
    except InvalidOrganisation as error:
        return Err(error.fault)
    except (*DECODE_ERRORS, ValueError) as error:
        detail = f"configuration can't be decoded: {error}"
        return Err(Fault(ResultCode.PLATFORM_BAD_MESSAGE, detail))


def _decode_document(value: bytes) -> MeshConfig:
    document = _DOCUMENT_DECODER.decode(value)
    routes: list[RouteSpec] = []
    services: list[ServiceSpec] = []
    organisations: list[Organisation] = []
    limits: ClientLimits | None = None
    for resource in document.resources:
        name = resource.metadata.name
        if resource.resource_type == "routes":
            routes.append(
                _convert_route(name, msgspec.json.decode(resource.spec, type=_Route))
            )
        elif resource.resource_type == "services":
            service = msgspec.json.decode(resource.spec, type=_Service)
            services.append(ServiceSpec(name, service.health_path, service.max_conns))
        elif resource.resource_type == "tenants":
            organisations.append(decode_organisation(name, resource.spec))
        elif resource.resource_type == "limits":
            limits_spec = msgspec.json.decode(resource.spec, type=_Limits)
            limits = ClientLimits(
                limits_spec.max_header_bytes,
                limits_spec.max_body_bytes,
                limits_spec.header_timeout_s,
                limits_spec.idle_timeout_s,
            )
    if limits is None:
        raise ValueError("configuration has no limits resource")
    check_organisations(organisations)
    return MeshConfig(
        _parse_version(document.version),
        tuple(routes),
        tuple(services),
        limits,
        tuple(organisations),
    )


def _convert_route(name: str, spec: _Route) -> RouteSpec:
    if spec.service is not None:
        shares: tuple[ServiceShare, ...] = (ServiceShare(spec.service, 1.0),)
    else:
        clusters = spec.weighted_clusters or []
        shares = tuple(
            ServiceShare(cluster.service, cluster.weight) for cluster in clusters
        )
    if not shares or sum(share.weight for share in shares) <= 0:
        raise ValueError(f"route {name} has no service with a positive weight")
    target_s = spec.target_latency_s
    return RouteSpec(
        name=name,
        host=spec.host,
        prefix=spec.prefix,
        repeatable=spec.route_kind in REPEATABLE_ROUTE_KINDS,
        timeout_s=spec.timeout_s,
        target_latency_s=spec.timeout_s if target_s is None else target_s,
        rank=spec.priority,
        max_attempts=max(1, spec.max_attempts),
        shares=shares,
        public=spec.public,
    )


def _parse_version(text: str) -> int:
    if not text.startswith(VERSION_PREFIX):
        raise ValueError(f"invalid version {text!r}, expected r followed by a number")
    digits = text.removeprefix(VERSION_PREFIX)
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_VERSION_DIGITS:
        raise ValueError(f"invalid version {text[:40]!r}")
    return int(digits)
