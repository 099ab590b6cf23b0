"""Division of the calls of a route among services by weight.

Answers a route with weights whose calls arrive at many nodes, few at each. A
random choice for each call deviates by several percent over a few hundred
calls. Here each node goes through the fractions of the weights by steps of the
golden ratio, from a random start, so that its own calls are divided as evenly
as their number allows, and the deviations of the nodes cancel out.
"""

from collections.abc import Callable
from collections.abc import Collection

from trefoilwind.model import mesh
from trefoilwind.routing import host_routes

# Fractional part of the golden ratio: the multiples of this number modulo 1
# spread evenly, however many of them are taken.
_STEP = 0.6180339887498949


class WeightedChoice:
    """Chooses the service of each call; keeps the position of each route."""

    def __init__(self, draw: Callable[[], float]):
        """Initialize the choice.

        Args:
            draw: Returns a random number from 0 to 1, without 1.
        """
        self._draw = draw
        # Latest fraction by route.
        self._fractions: dict[str, float] = {}
        self._version = 0

    def copy(self, draw: Callable[[], float]) -> "WeightedChoice":
        """Return a copy with the same positions and its own random numbers."""
        copied = WeightedChoice(draw)
        copied._fractions = dict(self._fractions)
        copied._version = self._version
        return copied

    def choose(
        self,
        route: mesh.HostRoute,
        version: int,
        names: Callable[[], Collection[str]] = tuple,
    ) -> str:
        """Return the service for the next call on a route.

        Args:
            route: The route.
            version: Version of the configuration.
            names: Returns the names of its routes. With another version than
                before, the others start anew; so no position of a dropped
                route is kept.
        """
        if len(route.destinations) == 1:
            return route.destinations[0].service
        if version != self._version:
            self._version = version
            kept = names()
            self._fractions = {
                name: fraction
                for name, fraction in self._fractions.items()
                if name in kept
            }
        last = self._fractions.get(route.name)
        fraction = self._draw() if last is None else (last + _STEP) % 1.0
        self._fractions[route.name] = fraction
        return host_routes.service_at(route.destinations, fraction)
