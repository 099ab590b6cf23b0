"""Share of each route's calls that is sent to the version of an open move."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class RouteShare:
    """Share of one route in one move.

    Attributes:
        move_id: Id of the move.
        service: Service of the route.
        path_prefix: Prefix of the route.
        class_name: Class of the route's calls.
        share: Share of calls, 0 to 1, that is sent to the move's version.
        calls_left: Calls that this node may send to the version within the
            window; -1 for no limit.
    """

    move_id: str
    service: str
    path_prefix: str
    class_name: str
    share: float
    calls_left: int = -1


@dataclasses.dataclass(frozen=True)
class ShareTable:
    """Shares of all routes that belong to open moves.

    Attributes:
        entries: One entry per move and route.
        braked: Ids of moves whose version must receive no new calls.
        window: Number of the window to which the limits on calls apply.
    """

    entries: tuple[RouteShare, ...] = ()
    braked: frozenset[str] = frozenset()
    window: int = 0

    @functools.cached_property
    def by_route(self) -> dict[tuple[str, str, str, str], RouteShare]:
        """Entries by (move id, service, path prefix, class)."""
        return {
            (
                entry.move_id,
                entry.service,
                entry.path_prefix,
                entry.class_name,
            ): entry
            for entry in self.entries
        }
