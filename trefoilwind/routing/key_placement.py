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


# Stands for a keeper in a data centre of which no member was ever seen. It
# records no claim, so it counts against a majority.
UNKNOWN = Keeper("", 0, "")


class View:
    """Members at one point in time; keepers are computed on first use.

    A data centre of which no member was ever seen may be beyond a cut link, and
    may hold the keepers of any partition. So it takes the place of known
    keepers, the lowest ranks first.
    """

    def __init__(self, members: tuple[Keeper, ...], unseen_count: int = 0):
        self._members = members
        self._unseen_count = unseen_count
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

    @property
    def unseen_count(self) -> int:
        """Number of data centres of which no member was ever seen."""
        return self._unseen_count

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
        if self._unseen_count:
            return self._with_unknown([keeper for _, keeper in chosen])
        if len(chosen) < KEEPERS:
            chosen += _highest(others, None)[: KEEPERS - len(chosen)]
        return tuple(keeper for _, keeper in chosen)

    def _with_unknown(self, chosen: list[Keeper]) -> tuple[Keeper, ...]:
        """Return the keepers that are certain, and unknown ones."""
        # With fewer data centres than keepers, an unseen one may provide the
        # second keepers as well.
        unknown_count = max(self._unseen_count, KEEPERS - len(chosen))
        known_count = max(0, KEEPERS - unknown_count)
        return (
            *chosen[:known_count],
            *[UNKNOWN] * (KEEPERS - known_count),
        )


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
    majority. A node that started during the partition never saw the nodes of
    the other side, so for it the configured data centres count.
    """

    def __init__(self, lifetime_s: float):
        self._lifetime_s = lifetime_s
        self._view = View(())
        self._snapshot: directory.Snapshot | None = None
        self._earlier_views: tuple[_EarlierView, ...] = ()
        self._live: frozenset[Keeper] = frozenset()
        self._lost: dict[Keeper, float] = {}
        self._data_centres: frozenset[str] = frozenset()
        self._seen_data_centres: frozenset[str] = frozenset()

    @property
    def view(self) -> View:
        """Current view."""
        return self._view

    def update(
        self,
        snapshot: directory.Snapshot,
        now: float,
        data_centres: frozenset[str] = frozenset(),
    ) -> View | None:
        """Apply a snapshot; return the earlier view if the view changed.

        Args:
            snapshot: Members.
            now: Monotonic time in seconds.
            data_centres: Names of the configured data centres.
        """
        self._earlier_views = tuple(
            p for p in self._earlier_views if p.until > now
        )
        is_same = (
            snapshot is self._snapshot and data_centres == self._data_centres
        )
        if is_same and not self._lost:
            return None
        self._snapshot = snapshot
        self._data_centres = data_centres
        self._seen_data_centres |= {m.data_centre for m in snapshot.members}
        unseen_count = len(data_centres - self._seen_data_centres)
        live = frozenset(
            Keeper(m.node_id, m.incarnation, m.data_centre)
            for m in snapshot.members
            if not m.leaving
        )
        self._update_lost(snapshot, live, now)
        current = live.union(self._lost)
        if (
            current == frozenset(self._view.members)
            and unseen_count == self._view.unseen_count
        ):
            return None
        earlier = self._view
        ordered = sorted(current, key=lambda k: (k.node_id, k.incarnation))
        self._view = View(tuple(ordered), unseen_count)
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
            # No node was granted a claim without a majority of known keepers.
            if (
                earlier_view.until > now
                and keepers not in sets
                and keepers.count(UNKNOWN) <= len(keepers) // 2
            ):
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
