"""Shares of each route's calls that go to the version of an open move."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class RouteShare:
    """Share of one route in one move.

    Attributes:
        move_id: Id of the move.
        service: Service of the route.
        path_prefix: Prefix of the route.
        share: Share of calls, 0 to 1, that go to the move's version.
        calls_left: Calls that this node may still send to the version at
            this stage; -1 for no bound.
    """

    move_id: str
    service: str
    path_prefix: str
    share: float
    calls_left: int = -1


@dataclasses.dataclass(frozen=True)
class ShareTable:
    """Shares of all routes that take part in open moves.

    Attributes:
        entries: One entry per move and route.
        braked: Ids of moves whose version must get no new call.
    """

    entries: tuple[RouteShare, ...] = ()
    braked: frozenset[str] = frozenset()

    @functools.cached_property
    def by_route(self) -> dict[tuple[str, str, str], RouteShare]:
        """Entries by (move id, service, path prefix)."""
        return {
            (entry.move_id, entry.service, entry.path_prefix): entry
            for entry in self.entries
        }
