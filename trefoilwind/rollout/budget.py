"""Limit on the calls that a node sends to the new arm of a move."""

import collections
import math
import random
import threading

from trefoilwind.rollout import shares
from trefoilwind.routing import pick
from trefoilwind.routing import table as routing_table

WINDOW_S = 5.0
MIN_CALLS_PER_WINDOW = 3
# The limit allows for traffic that grows by this factor between windows.
_HEADROOM_FACTOR = 2.0


def calls_per_window(share: float, calls_in_last_window: int) -> int:
    """Return how many calls a node may send to the new arm in a window.

    Args:
        share: Share of the calls for the new arm, 0 to 1.
        calls_in_last_window: Calls of both arms in the previous window.
    """
    expected = math.ceil(_HEADROOM_FACTOR * share * calls_in_last_window)
    return max(MIN_CALLS_PER_WINDOW, expected)


class CallBudget:
    """Limits the calls to the new arm per window; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._window = -1
        self._used: collections.Counter[tuple[str, str, str, str]] = (
            collections.Counter()
        )

    def try_acquire(
        self, table: shares.ShareTable, entry: shares.RouteShare
    ) -> bool:
        """Count one call and return True if the limit is not reached.

        Args:
            table: Current shares.
            entry: The route's entry in the table.
        """
        if entry.calls_left < 0:
            return True
        key = (
            entry.move_id,
            entry.service,
            entry.path_prefix,
            entry.class_name,
        )
        with self._lock:
            if table.window != self._window:
                self._window = table.window
                self._used.clear()
            if self._used[key] >= entry.calls_left:
                return False
            self._used[key] += 1
            return True

    def choose(
        self,
        table: shares.ShareTable,
        route: routing_table.Entry,
        rng: random.Random,
    ) -> routing_table.Split | None:
        """Return the split for one attempt, within shares and limits.

        If the route has no other split, that of the move is returned in any
        case.

        Args:
            table: Current shares.
            route: Route of the call.
            rng: Random number generator.
        """
        split = pick.choose_split(route.splits, rng)
        if split is None or not split.move_id:
            return split
        key = (
            split.move_id,
            route.service,
            route.path_prefix,
            route.target.name,
        )
        entry = table.by_route.get(key)
        if split.move_id in table.braked or entry is None:
            is_allowed = False
        else:
            is_allowed = self.try_acquire(table, entry)
        others = tuple(s for s in route.splits if not s.move_id)
        if is_allowed or not others:
            return split
        return others[0]
