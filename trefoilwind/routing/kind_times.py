"""Service times by kind of work, at a target node and at an entry node.

Answers services that run calls of 40 ms and of 640 ms on servers that differ in
speed: a mean over all kinds tells what a server has run lately, not how fast it
is. A target node measures each kind. An entry node compares what it reports of
a kind with the typical time of that kind, so that one figure per server, its
slowness, serves all kinds.

State is bounded by `MAX_KINDS`; the time is passed in.
"""

from trefoilwind.routing import service_time

# Kinds that are kept; those without calls for the longest time are dropped.
MAX_KINDS = 1000
# Weight of the latest reported mean in the typical time of a kind.
_TYPICAL_WEIGHT = 0.1
# Weight of the latest report in the slowness of a server, as the means of
# rare kinds vary.
_SLOWNESS_WEIGHT = 0.5
_MIN_S = 1e-4


class MeasuredTimes:
    """Mean service time of each kind at one backend server."""

    def __init__(self) -> None:
        self._by_kind: dict[str, service_time.MeanTime] = {}

    def record(self, kind: str, seconds: float) -> None:
        """Record the service time of one call in seconds."""
        mean = self._by_kind.pop(kind, service_time.MeanTime())
        self._by_kind[kind] = mean.with_sample(seconds)
        if len(self._by_kind) > MAX_KINDS:
            del self._by_kind[next(iter(self._by_kind))]

    def mean_s(self, kind: str) -> float:
        """Return the mean time of a kind in seconds; negative if unknown."""
        return self._by_kind.get(kind, service_time.MeanTime()).seconds


class TypicalTimes:
    """Typical service time of each kind over all backend servers."""

    def __init__(self) -> None:
        self._by_kind: dict[str, float] = {}

    def seconds(self, kind: str, default_s: float) -> float:
        """Return the typical time of a kind, or the default, in seconds."""
        return self._by_kind.get(kind, default_s)

    def record(self, kind: str, mean_s: float) -> None:
        """Record the mean that a server reported for a kind, in seconds."""
        typical_s = self._by_kind.pop(kind, mean_s)
        typical_s += _TYPICAL_WEIGHT * (mean_s - typical_s)
        self._by_kind[kind] = typical_s
        if len(self._by_kind) > MAX_KINDS:
            del self._by_kind[next(iter(self._by_kind))]


def slowness(
    old: service_time.ReportedTime,
    mean_s: float,
    typical_s: float,
    now: float,
) -> service_time.ReportedTime:
    """Return the slowness of a server, 1 for a typical one, after a report.

    Args:
        old: Slowness before.
        mean_s: Mean time that it reported for a kind in seconds.
        typical_s: Typical time of that kind in seconds.
        now: Monotonic time in seconds.
    """
    ratio = mean_s / max(_MIN_S, typical_s)
    if old.seconds >= 0.0:
        known = old.estimate_s(1.0, now)
        ratio = known + _SLOWNESS_WEIGHT * (ratio - known)
    return service_time.ReportedTime(ratio, now)
