"""Find the route of a request."""

from random import Random

from bramleyport.core import ServiceName
from bramleyport.fleet._types import Configuration, Route


class RouteTable:
    """Map hosts and path prefixes to the routes of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches."""
        name = host.partition(":")[0].strip().lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, random: Random) -> ServiceName:
    """Choose one of a route's services at random by weight."""
    shares = route.services
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0.0, share.weight) for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
