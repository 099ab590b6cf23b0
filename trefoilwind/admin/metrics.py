"""Counters of a node.

They are updated on the call path, so an update is cheap: one lock and a few
additions.
"""

import bisect
import collections
import dataclasses
import threading

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.proxy import calls
from trefoilwind.telemetry import prometheus

WINDOW_SLOT_S = 10.0
WINDOW_SLOTS = 6
MAX_MOVES = 64


@dataclasses.dataclass(frozen=True)
class Tally:
    """Counts of attempts that were not shed.

    Attributes:
        calls: Number of attempts.
        failed: Attempts that failed.
        in_time: Attempts that succeeded within the class's latency target.
    """

    calls: int = 0
    failed: int = 0
    in_time: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(
            self.calls + other.calls,
            self.failed + other.failed,
            self.in_time + other.in_time,
        )


@dataclasses.dataclass(frozen=True)
class Counts:
    """All counters since the start of the process.

    Attributes:
        attempts: Attempts by class and result.
        latencies: Latency distributions by class.
        refusals: Calls without an answer, by reason and result.
        control_bytes: Bytes of control messages by direction.
        events: Events by name.
    """

    attempts: dict[tuple[str, str], int]
    latencies: dict[str, prometheus.Latencies]
    refusals: dict[tuple[str, str], int]
    control_bytes: dict[str, int]
    events: dict[str, int]


class Metrics:
    """Counters of one process. Safe for use by many threads."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._attempts: collections.Counter = collections.Counter()
        self._latencies: dict[str, list[int]] = {}
        self._latency_sums: collections.Counter = collections.Counter()
        self._refusals: collections.Counter = collections.Counter()
        self._control_bytes: collections.Counter = collections.Counter()
        self._events: collections.Counter = collections.Counter()
        self._window: collections.OrderedDict[int, dict] = (
            collections.OrderedDict()
        )
        self._moves: collections.OrderedDict[str, dict] = (
            collections.OrderedDict()
        )

    def watch(self, log: events.EventLog) -> None:
        """Count each event that is emitted from now on."""
        for kind in events.registry():
            log.subscribe(kind, self._count_event)

    def _count_event(self, event: events.Event) -> None:
        with self._lock:
            self._events[event.name] += 1

    def attempt_ended(
        self, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        """Count an attempt of a call.

        Args:
            attempt: Observation by the entry node.
            is_in_time: True if the attempt met the class's latency target.
        """
        if attempt.shed:
            result = "shed"
        elif attempt.failed:
            result = "failed"
        else:
            result = "answered"
        slot = self._window_slot()
        with self._lock:
            self._attempts[attempt.class_name, result] += 1
            if attempt.shed:
                return
            self._count_latency(attempt.class_name, attempt.latency_s)
            self._add_to_window(slot, attempt, is_in_time)
            if attempt.move_id:
                self._add_to_move(attempt, is_in_time)

    def call_refused(self, error: errors.CallError) -> None:
        """Count a call that got no answer from a backend server."""
        result = "not-run" if error.not_run else "unknown"
        with self._lock:
            self._refusals[error.reason.value, result] += 1

    def control_sent(self, count: int) -> None:
        """Count bytes of control messages sent to peers."""
        with self._lock:
            self._control_bytes["sent"] += count

    def control_received(self, count: int) -> None:
        """Count bytes of control messages received from peers."""
        with self._lock:
            self._control_bytes["received"] += count

    def recent_attempts(self) -> dict[tuple[str, str], Tally]:
        """Return the tallies of the last minute by (class, node)."""
        oldest = self._window_slot() - WINDOW_SLOTS
        totals: dict[tuple[str, str], Tally] = {}
        with self._lock:
            for slot, tallies in self._window.items():
                if slot <= oldest:
                    continue
                for key, counts in tallies.items():
                    totals[key] = totals.get(key, Tally()).plus(Tally(*counts))
        return totals

    def move_attempts(self, move_id: str) -> dict[tuple[str, str], Tally]:
        """Return a move's tallies by (path prefix, version)."""
        with self._lock:
            tallies = self._moves.get(move_id, {})
            return {key: Tally(*counts) for key, counts in tallies.items()}

    def counts(self) -> Counts:
        """Return a copy of all counters."""
        with self._lock:
            return Counts(
                attempts=dict(self._attempts),
                latencies={
                    name: prometheus.Latencies(
                        tuple(counts), self._latency_sums[name]
                    )
                    for name, counts in self._latencies.items()
                },
                refusals=dict(self._refusals),
                control_bytes=dict(self._control_bytes),
                events=dict(self._events),
            )

    def _window_slot(self) -> int:
        return int(self._clock.monotonic() // WINDOW_SLOT_S)

    def _count_latency(self, class_name: str, latency_s: float) -> None:
        bounds = prometheus.LATENCY_BOUNDS_S
        counts = self._latencies.get(class_name)
        if counts is None:
            counts = [0] * (len(bounds) + 1)
            self._latencies[class_name] = counts
        counts[bisect.bisect_left(bounds, latency_s)] += 1
        self._latency_sums[class_name] += latency_s

    def _add_to_window(
        self, slot: int, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        tallies = self._window.get(slot)
        if tallies is None:
            tallies = self._window[slot] = {}
            while len(self._window) > WINDOW_SLOTS:
                self._window.popitem(last=False)
        _count_attempt(
            tallies, (attempt.class_name, attempt.node_id), attempt, is_in_time
        )

    def _add_to_move(
        self, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        tallies = self._moves.get(attempt.move_id)
        if tallies is None:
            tallies = self._moves[attempt.move_id] = {}
            while len(self._moves) > MAX_MOVES:
                self._moves.popitem(last=False)
        _count_attempt(
            tallies, (attempt.path_prefix, attempt.version), attempt, is_in_time
        )


def _count_attempt(
    tallies: dict[tuple[str, str], list[int]],
    key: tuple[str, str],
    attempt: calls.Observation,
    is_in_time: bool,
) -> None:
    """Count an attempt in a list, which is cheaper than a new `Tally`.

    The list holds the fields of `Tally` in their order.
    """
    counts = tallies.get(key)
    if counts is None:
        counts = tallies[key] = [0, 0, 0]
    counts[0] += 1
    if attempt.failed:
        counts[1] += 1
    elif is_in_time:
        counts[2] += 1
