"""Messages with evidence: a table of names and rows of indices into it."""

from collections.abc import Iterable
import dataclasses

from trefoilwind import codec
from trefoilwind.model import bounds
from trefoilwind.rollout import evidence


@dataclasses.dataclass(frozen=True)
class Row:
    """One counter; names are given as indices into the message's table.

    Attributes:
        move: Id of the move.
        path_prefix: Prefix of the route.
        class_name: Class of the calls.
        data_centre: Data centre of the entry nodes.
        entry: Entry node with incarnation; the empty name for a sum.
        target: Node whose backend server ran the calls.
        arm: Value of the arm.
        failures: Attempts that failed.
        untimed: Successes whose latency is excluded.
        first_bucket: Index of the first bucket that is not empty.
        buckets: Buckets from that index on, without trailing empty ones.
    """

    move: int
    path_prefix: int
    class_name: int
    data_centre: int
    entry: int
    target: int
    arm: int
    failures: int
    untimed: int
    first_bucket: int
    buckets: tuple[int, ...]


@codec.message("evidence")
@dataclasses.dataclass(frozen=True)
class EvidenceUpdate:
    """Counters and brakes that the receiver may lack.

    Attributes:
        names: Table of names.
        rows: Counters.
        brakes: Brakes of moves whose version is faulty.
    """

    names: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    brakes: tuple[evidence.Brake, ...] = ()


class _NameTable:
    def __init__(self) -> None:
        self._indices: dict[str, int] = {}

    @property
    def table(self) -> tuple[str, ...]:
        return tuple(self._indices)

    def index(self, name: str) -> int:
        return self._indices.setdefault(name, len(self._indices))


def pack(
    entries: Iterable[evidence.Entry], brakes: Iterable[evidence.Brake] = ()
) -> EvidenceUpdate:
    """Return the message that carries counters and brakes."""
    names = _NameTable()
    rows = tuple(_row(names, entry) for entry in entries)
    return EvidenceUpdate(names.table, rows, tuple(brakes))


def unpack(update: EvidenceUpdate) -> list[evidence.Entry]:
    """Return the counters of a message, without malformed rows."""
    return [
        _entry(update.names, row)
        for row in update.rows
        if _is_well_formed(update.names, row)
    ]


def _row(names: _NameTable, entry: evidence.Entry) -> Row:
    key = entry.key
    counter = entry.counter
    used = [index for index, count in enumerate(counter.buckets) if count]
    first = used[0] if used else 0
    last = used[-1] + 1 if used else 0
    return Row(
        names.index(key.move_id),
        names.index(key.route.path_prefix),
        names.index(key.route.class_name),
        names.index(key.data_centre),
        names.index(key.entry),
        names.index(key.target),
        key.arm.value,
        counter.failures,
        counter.untimed,
        first,
        counter.buckets[first:last],
    )


def _is_well_formed(names: tuple[str, ...], row: Row) -> bool:
    indices = (
        row.move,
        row.path_prefix,
        row.class_name,
        row.data_centre,
        row.entry,
        row.target,
    )
    counts = (row.failures, row.untimed, row.first_bucket, *row.buckets)
    length = row.first_bucket + len(row.buckets)
    return (
        all(0 <= index < len(names) for index in indices)
        and all(bounds.is_count(count) for count in counts)
        and length <= len(evidence.NO_CALLS)
        and row.arm in (evidence.Arm.OLD.value, evidence.Arm.NEW.value)
    )


def _entry(names: tuple[str, ...], row: Row) -> evidence.Entry:
    route = evidence.RouteKey(names[row.path_prefix], names[row.class_name])
    key = evidence.Key(
        names[row.move],
        route,
        names[row.data_centre],
        names[row.entry],
        evidence.Arm(row.arm),
        names[row.target],
    )
    empty = len(evidence.NO_CALLS) - row.first_bucket - len(row.buckets)
    buckets = (0,) * row.first_bucket + row.buckets + (0,) * empty
    counter = evidence.Counter(row.failures, row.untimed, buckets)
    return evidence.Entry(key, counter)
