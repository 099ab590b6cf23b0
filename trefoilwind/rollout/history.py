"""History of a move's evidence, divided into blocks of time."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from trefoilwind.rollout import evidence

MAX_BLOCKS = 64
FAILURES = -1


@dataclasses.dataclass(frozen=True)
class SiteCounts:
    """Counts of one route and data centre within a block.

    Attributes:
        old: Counts of the old arm.
        new: Counts of the new arm by target.
    """

    old: evidence.Counter
    new: Mapping[str, evidence.Counter]


@dataclasses.dataclass(frozen=True)
class Tally:
    """Events of one route and data centre within a block.

    Attributes:
        old_calls: Calls of the old arm.
        old_events: Events among them.
        new_calls: Calls of the new arm.
        new_events: Events among them.
        targets: (calls, events) of the new arm by target.
    """

    old_calls: int
    old_events: int
    new_calls: int
    new_events: int
    targets: Mapping[str, tuple[int, int]]


class Block:
    """Calls counted within one period of time."""

    def __init__(
        self, routes: Mapping[evidence.RouteKey, Mapping[str, SiteCounts]]
    ):
        self._routes = routes
        self._tallies: dict[
            tuple[evidence.RouteKey, int], tuple[Tally, ...]
        ] = {}

    @property
    def routes(self) -> Mapping[evidence.RouteKey, Mapping[str, SiteCounts]]:
        """Counts by route, then by data centre."""
        return self._routes

    def tallies(
        self, route: evidence.RouteKey, event: int
    ) -> tuple[Tally, ...]:
        """Return the tallies of a route's data centres.

        Args:
            route: The route.
            event: FAILURES, or the index of the latency edge above which a
                success counts as an event.
        """
        cached = self._tallies.get((route, event))
        if cached is None:
            sites = self._routes.get(route, {}).values()
            cached = tuple(_tally(site, event) for site in sites)
            self._tallies[route, event] = cached
        return cached


def _tally(site: SiteCounts, event: int) -> Tally:
    targets = {
        target: _calls_and_events(counter, event)
        for target, counter in site.new.items()
    }
    return Tally(
        *_calls_and_events(site.old, event),
        sum(calls for calls, _ in targets.values()),
        sum(events for _, events in targets.values()),
        targets,
    )


def _calls_and_events(counter: evidence.Counter, event: int) -> tuple[int, int]:
    if event == FAILURES:
        return counter.calls, counter.failures
    return counter.timed, counter.slower_than(event)


def make_block(cells: Mapping[evidence.Key, evidence.Counter]) -> Block:
    """Return the block that holds the given counters."""
    old: dict[tuple[evidence.RouteKey, str], evidence.Counter] = {}
    new: dict[tuple[evidence.RouteKey, str], dict[str, evidence.Counter]] = {}
    for key, counter in cells.items():
        site_key = (key.route, key.data_centre)
        targets = new.setdefault(site_key, {})
        if key.arm is evidence.Arm.OLD:
            total = old.get(site_key)
            old[site_key] = total.plus(counter) if total else counter
        else:
            targets[key.target] = counter
    routes: dict[evidence.RouteKey, dict[str, SiteCounts]] = {}
    for (route, data_centre), targets in new.items():
        total = old.get((route, data_centre), evidence.Counter())
        routes.setdefault(route, {})[data_centre] = SiteCounts(total, targets)
    return Block(routes)


class History:
    """Blocks of one move; the last one is open and still grows."""

    def __init__(self, block_s: float, now: float):
        self._block_s = block_s
        self._closes_at = now + block_s
        self._base: Mapping[evidence.Key, evidence.Counter] = {}
        self._cells: Mapping[evidence.Key, evidence.Counter] = {}
        self._closed: list[Block] = []
        self._open = Block({})

    @property
    def closed(self) -> Sequence[Block]:
        """Completed blocks, the oldest first."""
        return self._closed

    @property
    def open(self) -> Block:
        """The current block, to which counts are still added."""
        return self._open

    @property
    def cells(self) -> Mapping[evidence.Key, evidence.Counter]:
        """Counters as of the last update."""
        return self._cells

    def update(
        self, now: float, cells: Mapping[evidence.Key, evidence.Counter]
    ) -> None:
        """Update the open block from the counters of the move at `now`."""
        self._cells = cells
        new_counts = self._counts_since_base()
        self._open = make_block(new_counts)
        is_full = len(self._closed) >= MAX_BLOCKS
        if now < self._closes_at or is_full or not new_counts:
            return
        self._closes_at = now + self._block_s
        self._base = cells
        self._closed.append(self._open)
        self._open = Block({})

    def _counts_since_base(self) -> dict[evidence.Key, evidence.Counter]:
        new_counts = {}
        for key, counter in self._cells.items():
            base = self._base.get(key)
            if counter != base:
                new_counts[key] = counter.minus(base) if base else counter
        return new_counts
