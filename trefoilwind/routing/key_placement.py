"""Choice of a key's keepers among live and recently lost members."""

import dataclasses
import heapq

import xxhash

from trefoilwind.membership import directory

KEEPERS = 3
PARTITIONS = 256
HANDOVER_S = 5.0
_HASH_MASK = 2**64 - 1
_HASH_FACTOR = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True, slots=True)
class Keeper:
    """One incarnation of a node; a restart loses the node's records."""

    node_id: str
    incarnation: int
    data_centre: str


class View:
    """Members at one point in time; keepers are computed on first use."""

    def __init__(self, members: tuple[Keeper, ...]):
        self._members = members
        self._cache: dict[int, tuple[Keeper, ...]] = {}
        self._by_data_centre: dict[str, list[tuple[int, Keeper]]] = {}
        for keeper in members:
            name = f"{keeper.node_id}/{keeper.incarnation}"
            ranked = (xxhash.xxh64_intdigest(name.encode()), keeper)
            self._by_data_centre.setdefault(keeper.data_centre, []).append(
                ranked
            )

    @property
    def members(self) -> tuple[Keeper, ...]:
        """Nodes that may be chosen as keepers."""
        return self._members

    def keepers(self, partition: int) -> tuple[Keeper, ...]:
        """Return the keepers of a partition by rendezvous hashing.

        The highest ranks are chosen, but a data centre provides a second
        keeper only if there are fewer data centres than keepers.
        """
        cached = self._cache.get(partition)
        if cached is None:
            cached = self._choose(partition)
            self._cache[partition] = cached
        return cached

    def _choose(self, partition: int) -> tuple[Keeper, ...]:
        seed = xxhash.xxh64_intdigest(str(partition).encode())
        first_choices: list[tuple[int, Keeper]] = []
        others: list[tuple[int, Keeper]] = []
        for group in self._by_data_centre.values():
            first, *rest = _highest(group, seed)
            first_choices.append(first)
            others.extend(rest)
        chosen = _highest(first_choices, None)
        if len(chosen) < KEEPERS:
            chosen += _highest(others, None)[: KEEPERS - len(chosen)]
        return tuple(keeper for _, keeper in chosen)


def _highest(
    ranked: list[tuple[int, Keeper]], seed: int | None
) -> list[tuple[int, Keeper]]:
    """Return the `KEEPERS` highest ranks.

    If a seed is given, the ranks are derived from it and the base hashes.
    """
    if seed is not None:
        ranked = [
            ((base ^ seed) * _HASH_FACTOR & _HASH_MASK, keeper)
            for base, keeper in ranked
        ]
    return heapq.nlargest(KEEPERS, ranked, key=lambda pair: pair[0])


@dataclasses.dataclass(frozen=True)
class _EarlierView:
    """Earlier view and the monotonic time until which it is in effect."""

    view: View
    until: float


class Placement:
    """Current view and the earlier views that a claim must also satisfy.

    After each change the earlier view stays in effect for `HANDOVER_S`, in
    which records are handed over. A node that was lost rather than shut down as
    planned stays in the view for the lifetime of a key: it may still run on the
    other side of a network partition, and the two sides must not each find a
    majority.
    """

    def __init__(self, lifetime_s: float):
        self._lifetime_s = lifetime_s
        self._view = View(())
        self._snapshot: directory.Snapshot | None = None
        self._earlier_views: tuple[_EarlierView, ...] = ()
        self._live: frozenset[Keeper] = frozenset()
        self._lost: dict[Keeper, float] = {}

    @property
    def view(self) -> View:
        """Current view."""
        return self._view

    def update(self, snapshot: directory.Snapshot, now: float) -> View | None:
        """Apply a snapshot; return the earlier view if the view changed."""
        self._earlier_views = tuple(
            p for p in self._earlier_views if p.until > now
        )
        if snapshot is self._snapshot and not self._lost:
            return None
        self._snapshot = snapshot
        live = frozenset(
            Keeper(m.node_id, m.incarnation, m.data_centre)
            for m in snapshot.members
            if not m.leaving
        )
        self._update_lost(snapshot, live, now)
        current = live.union(self._lost)
        if current == frozenset(self._view.members):
            return None
        earlier = self._view
        ordered = sorted(current, key=lambda k: (k.node_id, k.incarnation))
        self._view = View(tuple(ordered))
        if earlier.members:
            earlier_view = _EarlierView(earlier, now + HANDOVER_S)
            self._earlier_views = (*self._earlier_views, earlier_view)
        return earlier

    def keeper_sets(
        self, key: str, now: float
    ) -> tuple[tuple[Keeper, ...], ...]:
        """Return the keepers of a key in each view in effect."""
        partition = partition_of(key)
        sets = [self._view.keepers(partition)]
        for earlier_view in self._earlier_views:
            keepers = earlier_view.view.keepers(partition)
            if earlier_view.until > now and keepers not in sets:
                sets.append(keepers)
        return tuple(sets)

    def _update_lost(
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
