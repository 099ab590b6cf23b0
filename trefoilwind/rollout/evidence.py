"""Evidence about versions: grow-only counters that merge by maximum."""

import dataclasses

from trefoilwind import codec


@dataclasses.dataclass(frozen=True, order=True)
class Key:
    """What a counter counts.

    Attributes:
        move_id: Open move.
        path_prefix: Route.
        version: Version that ran the calls.
        data_centre: Data centre of the entry node.
        node_id: Entry node; only it counts here.
    """

    move_id: str
    path_prefix: str
    version: str
    data_centre: str
    node_id: str


@dataclasses.dataclass(frozen=True)
class Counter:
    """Counts of calls; they never fall.

    Attributes:
        calls: Attempts that ran.
        failures: Attempts that failed.
    """

    calls: int = 0
    failures: int = 0

    def merge(self, other: "Counter") -> "Counter":
        """Return the counter that holds both."""
        return Counter(
            max(self.calls, other.calls), max(self.failures, other.failures)
        )


@dataclasses.dataclass(frozen=True)
class Entry:
    """One counter on the wire."""

    key: Key
    counter: Counter


@dataclasses.dataclass(frozen=True)
class Brake:
    """Sticky flag: a move's version must get no new call.

    Attributes:
        move_id: The move.
        reason: Public name of the fault.
        step: Route on which it showed.
        peer: Node that saw it.
    """

    move_id: str
    reason: str
    step: str
    peer: str


@codec.message("evidence")
@dataclasses.dataclass(frozen=True)
class EvidenceUpdate:
    """Counters and brakes that the receiver may not have.

    Attributes:
        entries: Counters.
        brakes: Moves whose version was shown to be faulty.
    """

    entries: tuple[Entry, ...]
    brakes: tuple[Brake, ...] = ()
