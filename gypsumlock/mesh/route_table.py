"""Finds the route of a call: the longest prefix of the call's host.

A table is built from one configuration version and never changes.
"""

from __future__ import annotations

from collections import defaultdict

from gypsumlock.mesh.model import MeshConfig, RouteSpec, ServiceSpec

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one version, indexed by host and prefix.

    Parameters
    ----------
    config : MeshConfig
        The version to index.
    """

    __slots__ = ("_by_host", "_services", "config")

    def __init__(self, config: MeshConfig) -> None:
        self.config = config
        by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in config.routes:
            by_host[route.host][route.prefix] = route
        self._by_host = dict(by_host)
        self._services = {service.name: service for service in config.services}

    @property
    def version(self) -> int:
        """Number of the version."""
        return self.config.version

    def service(self, name: str) -> ServiceSpec | None:
        """Return what the version says of a service."""
        return self._services.get(name)

    def route_of(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host without its port.
        path : str
            Path without the query. Prefixes begin and end with a slash.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
