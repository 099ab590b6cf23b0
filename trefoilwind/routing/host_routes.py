"""Routing by host and longest path prefix; pure functions."""

from collections.abc import Sequence
import dataclasses

from trefoilwind.model import mesh


@dataclasses.dataclass(frozen=True)
class HostRouteTable:
    """Routes of one configuration version, by host and prefix."""

    version: int = 0
    by_host: dict[str, dict[str, mesh.HostRoute]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def names(self) -> frozenset[str]:
        """Names of all routes."""
        return frozenset(
            route.name
            for routes in self.by_host.values()
            for route in routes.values()
        )

    def match(self, host: str, path: str) -> mesh.HostRoute | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: Host of the request; its port and case are ignored.
            path: Path without query.
        """
        routes = self.by_host.get(host)
        if routes is None:
            routes = self.by_host.get(normalize_host(host))
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_host(host: str) -> str:
    """Return a host in lower case, without its port."""
    return host.partition(":")[0].lower().rstrip(".")


def build(configuration: mesh.MeshConfiguration) -> HostRouteTable:
    """Return the route table of a configuration."""
    by_host: dict[str, dict[str, mesh.HostRoute]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return HostRouteTable(configuration.version, by_host)


def service_at(
    destinations: Sequence[mesh.Destination], fraction: float
) -> str:
    """Return the service at a fraction of the sum of the weights.

    Args:
        destinations: Services that share the calls; at least one.
        fraction: Number from 0 to 1, without 1.
    """
    point = fraction * sum(each.weight for each in destinations)
    for each in destinations:
        point -= each.weight
        if point < 0:
            return each.service
    return destinations[-1].service
