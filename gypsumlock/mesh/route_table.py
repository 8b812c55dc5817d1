"""Finds the route of a call by its host and the longest matching path prefix.

A table is built from one configuration version and never changes.
"""

from __future__ import annotations

from collections import defaultdict

from gypsumlock.mesh.model import MeshConfig, RouteSpec, ServiceSpec

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration version, indexed by host and path prefix.

    Parameters
    ----------
    config : MeshConfig
        The configuration version to index.
    """

    __slots__ = ("_routes_by_host", "_service_specs", "config")

    def __init__(self, config: MeshConfig) -> None:
        self.config = config
        routes_by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in config.routes:
            routes_by_host[route.host][route.prefix] = route
        self._routes_by_host = dict(routes_by_host)
        self._service_specs = {service.name: service for service in config.services}

    @property
    def version(self) -> int:
        """Number of the configuration version."""
        return self.config.version

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
