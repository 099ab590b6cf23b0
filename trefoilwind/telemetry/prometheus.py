"""Metrics in the text format of Prometheus, rendered by aioprometheus.

The library's collectors encode labels as JSON at each update, and loading it
takes 0.13 s and 10 MB, so it is loaded and filled only when metrics are read.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import importlib
from typing import Any

# Upper bounds in seconds of the buckets of a latency histogram.
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
_PREFIX = "trefoilwind_"


@enum.unique
class Kind(enum.Enum):
    """Kinds of metrics; the values are class names of collectors."""

    COUNTER = "Counter"
    GAUGE = "Gauge"
    HISTOGRAM = "Histogram"


@dataclasses.dataclass(frozen=True)
class Latencies:
    """Distribution of latencies.

    Attributes:
        counts: Counts by bucket of `LATENCY_BOUNDS_S`, not cumulative; the last
            one counts the latencies above all bounds.
        total_s: Sum in seconds.
    """

    counts: tuple[int, ...]
    total_s: float


@dataclasses.dataclass(frozen=True)
class Family:
    """One metric with all its label values.

    Attributes:
        kind: Kind of the metric.
        name: Name without the project's prefix, with its unit.
        doc: Help text, one sentence.
        labels: Names of the labels.
        samples: Values by label values.
    """

    kind: Kind
    name: str
    doc: str
    labels: tuple[str, ...]
    samples: Mapping[tuple[str, ...], float | Latencies]


def gauge(name: str, doc: str, value: float) -> Family:
    """Return a gauge without labels."""
    return Family(Kind.GAUGE, name, doc, (), {(): value})


def content_type() -> str:
    """Return the media type of the rendered text."""
    return _load("formats.text").TEXT_CONTENT_TYPE


def render(families: Iterable[Family]) -> bytes:
    """Return metrics in the text format."""
    collectors = _load("collectors")
    registry = collectors.Registry()
    for family in families:
        options: dict[str, Any] = {"registry": registry}
        if family.kind is Kind.HISTOGRAM:
            options["buckets"] = LATENCY_BOUNDS_S
        make = getattr(collectors, family.kind.value)
        collector = make(_PREFIX + family.name, family.doc, **options)
        for values, sample in family.samples.items():
            if isinstance(sample, Latencies):
                sample = _histogram(sample)
            collector.set_value(_labels(family.labels, values), sample)
    return _load("formats.text").TextFormatter().marshall(registry)


def _load(module: str) -> Any:
    return importlib.import_module(f"aioprometheus.{module}")


def _histogram(latencies: Latencies) -> Any:
    filled = _load("histogram").Histogram(*LATENCY_BOUNDS_S)
    total = 0
    for bound, count in zip(filled.buckets, latencies.counts, strict=True):
        total += count
        filled.buckets[bound] = total
    filled.observations = total
    filled.sum = latencies.total_s
    return filled


def _labels(names: tuple[str, ...], values: tuple[str, ...]) -> dict[str, str]:
    """Return labels with escaped values, as the formatter does not escape."""
    return {
        name: value.replace("\\", r"\\")
        .replace('"', r"\"")
        .replace("\n", r"\n")
        for name, value in zip(names, values, strict=True)
    }
