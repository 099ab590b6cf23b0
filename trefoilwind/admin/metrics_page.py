"""Metrics of a node in the text format of Prometheus.

The collectors of aioprometheus encode labels as JSON at each count, so they
are filled only when somebody reads them.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from aioprometheus import collectors
from aioprometheus import histogram
from aioprometheus.formats import text

from trefoilwind import events
from trefoilwind.admin import metrics

CONTENT_TYPE = text.TEXT_CONTENT_TYPE
_PREFIX = "trefoilwind_"


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


def render(counts: metrics.Counts, gauges: Gauges) -> bytes:
    """Return all metrics of a node.

    Args:
        counts: What was counted.
        gauges: What holds now.
    """
    registry = collectors.Registry()
    _fill_counters(registry, counts)
    _fill_latencies(registry, counts.latencies)
    for name, doc, value in _gauge_values(counts, gauges):
        collector = collectors.Gauge(_PREFIX + name, doc, registry=registry)
        collector.set_value({}, value)
    return text.TextFormatter().marshall(registry)


def _fill_counters(
    registry: collectors.Registry, counts: metrics.Counts
) -> None:
    tables = (
        (
            "attempts",
            "Attempts of calls by class and result.",
            ("class", "result"),
            counts.attempts,
        ),
        (
            "refusals",
            "Calls without an answer of a backend server.",
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
            "Events of the time line by name.",
            ("name",),
            {(key,): count for key, count in counts.events.items()},
        ),
    )
    for name, doc, labels, table in tables:
        collector = collectors.Counter(
            f"{_PREFIX}{name}_total", doc, registry=registry
        )
        for key, count in table.items():
            collector.set_value(_labels(labels, key), count)


def _fill_latencies(
    registry: collectors.Registry, latencies: Mapping[str, metrics.Latencies]
) -> None:
    collector = collectors.Histogram(
        f"{_PREFIX}attempt_latency_seconds",
        "Time until the head of an answer, by class.",
        registry=registry,
        buckets=metrics.LATENCY_BOUNDS_S,
    )
    for name, found in latencies.items():
        collector.set_value(_labels(("class",), (name,)), _histogram(found))


def _histogram(latencies: metrics.Latencies) -> histogram.Histogram:
    filled = histogram.Histogram(*metrics.LATENCY_BOUNDS_S)
    total = 0
    for bound, count in zip(filled.buckets, latencies.counts, strict=True):
        total += count
        filled.buckets[bound] = total
    filled.observations = total
    filled.sum = latencies.total_s
    return filled


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
        "Offset of the first log record not seen.",
        gauges.next_offset,
    )
    yield "members", "Live members.", gauges.members
    yield "open_moves", "Moves without an outcome.", gauges.open_moves
    yield "draining", "1 once a planned stop began.", int(gauges.draining)
    yield "peer_streams", "Peers with an open stream.", streams
    yield "log_available", "0 while the log fails.", int(outages <= 0)


def _balance(
    counts: metrics.Counts, up: events.EventKind, down: events.EventKind
) -> int:
    return counts.events.get(up.name, 0) - counts.events.get(down.name, 0)


def _labels(names: Sequence[str], values: Sequence[str]) -> dict[str, str]:
    """Return labels; the formatter leaves escaping to its user."""
    return {
        name: value.replace("\\", r"\\")
        .replace('"', r"\"")
        .replace("\n", r"\n")
        for name, value in zip(names, values, strict=True)
    }
