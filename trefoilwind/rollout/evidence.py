"""Evidence on moves: grow-only counters that merge by maximum."""

import bisect
from collections.abc import Iterable
import dataclasses
import enum
import functools
import operator

# Upper bounds of the latency buckets; one more bucket without bound follows.
LATENCY_EDGES_S = tuple(0.001 * 2**power for power in range(12))
NO_CALLS = (0,) * (len(LATENCY_EDGES_S) + 1)


@enum.unique
class Arm(enum.Enum):
    """Side of a move that ran a call."""

    OLD = 0
    NEW = 1


@dataclasses.dataclass(frozen=True, order=True)
class RouteKey:
    """A route of a move's service, with the class of its calls."""

    path_prefix: str
    class_name: str


@dataclasses.dataclass(frozen=True)
class Key:
    """Identifies a counter.

    Attributes:
        move_id: Open move.
        route: Route and class.
        data_centre: Data centre of the entry nodes.
        entry: Entry node with its incarnation, the only writer; empty for
            the sum over the data centre's entry nodes.
        arm: Side of the move that ran the calls.
        target: Node whose backend server ran the calls.
    """

    move_id: str
    route: RouteKey
    data_centre: str
    entry: str
    arm: Arm
    target: str

    def __hash__(self) -> int:
        """Return the cached hash, since keys are looked up often."""
        return self._hash

    @functools.cached_property
    def cell(self) -> "Key":
        """Key of the sum over the data centre's entry nodes."""
        return dataclasses.replace(self, entry="") if self.entry else self

    @functools.cached_property
    def _hash(self) -> int:
        fields = (self.route, self.data_centre, self.entry, self.target)
        return hash((self.move_id, self.arm.value, fields))


@dataclasses.dataclass(frozen=True)
class Counter:
    """Counts of calls, which never decrease.

    Attributes:
        failures: Attempts that failed.
        untimed: Successes whose latency is excluded, such as those of cold
            backend servers.
        buckets: Other successes by latency, see `LATENCY_EDGES_S`.
    """

    failures: int = 0
    untimed: int = 0
    buckets: tuple[int, ...] = NO_CALLS

    @property
    def timed(self) -> int:
        """Successes whose latency is counted."""
        return sum(self.buckets)

    @property
    def calls(self) -> int:
        """All attempts."""
        return self.failures + self.untimed + sum(self.buckets)

    def slower_than(self, edge: int) -> int:
        """Return the timed successes above the edge with the given index."""
        return sum(self.buckets[edge + 1 :])

    def merge(self, other: "Counter") -> "Counter":
        """Return the maximum of both counters, field by field."""
        return self._combine(other, max)

    def plus(self, other: "Counter") -> "Counter":
        """Return the sum of two counters of different calls."""
        return self._combine(other, operator.add)

    def minus(self, other: "Counter") -> "Counter":
        """Return the counts added since `other`."""
        return self._combine(other, operator.sub)

    def _combine(self, other: "Counter", operation) -> "Counter":
        return Counter(
            operation(self.failures, other.failures),
            operation(self.untimed, other.untimed),
            tuple(map(operation, self.buckets, other.buckets)),
        )


def bucket(latency_s: float) -> int:
    """Return the index of the bucket of a latency in seconds."""
    return bisect.bisect_left(LATENCY_EDGES_S, latency_s)


def failure() -> Counter:
    """Return the count of one failed call."""
    return Counter(failures=1)


def success(latency_s: float, is_cold: bool = False) -> Counter:
    """Return the count of one successful call."""
    if is_cold:
        return Counter(untimed=1)
    buckets = list(NO_CALLS)
    buckets[bucket(latency_s)] = 1
    return Counter(buckets=tuple(buckets))


@dataclasses.dataclass(frozen=True)
class Entry:
    """A counter with its key."""

    key: Key
    counter: Counter


@dataclasses.dataclass(frozen=True)
class Brake:
    """Sticky flag that stops new calls to a move's version.

    Attributes:
        move_id: The move.
        reason: Public name of the fault.
        step: Route on which the fault was detected.
        peer: Node that detected it.
    """

    move_id: str
    reason: str
    step: str
    peer: str


class Ledger:
    """All counters that a node holds.

    A data centre's sum is a lower bound of the actual count whichever node
    computed it, so the maximum of two such sums is one too: no call counts
    twice when the aggregating node changes.
    """

    def __init__(self) -> None:
        self._counters: dict[Key, Counter] = {}
        self._sums: dict[Key, Counter] = {}
        self._revisions: dict[Key, int] = {}
        self._revision = 0

    def __len__(self) -> int:
        """Return the number of counters."""
        return len(self._counters)

    @property
    def revision(self) -> int:
        """Number that increases with each change."""
        return self._revision

    def add(self, key: Key, counter: Counter) -> None:
        """Add calls of the own entry node."""
        old = self._counters.get(key)
        self._store(key, old.plus(counter) if old else counter)

    def merge(self, entries: Iterable[Entry]) -> None:
        """Merge the counters of a peer."""
        for entry in entries:
            old = self._counters.get(entry.key)
            merged = old.merge(entry.counter) if old else entry.counter
            if merged != old:
                self._store(entry.key, merged)

    def aggregate(self, data_centre: str) -> None:
        """Merge the sums over a data centre's entry nodes into its counters."""
        for key, total in list(self._sums.items()):
            if key.data_centre == data_centre:
                self.merge((Entry(key, total),))

    def view(self, move_id: str) -> dict[Key, Counter]:
        """Return the highest sums of a move by cell."""
        cells = {k: c for k, c in self._sums.items() if k.move_id == move_id}
        for key, counter in self._counters.items():
            if key.entry or key.move_id != move_id:
                continue
            known = cells.get(key)
            cells[key] = known.merge(counter) if known else counter
        return cells

    def changed_since(self, revision: int) -> list[Entry]:
        """Return the counters that changed after a revision."""
        return [
            Entry(key, self._counters[key])
            for key, changed in self._revisions.items()
            if changed > revision
        ]

    def remove_moves(self, ended: frozenset[str]) -> None:
        """Remove the counters of ended moves."""
        for table in (self._counters, self._sums, self._revisions):
            for key in [k for k in table if k.move_id in ended]:
                del table[key]

    def _store(self, key: Key, counter: Counter) -> None:
        old = self._counters.get(key)
        self._counters[key] = counter
        self._revision += 1
        self._revisions[key] = self._revision
        if key.entry:
            added = counter.minus(old) if old else counter
            total = self._sums.get(key.cell)
            self._sums[key.cell] = total.plus(added) if total else added
