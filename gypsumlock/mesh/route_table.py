"""Finds the route of a call by its host and the longest matching path prefix.

Also finds the organisation of a call by the digest of its API key.

A table is built from one configuration version and never changes.
"""

from __future__ import annotations

from collections import defaultdict

from gypsumlock.mesh.model import MeshConfig, Organisation, RouteSpec, ServiceSpec

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration version, indexed by host and path prefix.

    Parameters
    ----------
    config : MeshConfig
        The configuration version to index.
    """

    __slots__ = (
        "_organisations_by_digest",
        "_routes_by_host",
        "_service_specs",
        "config",
    )

    def __init__(self, config: MeshConfig) -> None:
        self.config = config
        routes_by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in config.routes:
            routes_by_host[route.host][route.prefix] = route
        self._routes_by_host = dict(routes_by_host)
        self._service_specs = {service.name: service for service in config.services}
        self._organisations_by_digest = {
            digest: organisation
            for organisation in config.organisations
            for digest in organisation.key_digests
        }

    @property
    def version(self) -> int:
        """Number of the configuration version."""
        return self.config.version

    @property
    def requires_keys(self) -> bool:
        """Whether calls need an API key, except on public routes."""
        return bool(self.config.organisations)

    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that an API key belongs to, or None."""
        return self._organisations_by_digest.get(key_digest)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the specification of a service, or None if there is none."""
        return self._service_specs.get(name)

    def find_route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host without its port.
        path : str
            Path without the query. Prefixes begin and end with a slash.
        """
        routes = self._routes_by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
