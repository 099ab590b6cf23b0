"""Pools of candidates, built from the blackboard and kept for a moment."""

import dataclasses
import itertools

from trefoilwind import environment as environment_lib
from trefoilwind.membership import directory
from trefoilwind.model import members as members_lib
from trefoilwind.model import state as state_lib
from trefoilwind.routing import divisions
from trefoilwind.routing import ejection
from trefoilwind.routing import pick
from trefoilwind.routing import table

RAMP_S = 10.0
RAMP_FLOOR = 0.1
OTHER_DATA_CENTRE_WEIGHT = 0.5
MIN_WEIGHT = 0.001
MAX_AGE_S = 0.5
MIN_AGE_S = 0.02

_Key = tuple[str, str, str, str]
_Life = tuple[str, int, str, str]


@dataclasses.dataclass(frozen=True)
class _Sources:
    """Snapshots that a pool was built from, and when."""

    members: directory.Snapshot
    state: state_lib.State
    divisions: divisions.DivisionTable
    generation: int
    built_at: float

    def is_fresh(self, other: "_Sources") -> bool:
        """Return True if a pool built from these may serve at `other`."""
        age_s = other.built_at - self.built_at
        if age_s < MIN_AGE_S and self.generation == other.generation:
            return True
        return (
            age_s < MAX_AGE_S
            and self.members is other.members
            and self.state is other.state
            and self.divisions is other.divisions
            and self.generation == other.generation
        )


class Pools:
    """Pools by service, version, half and class."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        ejector: ejection.Ejector,
    ):
        self._board = environment.blackboard
        self._clock = environment.clock
        self._data_centre = environment.settings.data_centre
        self._region = environment.settings.region
        self._ejector = ejector
        self._pools: dict[_Key, tuple[_Sources, pick.Pool]] = {}
        self._first_seen: dict[_Life, float] = {}
        self._started = self._clock.monotonic()

    def pool(self, entry: table.Entry, split: table.Split) -> pick.Pool:
        """Return the pool of an attempt."""
        key = (entry.service, split.version, split.half, entry.target.name)
        sources = self._sources()
        known = self._pools.get(key)
        if known is not None and known[0].is_fresh(sources):
            return known[1]
        pool = self._build(key, sources)
        # An empty pool is built anew at each call.
        if pool.near.members or pool.far.members:
            self._pools[key] = (sources, pool)
        else:
            self._pools.pop(key, None)
        return pool

    def keep_only_live(self) -> None:
        """Forget the pools and first sights of what is gone."""
        live = {_life(m) for m in self._board.members.value.members}
        for life in [x for x in self._first_seen if x not in live]:
            self._first_seen.pop(life, None)
        self._pools.clear()

    def _sources(self) -> _Sources:
        board = self._board
        return _Sources(
            board.members.value,
            board.state.value,
            board.divisions.value,
            self._ejector.generation,
            self._clock.monotonic(),
        )

    def _build(self, key: _Key, sources: _Sources) -> pick.Pool:
        service, version, half, class_name = key
        configuration = sources.state.configuration
        serving = sources.members.serving(service, version)
        for member in serving:
            self._first_seen.setdefault(
                _life(member), self._first_sight(sources.built_at)
            )
        if half:
            serving = [m for m in serving if m.half(configuration) == half]
        usable = self._ejector.usable(serving, sources.built_at)
        weights = {
            member.node_id: self._division(
                member, half or member.half(configuration), class_name, sources
            )
            for member in usable
        }
        near = [m for m in usable if self._is_near(m, sources)]
        far = [m for m in usable if not self._is_near(m, sources)]
        return pick.Pool(
            self._tier(near, weights, sources.built_at),
            self._tier(far, weights, sources.built_at),
            _near_share(near, far, weights),
        )

    def _first_sight(self, now: float) -> float:
        """Return now, or the past for what was there before this node."""
        is_settling = now - self._started < RAMP_S
        return now - RAMP_S if is_settling else now

    def _division(
        self,
        member: members_lib.Member,
        half: str,
        class_name: str,
        sources: _Sources,
    ) -> float:
        place = (member.service, class_name, half, member.data_centre)
        return sources.divisions.by_place.get(place, 1.0)

    def _is_near(self, member: members_lib.Member, sources: _Sources) -> bool:
        if member.data_centre == self._data_centre:
            return True
        configuration = sources.state.configuration
        return configuration.region(member.data_centre) == self._region

    def _tier(
        self,
        members: list[members_lib.Member],
        divisions_by_node: dict[str, float],
        now: float,
    ) -> pick.Tier:
        weights = [
            self._weight(member, divisions_by_node[member.node_id], now)
            for member in members
        ]
        cumulative = tuple(itertools.accumulate(weights))
        return pick.Tier(tuple(members), cumulative)

    def _weight(
        self, member: members_lib.Member, division: float, now: float
    ) -> float:
        is_own = member.data_centre == self._data_centre
        place = 1.0 if is_own else OTHER_DATA_CENTRE_WEIGHT
        grown = (now - self._first_seen[_life(member)]) / RAMP_S
        ramp = min(1.0, max(RAMP_FLOOR, grown))
        slots = max(1, member.slots)
        return max(MIN_WEIGHT, place * division * ramp * slots)


def _life(member: members_lib.Member) -> _Life:
    return (
        member.node_id,
        member.incarnation,
        member.service,
        member.version,
    )


def _near_share(
    near: list[members_lib.Member],
    far: list[members_lib.Member],
    divisions_by_node: dict[str, float],
) -> float:
    """Return the share of the calls that need not cross the region link."""
    if not near:
        return 0.0
    if not far:
        return 1.0
    total = sum(divisions_by_node[m.node_id] for m in near)
    return min(1.0, total / len(near))
