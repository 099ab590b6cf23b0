"""Pools of candidates, built from the blackboard and cached briefly."""

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
MIN_RAMP = 0.1
OTHER_DATA_CENTRE_WEIGHT = 0.5
MIN_WEIGHT = 0.001
MAX_POOL_AGE_S = 0.5
MIN_POOL_AGE_S = 0.02

_Key = tuple[str, str, str, str]
_MemberKey = tuple[str, int, str, str]


@dataclasses.dataclass(frozen=True)
class _Sources:
    """Snapshots that a pool was built from, and the time of the build."""

    members: directory.Snapshot
    state: state_lib.State
    divisions: divisions.DivisionTable
    generation: int
    built_at: float

    def is_fresh(self, other: "_Sources") -> bool:
        """Return True if a pool built from these is valid for `other`."""
        age_s = other.built_at - self.built_at
        if age_s < MIN_POOL_AGE_S and self.generation == other.generation:
            return True
        return (
            age_s < MAX_POOL_AGE_S
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
        self._ramp_started_at: dict[_MemberKey, float] = {}
        self._started = self._clock.monotonic()

    def pool(self, entry: table.Entry, split: table.Split) -> pick.Pool:
        """Return the pool of an attempt."""
        key = (entry.service, split.version, split.half, entry.target.name)
        sources = self._sources()
        cached = self._pools.get(key)
        if cached is not None and cached[0].is_fresh(sources):
            return cached[1]
        pool = self._build(key, sources)
        # An empty pool is not cached but rebuilt at each call.
        if pool.local.members or pool.remote.members:
            self._pools[key] = (sources, pool)
        else:
            self._pools.pop(key, None)
        return pool

    def keep_only_live(self) -> None:
        """Clear all pools; remove the ramp starts of lost members."""
        live_keys = {_member_key(m) for m in self._board.members.value.members}
        for key in [x for x in self._ramp_started_at if x not in live_keys]:
            self._ramp_started_at.pop(key, None)
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
            self._ramp_started_at.setdefault(
                _member_key(member), self._ramp_start(sources.built_at)
            )
        if half:
            serving = [m for m in serving if m.half(configuration) == half]
        usable = self._ejector.usable(serving, sources.built_at)
        weights = {
            member.node_id: self._division_weight(
                member, half or member.half(configuration), class_name, sources
            )
            for member in usable
        }
        local = [m for m in usable if self._is_local(m, sources)]
        remote = [m for m in usable if not self._is_local(m, sources)]
        return pick.Pool(
            self._tier(local, weights, sources.built_at),
            self._tier(remote, weights, sources.built_at),
            _local_share(local, remote, weights),
        )

    def _ramp_start(self, now: float) -> float:
        """Return the time from which a new member's weight ramps up.

        Members found while this node starts up count as fully ramped up.
        """
        is_starting = now - self._started < RAMP_S
        return now - RAMP_S if is_starting else now

    def _division_weight(
        self,
        member: members_lib.Member,
        half: str,
        class_name: str,
        sources: _Sources,
    ) -> float:
        place = (member.service, class_name, half, member.data_centre)
        return sources.divisions.by_place.get(place, 1.0)

    def _is_local(self, member: members_lib.Member, sources: _Sources) -> bool:
        if member.data_centre == self._data_centre:
            return True
        configuration = sources.state.configuration
        return configuration.region(member.data_centre) == self._region

    def _tier(
        self,
        members: list[members_lib.Member],
        division_weights: dict[str, float],
        now: float,
    ) -> pick.Tier:
        weights = [
            self._weight(member, division_weights[member.node_id], now)
            for member in members
        ]
        cumulative = tuple(itertools.accumulate(weights))
        return pick.Tier(tuple(members), cumulative)

    def _weight(
        self, member: members_lib.Member, division: float, now: float
    ) -> float:
        is_own = member.data_centre == self._data_centre
        locality = 1.0 if is_own else OTHER_DATA_CENTRE_WEIGHT
        ramp_progress = (
            now - self._ramp_started_at[_member_key(member)]
        ) / RAMP_S
        ramp = min(1.0, max(MIN_RAMP, ramp_progress))
        slots = max(1, member.slots)
        return max(MIN_WEIGHT, locality * division * ramp * slots)


def _member_key(member: members_lib.Member) -> _MemberKey:
    return (
        member.node_id,
        member.incarnation,
        member.service,
        member.version,
    )


def _local_share(
    local: list[members_lib.Member],
    remote: list[members_lib.Member],
    division_weights: dict[str, float],
) -> float:
    """Return the share of the calls that stay in the own region."""
    if not local:
        return 0.0
    if not remote:
        return 1.0
    total = sum(division_weights[m.node_id] for m in local)
    return min(1.0, total / len(local))
