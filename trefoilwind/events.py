"""Registry of the kinds of events and the event log of a process.

Events are stamped by hybrid logical clocks: an event has a greater stamp than
the events that caused it, including those of other processes, unless a wall
clock is ahead of another by more than `MAX_DRIFT_MS`.
"""

import collections
from collections.abc import Callable
import dataclasses
import threading

from trefoilwind import clock as clock_lib

_MILLISECONDS_PER_SECOND = 1000
DEFAULT_CAPACITY_EVENTS = 4096
_MAX_CALL_EVENTS_PER_S = 5
MAX_DRIFT_MS = 24 * 3600 * 1000


@dataclasses.dataclass(frozen=True)
class EventKind:
    """Kind of event.

    Attributes:
        name: Dotted public name.
        description: One sentence for the reference page.
        max_per_s: Largest number kept per second; 0 for no limit. Without a
            limit frequent kinds would evict all others from the event log.
    """

    name: str
    description: str
    max_per_s: int = 0


_registry: dict[str, EventKind] = {}


def _register(name: str, description: str, max_per_s: int = 0) -> EventKind:
    kind = EventKind(name, description, max_per_s)
    _registry[name] = kind
    return kind


NODE_STARTED = _register("node.started", "A node started serving.")
NODE_DRAINING = _register("node.draining", "A node stopped accepting new work.")
NODE_STOPPED = _register(
    "node.stopped", "A node finished its work and stopped."
)
CONFIGURATION_APPLIED = _register(
    "configuration.applied", "A configuration version was applied."
)
RECORD_REJECTED = _register(
    "record.rejected", "A record of the log was rejected and not applied."
)
CHECKPOINT_WRITTEN = _register(
    "checkpoint.written", "A checkpoint was appended to the log."
)
CHECKPOINT_LOADED = _register(
    "checkpoint.loaded", "A node loaded its state from a checkpoint."
)
LEASE_ACQUIRED = _register("lease.acquired", "A node acquired a lease.")
LEASE_LOST = _register("lease.lost", "A node no longer holds a lease.")
LOG_UNAVAILABLE = _register("log.unavailable", "The log does not answer.")
LOG_RECOVERED = _register("log.recovered", "The log answers again.")
PEER_CONNECTED = _register("peer.connected", "A peer stream opened.")
PEER_LOST = _register("peer.lost", "A peer stream ended.")
MEMBER_JOINED = _register(
    "member.joined",
    "A backend server was announced for the first time or with a new version.",
)
MEMBER_LEAVING = _register(
    "member.leaving", "A backend server is leaving and accepts no new calls."
)
MEMBER_EXPIRED = _register("member.expired", "A member's lease expired.")
MEMBER_EJECTED = _register(
    "member.ejected", "Outlier ejection took a backend server out of rotation."
)
CALL_REFUSED = _register(
    "call.refused", "A call was refused and not run.", _MAX_CALL_EVENTS_PER_S
)
CALL_UNKNOWN = _register(
    "call.unknown",
    "A call failed and may have been run.",
    _MAX_CALL_EVENTS_PER_S,
)
REQUEST_SUSPECTED = _register(
    "request.suspected", "A request was in flight when its backend server died."
)
MOVE_STARTED = _register("move.started", "A move was accepted.")
MOVE_STAGE = _register(
    "move.stage", "The share of a route's calls to the new version changed."
)
MOVE_BRAKED = _register(
    "move.braked",
    "A fault of the new version was detected and braked the move.",
)
MOVE_DONE = _register(
    "move.done", "A move ended; the new version replaced the old one."
)
MOVE_UNDONE = _register("move.undone", "A move ended; it was rolled back.")


def registry() -> tuple[EventKind, ...]:
    """Return all kinds of events, sorted by name."""
    return tuple(sorted(_registry.values(), key=lambda kind: kind.name))


@dataclasses.dataclass(frozen=True, order=True)
class Stamp:
    """Hybrid logical time: wall time in milliseconds, then a counter."""

    wall_ms: int
    counter: int


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a process.

    Attributes:
        stamp: Hybrid logical time.
        process: Name of the process, usually the node's id.
        sequence: Position among the process's events, counted from 0.
        name: Name of the event's kind.
        subject: Version, move or member that the event concerns.
        peer: The other process; empty if there is none.
        detail: Short description for people.
    """

    stamp: Stamp
    process: str
    sequence: int
    name: str
    subject: str = ""
    peer: str = ""
    detail: str = ""


class HybridClock:
    """Hybrid logical clock of one process; thread-safe."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return a stamp greater than all that were returned or merged."""
        with self._lock:
            self._last = self._next(self._last)
            return self._last

    def merge(self, remote: Stamp) -> None:
        """Merge a peer's stamp, so that later local stamps exceed it.

        A stamp that is more than `MAX_DRIFT_MS` ahead is a fault of the peer
        and is ignored, so that it cannot advance the clocks of all nodes.
        """
        wall_ms = int(self._clock.wall() * _MILLISECONDS_PER_SECOND)
        if remote.wall_ms - wall_ms > MAX_DRIFT_MS:
            return
        with self._lock:
            self._last = max(self._last, remote)

    def _next(self, floor: Stamp) -> Stamp:
        wall_ms = int(self._clock.wall() * _MILLISECONDS_PER_SECOND)
        if wall_ms > floor.wall_ms:
            return Stamp(wall_ms, 0)
        return Stamp(floor.wall_ms, floor.counter + 1)


class EventLog:
    """Bounded log of the events of one process; thread-safe."""

    def __init__(
        self,
        process: str,
        clock: clock_lib.Clock,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
    ):
        self._process = process
        self._clock = clock
        self._counts_by_second: dict[tuple[str, int], int] = {}
        self._hybrid_clock = HybridClock(clock)
        self._lock = threading.Lock()
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )
        self._next_sequence = 0
        self._listeners: list[tuple[str, Callable[[Event], None]]] = []

    @property
    def hybrid_clock(self) -> HybridClock:
        """Clock whose stamps are sent with peer messages."""
        return self._hybrid_clock

    def subscribe(
        self, kind: EventKind, listener: Callable[[Event], None]
    ) -> None:
        """Call `listener` with each future event of `kind`."""
        self._listeners.append((kind.name, listener))

    def emit(
        self,
        kind: EventKind,
        subject: str = "",
        peer: str = "",
        detail: str = "",
    ) -> Event:
        """Record an event and return it.

        An event beyond the kind's limit is passed to the listeners but not
        kept. It has the sequence number of the next event that is kept.
        """
        with self._lock:
            is_kept = not kind.max_per_s or self._is_under_limit(kind)
            event = Event(
                stamp=self._hybrid_clock.now(),
                process=self._process,
                sequence=self._next_sequence,
                name=kind.name,
                subject=subject,
                peer=peer,
                detail=detail,
            )
            if is_kept:
                self._next_sequence += 1
                self._events.append(event)
        for name, listener in self._listeners:
            if name == kind.name:
                listener(event)
        return event

    def _is_under_limit(self, kind: EventKind) -> bool:
        second = int(self._clock.monotonic())
        count = self._counts_by_second.get((kind.name, second), 0)
        if not count:
            self._counts_by_second = {
                k: n
                for k, n in self._counts_by_second.items()
                if k[1] == second
            }
        self._counts_by_second[kind.name, second] = count + 1
        return count < kind.max_per_s

    def since(self, sequence: int) -> tuple[Event, ...]:
        """Return the retained events from `sequence` on."""
        with self._lock:
            return tuple(e for e in self._events if e.sequence >= sequence)
