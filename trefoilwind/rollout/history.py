"""History of a move's evidence, cut into blocks of time."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from trefoilwind.rollout import evidence

MAX_BLOCKS = 64
FAILURES = -1


@dataclasses.dataclass(frozen=True)
class Site:
    """What the calls of one route and data centre saw within a block.

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
    """What was newly counted within a stretch of time."""

    def __init__(self, routes: Mapping[evidence.RouteKey, Mapping[str, Site]]):
        self._routes = routes
        self._tallies: dict[
            tuple[evidence.RouteKey, int], tuple[Tally, ...]
        ] = {}

    @property
    def routes(self) -> Mapping[evidence.RouteKey, Mapping[str, Site]]:
        """Sites by data centre, by route."""
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
        known = self._tallies.get((route, event))
        if known is None:
            sites = self._routes.get(route, {}).values()
            known = tuple(_tally(site, event) for site in sites)
            self._tallies[route, event] = known
        return known


def _tally(site: Site, event: int) -> Tally:
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
    """Return a block of counters."""
    old: dict[tuple[evidence.RouteKey, str], evidence.Counter] = {}
    new: dict[tuple[evidence.RouteKey, str], dict[str, evidence.Counter]] = {}
    for key, counter in cells.items():
        place = (key.route, key.data_centre)
        targets = new.setdefault(place, {})
        if key.arm is evidence.Arm.OLD:
            total = old.get(place)
            old[place] = total.plus(counter) if total else counter
        else:
            targets[key.target] = counter
    routes: dict[evidence.RouteKey, dict[str, Site]] = {}
    for (route, data_centre), targets in new.items():
        total = old.get((route, data_centre), evidence.Counter())
        routes.setdefault(route, {})[data_centre] = Site(total, targets)
    return Block(routes)


class History:
    """Blocks of one move; the last one is still open."""

    def __init__(self, block_s: float, now: float):
        self._block_s = block_s
        self._closes_at = now + block_s
        self._base: Mapping[evidence.Key, evidence.Counter] = {}
        self._cells: Mapping[evidence.Key, evidence.Counter] = {}
        self._closed: list[Block] = []
        self._open = Block({})

    @property
    def closed(self) -> Sequence[Block]:
        """Blocks that change no more, the oldest first."""
        return self._closed

    @property
    def open(self) -> Block:
        """The block that still grows."""
        return self._open

    @property
    def cells(self) -> Mapping[evidence.Key, evidence.Counter]:
        """Counters as of the last update."""
        return self._cells

    def update(
        self, now: float, cells: Mapping[evidence.Key, evidence.Counter]
    ) -> None:
        """Take the counters of the move as they stand at `now`."""
        self._cells = cells
        fresh = self._fresh()
        self._open = make_block(fresh)
        is_full = len(self._closed) >= MAX_BLOCKS
        if now < self._closes_at or is_full or not fresh:
            return
        self._closes_at = now + self._block_s
        self._base = cells
        self._closed.append(self._open)
        self._open = Block({})

    def _fresh(self) -> dict[evidence.Key, evidence.Counter]:
        fresh = {}
        for key, counter in self._cells.items():
            base = self._base.get(key)
            if counter != base:
                fresh[key] = counter.minus(base) if base else counter
        return fresh
