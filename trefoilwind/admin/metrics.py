"""Metrics of a node, rendered in the text format of Prometheus.

Counting takes a lock and a few additions; the collectors of aioprometheus
are filled only when somebody reads them.
"""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import threading

from aioprometheus import collectors
from aioprometheus import histogram
from aioprometheus.formats import text

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.proxy import calls

LATENCY_BOUNDS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)
CONTENT_TYPE = text.TEXT_CONTENT_TYPE
WINDOW_SLOT_S = 10.0
WINDOW_SLOTS = 6
MOVES_KEPT = 64


@dataclasses.dataclass(frozen=True)
class Tally:
    """Counts of attempts that were not shed.

    Attributes:
        calls: All of them.
        failed: Those that failed.
        in_time: Those that succeeded within the class's latency target.
    """

    calls: int = 0
    failed: int = 0
    in_time: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum."""
        return Tally(
            self.calls + other.calls,
            self.failed + other.failed,
            self.in_time + other.in_time,
        )


@dataclasses.dataclass(frozen=True)
class Gauges:
    """Values read from the blackboard when metrics are rendered.

    Attributes:
        configuration_version: Version in force; -1 if none.
        next_offset: Offset of the first record not seen.
        members: Live members.
        open_moves: Moves without an outcome.
        draining: True once a planned stop began.
    """

    configuration_version: int
    next_offset: int
    members: int
    open_moves: int
    draining: bool


class Metrics:
    """Counts of one process. Safe for use by many threads."""

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
        """Count each later event of a time line."""
        for kind in events.registry():
            log.connect(kind, self._count_event)

    def _count_event(self, event: events.Event) -> None:
        with self._lock:
            self._events[event.name] += 1

    def attempt_ended(
        self, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        """Count an attempt of a call.

        Args:
            attempt: What the entry saw.
            is_in_time: True if it met the class's latency target.
        """
        if attempt.shed:
            result = "shed"
        elif attempt.failed:
            result = "failed"
        else:
            result = "answered"
        slot = self._slot()
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
        """Return the last minute's tallies by (class, node)."""
        oldest = self._slot() - WINDOW_SLOTS
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

    def render(self, gauges: Gauges) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        registry = collectors.Registry()
        with self._lock:
            for collector, values in self._collect(registry, gauges):
                for labels, value in values:
                    collector.set_value(labels, value)
        return text.TextFormatter().marshall(registry)

    def _slot(self) -> int:
        return int(self._clock.monotonic() // WINDOW_SLOT_S)

    def _count_latency(self, class_name: str, latency_s: float) -> None:
        counts = self._latencies.get(class_name)
        if counts is None:
            counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
            self._latencies[class_name] = counts
        counts[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self._latency_sums[class_name] += latency_s

    def _add_to_window(
        self, slot: int, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        tallies = self._window.get(slot)
        if tallies is None:
            tallies = self._window[slot] = {}
            while len(self._window) > WINDOW_SLOTS:
                self._window.popitem(last=False)
        _count(
            tallies, (attempt.class_name, attempt.node_id), attempt, is_in_time
        )

    def _add_to_move(
        self, attempt: calls.Observation, is_in_time: bool
    ) -> None:
        tallies = self._moves.get(attempt.move_id)
        if tallies is None:
            tallies = self._moves[attempt.move_id] = {}
            while len(self._moves) > MOVES_KEPT:
                self._moves.popitem(last=False)
        _count(
            tallies, (attempt.path_prefix, attempt.version), attempt, is_in_time
        )

    def _collect(
        self, registry: collectors.Registry, gauges: Gauges
    ) -> Iterator[tuple[collectors.Collector, list]]:
        yield from self._collect_counters(registry)
        yield from self._collect_gauges(registry, gauges)
        latencies = collectors.Histogram(
            "trefoilwind_attempt_latency_seconds",
            "Time until the head of an answer, by class.",
            registry=registry,
            buckets=LATENCY_BOUNDS_S,
        )
        yield (
            latencies,
            [
                (_labels(("class",), (name,)), self._histogram(name, counts))
                for name, counts in self._latencies.items()
            ],
        )

    def _collect_counters(
        self, registry: collectors.Registry
    ) -> Iterator[tuple[collectors.Collector, list]]:
        tables = (
            (
                "attempts",
                "Attempts of calls by class and result.",
                ("class", "result"),
                self._attempts,
            ),
            (
                "refusals",
                "Calls without an answer of a backend server.",
                ("reason", "result"),
                self._refusals,
            ),
            (
                "control_bytes",
                "Bytes of control messages on peer streams.",
                ("direction",),
                {(key,): n for key, n in self._control_bytes.items()},
            ),
            (
                "events",
                "Events of the time line by name.",
                ("name",),
                {(key,): n for key, n in self._events.items()},
            ),
        )
        for name, doc, labels, counts in tables:
            collector = collectors.Counter(
                f"trefoilwind_{name}_total", doc, registry=registry
            )
            yield (
                collector,
                [
                    (_labels(labels, key), count)
                    for key, count in counts.items()
                ],
            )

    def _collect_gauges(
        self, registry: collectors.Registry, gauges: Gauges
    ) -> Iterator[tuple[collectors.Collector, list]]:
        streams = self._balance(events.PEER_CONNECTED, events.PEER_LOST)
        log_outages = self._balance(
            events.LOG_UNAVAILABLE, events.LOG_RECOVERED
        )
        values = (
            (
                "configuration_version",
                "Configuration version in force; -1 if none.",
                gauges.configuration_version,
            ),
            (
                "next_offset",
                "Offset of the first log record not seen.",
                gauges.next_offset,
            ),
            ("members", "Live members.", gauges.members),
            ("open_moves", "Moves without an outcome.", gauges.open_moves),
            ("draining", "1 once a planned stop began.", int(gauges.draining)),
            ("peer_streams", "Peers with an open stream.", streams),
            ("log_available", "0 while the log fails.", int(log_outages <= 0)),
        )
        for name, doc, value in values:
            collector = collectors.Gauge(
                f"trefoilwind_{name}", doc, registry=registry
            )
            yield collector, [({}, value)]

    def _balance(self, up: events.EventKind, down: events.EventKind) -> int:
        return self._events[up.name] - self._events[down.name]

    def _histogram(self, name: str, counts: list[int]) -> histogram.Histogram:
        filled = histogram.Histogram(*LATENCY_BOUNDS_S)
        total = 0
        for bound, count in zip(filled.buckets, counts, strict=True):
            total += count
            filled.buckets[bound] = total
        filled.observations = total
        filled.sum = self._latency_sums[name]
        return filled


def _count(
    tallies: dict[tuple[str, str], list[int]],
    key: tuple[str, str],
    attempt: calls.Observation,
    is_in_time: bool,
) -> None:
    """Count an attempt in a list, which is cheaper than a new `Tally`."""
    counts = tallies.get(key)
    if counts is None:
        counts = tallies[key] = [0, 0, 0]
    counts[0] += 1
    if attempt.failed:
        counts[1] += 1
    elif is_in_time:
        counts[2] += 1


def _labels(names: Sequence[str], values: Sequence[str]) -> dict[str, str]:
    """Return labels; the formatter leaves escaping to its user."""
    return {
        name: value.replace("\\", r"\\")
        .replace('"', r"\"")
        .replace("\n", r"\n")
        for name, value in zip(names, values, strict=True)
    }
