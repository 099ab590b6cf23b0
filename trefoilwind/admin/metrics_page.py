"""Metrics of a node in the text format of Prometheus."""

from collections.abc import Iterator
import dataclasses

from trefoilwind import events
from trefoilwind.admin import metrics
from trefoilwind.telemetry import prometheus


@dataclasses.dataclass(frozen=True)
class Gauges:
    """Values read from the blackboard when metrics are rendered.

    Attributes:
        configuration_version: Version in force; -1 if none.
        next_offset: Offset of the first log record not yet applied.
        members: Live members.
        open_moves: Moves without an outcome.
        draining: True once a planned stop has begun.
    """

    configuration_version: int
    next_offset: int
    members: int
    open_moves: int
    draining: bool


def render(counts: metrics.Counts, gauges: Gauges) -> bytes:
    """Return all metrics of a node.

    Args:
        counts: Counters since the start of the process.
        gauges: Current values.
    """
    return prometheus.render(
        (
            *_counters(counts),
            _latencies(counts),
            *_gauge_families(counts, gauges),
        )
    )


def _counters(counts: metrics.Counts) -> Iterator[prometheus.Family]:
    tables = (
        (
            "attempts",
            "Attempts of calls by class and result.",
            ("class", "result"),
            counts.attempts,
        ),
        (
            "refusals",
            "Calls that got no answer from a backend server.",
            ("reason", "result"),
            counts.refusals,
        ),
        (
            "control_bytes",
            "Bytes of control messages on peer streams.",
            ("direction",),
            {(key,): count for key, count in counts.control_bytes.items()},
        ),
        (
            "events",
            "Events of the timeline by name.",
            ("name",),
            {(key,): count for key, count in counts.events.items()},
        ),
    )
    for name, doc, labels, table in tables:
        yield prometheus.Family(
            prometheus.Kind.COUNTER, f"{name}_total", doc, labels, table
        )


def _latencies(counts: metrics.Counts) -> prometheus.Family:
    return prometheus.Family(
        prometheus.Kind.HISTOGRAM,
        "attempt_latency_seconds",
        "Time until the head of an answer arrived, by class.",
        ("class",),
        {(name,): found for name, found in counts.latencies.items()},
    )


def _gauge_families(
    counts: metrics.Counts, gauges: Gauges
) -> Iterator[prometheus.Family]:
    for name, doc, value in _gauge_values(counts, gauges):
        yield prometheus.gauge(name, doc, value)


def _gauge_values(
    counts: metrics.Counts, gauges: Gauges
) -> Iterator[tuple[str, str, int]]:
    streams = _balance(counts, events.PEER_CONNECTED, events.PEER_LOST)
    outages = _balance(counts, events.LOG_UNAVAILABLE, events.LOG_RECOVERED)
    yield (
        "configuration_version",
        "Configuration version in force; -1 if none.",
        gauges.configuration_version,
    )
    yield (
        "next_offset",
        "Offset of the first log record not yet applied.",
        gauges.next_offset,
    )
    yield "members", "Live members.", gauges.members
    yield "open_moves", "Moves without an outcome.", gauges.open_moves
    yield "draining", "1 once a planned stop has begun.", int(gauges.draining)
    yield "peer_streams", "Peers with an open stream.", streams
    yield "log_available", "0 while the log is unavailable.", int(outages <= 0)


def _balance(
    counts: metrics.Counts, up: events.EventKind, down: events.EventKind
) -> int:
    return counts.events.get(up.name, 0) - counts.events.get(down.name, 0)
