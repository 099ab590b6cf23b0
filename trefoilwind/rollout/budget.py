"""Bound on the calls that a node sends to the new arm of a move."""

import collections
import math
import random
import threading

from trefoilwind.rollout import shares
from trefoilwind.routing import pick
from trefoilwind.routing import table as routing_table

WINDOW_S = 5.0
MIN_CALLS_PER_WINDOW = 3
# Growth of the traffic within a window that the bound lets through.
_HEADROOM = 2.0


def calls_per_window(share: float, calls_in_last_window: int) -> int:
    """Return the calls of a node that may go to the new arm in a window.

    Args:
        share: Share of the calls for the new arm.
        calls_in_last_window: Calls of both arms in the window before.
    """
    expected = math.ceil(_HEADROOM * share * calls_in_last_window)
    return max(MIN_CALLS_PER_WINDOW, expected)


class CallBudget:
    """Counts calls to the new arm. Safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._window = -1
        self._used: collections.Counter[tuple[str, str, str, str]] = (
            collections.Counter()
        )

    def take(self, table: shares.ShareTable, entry: shares.RouteShare) -> bool:
        """Return True and count a call if the bound allows one more.

        Args:
            table: Shares in force.
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
        """Return the split for one attempt, within shares and bounds.

        Args:
            table: Shares in force.
            route: Route of the call.
            rng: Source of random numbers.
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
            is_allowed = self.take(table, entry)
        others = tuple(s for s in route.splits if not s.move_id)
        if is_allowed or not others:
            return split
        return others[0]
