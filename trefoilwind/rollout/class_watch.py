"""Controller of the divisions: counts own calls and adjusts per class."""

import collections
import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import class_targets
from trefoilwind.routing import divisions

_MAX_QUEUED = 100_000


@dataclasses.dataclass(frozen=True)
class _Work:
    """A class of one service."""

    service: str
    class_name: str


class ClassWatch:
    """Writes the divisions of a node; `observe` is safe for many threads."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._board = environment.blackboard
        self._publish = self._board.divisions.claim("class targets")
        self._queue: collections.deque[calls.Observation] = collections.deque(
            maxlen=_MAX_QUEUED
        )
        self._divisions: dict[_Work, class_targets.Division] = {}
        self._next_at = 0.0

    def observe(self, observation: calls.Observation) -> None:
        """Take what a call saw."""
        self._queue.append(observation)

    def tick(self) -> None:
        """Adjust all divisions once per interval."""
        now = self._environment.clock.monotonic()
        if now < self._next_at:
            return
        self._next_at = now + class_targets.INTERVAL_S
        counts = self._take_counts()
        weights: list[divisions.Weight] = []
        for work in sorted(counts, key=lambda w: (w.service, w.class_name)):
            self._adjust(work, counts[work], now)
        for work, division in self._divisions.items():
            weights += self._weights(work, division)
        table = divisions.DivisionTable(tuple(weights))
        if table != self._board.divisions.value:
            self._publish(table)

    def _take_counts(
        self,
    ) -> dict[_Work, dict[class_targets.Place, collections.Counter[bool]]]:
        configuration = self._board.state.value.configuration
        by_node = self._board.members.value.by_node
        counts: dict[
            _Work, dict[class_targets.Place, collections.Counter[bool]]
        ] = {}
        for _ in range(len(self._queue)):
            seen = self._queue.popleft()
            member = by_node.get(seen.node_id)
            target = configuration.target(seen.class_name)
            if member is None or target is None:
                continue
            place = class_targets.Place(
                member.half(configuration), member.data_centre
            )
            is_fast = seen.latency_s <= target.latency_target_s
            is_good = is_fast and not seen.failed and not seen.shed
            work = _Work(seen.service, seen.class_name)
            places = counts.setdefault(work, {})
            places.setdefault(place, collections.Counter())[is_good] += 1
        return counts

    def _adjust(
        self,
        work: _Work,
        counts: dict[class_targets.Place, collections.Counter[bool]],
        now: float,
    ) -> None:
        target = self._board.state.value.configuration.target(work.class_name)
        old = self._divisions.get(work, class_targets.Division())
        scores = {
            place: self._score(place, servers, counts.get(place))
            for place, servers in self._places(work.service).items()
        }
        self._divisions[work] = class_targets.adjust(old, target, scores, now)

    def _score(
        self,
        place: class_targets.Place,
        servers: int,
        counted: collections.Counter[bool] | None,
    ) -> class_targets.Score:
        found = counted or collections.Counter()
        return class_targets.Score(
            self._is_near(place.data_centre),
            servers,
            found.total(),
            found[True],
        )

    def _is_near(self, data_centre: str) -> bool:
        configuration = self._board.state.value.configuration
        return (
            configuration.region(data_centre)
            == self._environment.settings.region
        )

    def _places(self, service: str) -> dict[class_targets.Place, int]:
        configuration = self._board.state.value.configuration
        places: collections.Counter[class_targets.Place] = collections.Counter()
        for member in self._board.members.value.members:
            if member.service == service and not member.leaving:
                half = member.half(configuration)
                place = class_targets.Place(half, member.data_centre)
                places[place] += 1
        return dict(places)

    def _weights(
        self, work: _Work, division: class_targets.Division
    ) -> list[divisions.Weight]:
        return [
            divisions.Weight(
                work.service,
                work.class_name,
                place.half,
                place.data_centre,
                division.weight(place),
            )
            for place in self._places(work.service)
            if self._is_near(place.data_centre)
            and abs(division.weight(place) - 1.0) > 1e-3
        ]
