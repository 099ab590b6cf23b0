"""Choice of the keepers of a key, over live and recently lost members."""

import dataclasses
import heapq

import xxhash

from trefoilwind.membership import directory

KEEPERS = 3
PARTITIONS = 256
SETTLE_S = 5.0
_HASH_MASK = 2**64 - 1
_HASH_FACTOR = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True, slots=True)
class Keeper:
    """One life of a node; a restarted node has lost its records."""

    node_id: str
    incarnation: int
    data_centre: str


class View:
    """Members at one time; keepers are computed at their first use."""

    def __init__(self, members: tuple[Keeper, ...]):
        self._members = members
        self._cache: dict[int, tuple[Keeper, ...]] = {}
        self._by_place: dict[str, list[tuple[int, Keeper]]] = {}
        for keeper in members:
            name = f"{keeper.node_id}/{keeper.incarnation}"
            ranked = (xxhash.xxh64_intdigest(name.encode()), keeper)
            self._by_place.setdefault(keeper.data_centre, []).append(ranked)

    @property
    def members(self) -> tuple[Keeper, ...]:
        """Nodes that may keep keys."""
        return self._members

    def keepers(self, partition: int) -> tuple[Keeper, ...]:
        """Return the keepers of a partition by rendezvous hashing.

        The first ranks win, but as many data centres as there are take part
        before one of them gives a second keeper.
        """
        known = self._cache.get(partition)
        if known is None:
            known = self._choose(partition)
            self._cache[partition] = known
        return known

    def _choose(self, partition: int) -> tuple[Keeper, ...]:
        seed = xxhash.xxh64_intdigest(str(partition).encode())
        best: list[tuple[int, Keeper]] = []
        others: list[tuple[int, Keeper]] = []
        for place in self._by_place.values():
            first, *rest = _highest(place, seed)
            best.append(first)
            others.extend(rest)
        chosen = _highest(best, None)
        if len(chosen) < KEEPERS:
            chosen += _highest(others, None)[: KEEPERS - len(chosen)]
        return tuple(keeper for _, keeper in chosen)


def _highest(
    ranked: list[tuple[int, Keeper]], seed: int | None
) -> list[tuple[int, Keeper]]:
    """Return the few highest ranks; a seed makes ranks of base hashes."""
    if seed is not None:
        ranked = [
            ((base ^ seed) * _HASH_FACTOR & _HASH_MASK, keeper)
            for base, keeper in ranked
        ]
    return heapq.nlargest(KEEPERS, ranked, key=lambda pair: pair[0])


@dataclasses.dataclass(frozen=True)
class _Past:
    """An earlier view and the monotonic time until which it counts."""

    view: View
    until: float


class Placement:
    """Present view and those that a claim must still agree with.

    After each change the earlier view counts for `SETTLE_S`, in which records
    are handed over. A node that was lost, not stopped as planned, stays in
    the view for the life of a key: it may go on beyond a cut link, and both
    sides of the cut must not find majorities of their own.
    """

    def __init__(self, lifetime_s: float):
        self._lifetime_s = lifetime_s
        self._view = View(())
        self._seen: directory.Snapshot | None = None
        self._past: tuple[_Past, ...] = ()
        self._live: frozenset[Keeper] = frozenset()
        self._lost: dict[Keeper, float] = {}

    @property
    def view(self) -> View:
        """Present view."""
        return self._view

    def update(self, snapshot: directory.Snapshot, now: float) -> View | None:
        """Take a snapshot; return the earlier view if the view changed."""
        self._past = tuple(p for p in self._past if p.until > now)
        if snapshot is self._seen and not self._lost:
            return None
        self._seen = snapshot
        live = frozenset(
            Keeper(m.node_id, m.incarnation, m.data_centre)
            for m in snapshot.members
            if not m.leaving
        )
        self._count_lost(snapshot, live, now)
        present = live.union(self._lost)
        if present == frozenset(self._view.members):
            return None
        earlier = self._view
        ordered = sorted(present, key=lambda k: (k.node_id, k.incarnation))
        self._view = View(tuple(ordered))
        if earlier.members:
            past = _Past(earlier, now + SETTLE_S)
            self._past = (*self._past, past)
        return earlier

    def keeper_sets(
        self, key: str, now: float
    ) -> tuple[tuple[Keeper, ...], ...]:
        """Return the keepers of a key in each view that counts."""
        partition = partition_of(key)
        sets = [self._view.keepers(partition)]
        for past in self._past:
            keepers = past.view.keepers(partition)
            if past.until > now and keepers not in sets:
                sets.append(keepers)
        return tuple(sets)

    def _count_lost(
        self,
        snapshot: directory.Snapshot,
        live: frozenset[Keeper],
        now: float,
    ) -> None:
        leaving = {
            (m.node_id, m.incarnation) for m in snapshot.members if m.leaving
        }
        for keeper in self._live - live:
            if (keeper.node_id, keeper.incarnation) not in leaving:
                self._lost[keeper] = now + self._lifetime_s
        self._live = live
        self._lost = {
            keeper: until
            for keeper, until in self._lost.items()
            if until > now and keeper not in live
        }


def partition_of(key: str) -> int:
    """Return the partition of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % PARTITIONS
