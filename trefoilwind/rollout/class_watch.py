"""Controller that adjusts the divisions from this node's own calls."""

import collections
import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import class_targets
from trefoilwind.routing import divisions

_MAX_QUEUED = 100_000


@dataclasses.dataclass(frozen=True)
class _ServiceClass:
    """A class of one service."""

    service: str
    class_name: str


class ClassWatch:
    """Publishes the divisions of a node; `observe` is thread-safe."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._board = environment.blackboard
        self._publish = self._board.divisions.claim("class targets")
        self._queue: collections.deque[calls.Observation] = collections.deque(
            maxlen=_MAX_QUEUED
        )
        self._divisions: dict[_ServiceClass, class_targets.Division] = {}
        self._next_at = 0.0

    def observe(self, observation: calls.Observation) -> None:
        """Queue the observation of a call."""
        self._queue.append(observation)

    def tick(self) -> None:
        """Adjust all divisions once per interval."""
        now = self._environment.clock.monotonic()
        if now < self._next_at:
            return
        self._next_at = now + class_targets.INTERVAL_S
        counts = self._drain_counts()
        weights: list[divisions.Weight] = []
        for service_class in sorted(
            counts, key=lambda each: (each.service, each.class_name)
        ):
            self._adjust(service_class, counts[service_class], now)
        for service_class, division in self._divisions.items():
            weights += self._weights(service_class, division)
        table = divisions.DivisionTable(tuple(weights))
        if table != self._board.divisions.value:
            self._publish(table)

    def _drain_counts(
        self,
    ) -> dict[
        _ServiceClass, dict[class_targets.Locality, collections.Counter[bool]]
    ]:
        configuration = self._board.state.value.configuration
        by_node = self._board.members.value.by_node
        counts: dict[
            _ServiceClass,
            dict[class_targets.Locality, collections.Counter[bool]],
        ] = {}
        for _ in range(len(self._queue)):
            observation = self._queue.popleft()
            member = by_node.get(observation.node_id)
            target = configuration.target(observation.class_name)
            if member is None or target is None:
                continue
            locality = class_targets.Locality(
                member.half(configuration), member.data_centre
            )
            is_fast = observation.latency_s <= target.latency_target_s
            is_good = (
                is_fast and not observation.failed and not observation.shed
            )
            service_class = _ServiceClass(
                observation.service, observation.class_name
            )
            localities = counts.setdefault(service_class, {})
            localities.setdefault(locality, collections.Counter())[is_good] += 1
        return counts

    def _adjust(
        self,
        service_class: _ServiceClass,
        counts: dict[class_targets.Locality, collections.Counter[bool]],
        now: float,
    ) -> None:
        target = self._board.state.value.configuration.target(
            service_class.class_name
        )
        old = self._divisions.get(service_class, class_targets.Division())
        scores = {
            locality: self._score(locality, servers, counts.get(locality))
            for locality, servers in self._localities(
                service_class.service
            ).items()
        }
        self._divisions[service_class] = class_targets.adjust(
            old, target, scores, now
        )

    def _score(
        self,
        locality: class_targets.Locality,
        servers: int,
        counted: collections.Counter[bool] | None,
    ) -> class_targets.Score:
        found = counted or collections.Counter()
        return class_targets.Score(
            self._is_local(locality.data_centre),
            servers,
            found.total(),
            found[True],
        )

    def _is_local(self, data_centre: str) -> bool:
        configuration = self._board.state.value.configuration
        return (
            configuration.region(data_centre)
            == self._environment.settings.region
        )

    def _localities(self, service: str) -> dict[class_targets.Locality, int]:
        configuration = self._board.state.value.configuration
        localities: collections.Counter[class_targets.Locality] = (
            collections.Counter()
        )
        for member in self._board.members.value.members:
            if member.service == service and not member.leaving:
                half = member.half(configuration)
                locality = class_targets.Locality(half, member.data_centre)
                localities[locality] += 1
        return dict(localities)

    def _weights(
        self, service_class: _ServiceClass, division: class_targets.Division
    ) -> list[divisions.Weight]:
        return [
            divisions.Weight(
                service_class.service,
                service_class.class_name,
                locality.half,
                locality.data_centre,
                division.weight(locality),
            )
            for locality in self._localities(service_class.service)
            if self._is_local(locality.data_centre)
            and abs(division.weight(locality) - 1.0) > 1e-3
        ]
