"""Counts of a node on the event loop: a few additions on the path of calls."""

import bisect
import collections

from hdrh import histogram as hdr

from trefoilwind.telemetry import prometheus

# Services that are counted apart; the operator names them, so their number
# has a bound here. Those beyond share one label.
MAX_SERVICES = 32
OTHER_SERVICES = "other"
# Range in microseconds and significant digits of the histograms.
_LEAST_US = 1
_MOST_US = 60_000_000
_DIGITS = 2
_US_PER_S = 1e6


class _Durations:
    """Distribution of times, exact to the digits of the histogram."""

    def __init__(self) -> None:
        self._histogram = hdr.HdrHistogram(_LEAST_US, _MOST_US, _DIGITS)
        self._total_s = 0.0

    def add(self, seconds: float) -> None:
        """Count a time; one beyond the range counts as its end."""
        micros = max(_LEAST_US, min(_MOST_US, int(seconds * _US_PER_S)))
        self._histogram.record_value(micros)
        self._total_s += seconds

    def quantile_s(self, share: float) -> float:
        """Return the time in seconds that a share of all does not exceed."""
        return self._histogram.get_value_at_percentile(100 * share) / _US_PER_S

    def latencies(self) -> prometheus.Latencies:
        """Return the counts by the classes of the metrics."""
        bounds = prometheus.LATENCY_BOUNDS_S
        counts = [0] * (len(bounds) + 1)
        for item in self._histogram.get_recorded_iterator():
            seconds = item.value_iterated_to / _US_PER_S
            found = item.count_added_in_this_iter_step
            counts[bisect.bisect_left(bounds, seconds)] += found
        return prometheus.Latencies(tuple(counts), self._total_s)


class MeshCounts:
    """Counts of one node, as entry and as target."""

    def __init__(self) -> None:
        self._services: set[str] = set()
        self._requests: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self._attempts: collections.Counter[tuple[str]] = collections.Counter()
        self._request_times: dict[str, _Durations] = {}
        self._wait_times: dict[str, _Durations] = {}

    def request_ended(
        self, service: str, result: str, attempts: int, seconds: float
    ) -> None:
        """Count a caller's request.

        Args:
            service: Service that it was for.
            result: "answered", or the public name of the reason.
            attempts: Nodes that were asked.
            seconds: Time from its receipt to its end.
        """
        name = self._bounded(service)
        self._requests[name, result] += 1
        self._attempts[(name,)] += attempts
        _durations(self._request_times, name).add(seconds)

    def run_ended(self, service: str, result: str) -> None:
        """Count a call that asked for the backend server beside this node."""
        self._runs[self._bounded(service), result] += 1

    def slot_taken(self, service: str, seconds: float) -> None:
        """Count the time that a call waited for a slot."""
        _durations(self._wait_times, self._bounded(service)).add(seconds)

    def request_quantile_s(self, service: str, share: float) -> float:
        """Return a quantile of the times of requests, in seconds."""
        return self._request_times[self._bounded(service)].quantile_s(share)

    def families(self) -> tuple[prometheus.Family, ...]:
        """Return what was counted so far."""
        counter = prometheus.Kind.COUNTER
        histogram = prometheus.Kind.HISTOGRAM
        return (
            prometheus.Family(
                counter,
                "requests_total",
                "Requests of callers by service and result.",
                ("service", "result"),
                self._requests,
            ),
            prometheus.Family(
                counter,
                "attempts_total",
                "Nodes that were asked for requests, by service.",
                ("service",),
                self._attempts,
            ),
            prometheus.Family(
                counter,
                "runs_total",
                "Calls that asked for the backend server beside this node.",
                ("service", "result"),
                self._runs,
            ),
            prometheus.Family(
                histogram,
                "request_duration_seconds",
                "Time from the receipt of a request to its end, by service.",
                ("service",),
                _all_latencies(self._request_times),
            ),
            prometheus.Family(
                histogram,
                "slot_wait_seconds",
                "Time that calls waited for a slot, by service.",
                ("service",),
                _all_latencies(self._wait_times),
            ),
        )

    def _bounded(self, service: str) -> str:
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER_SERVICES
        self._services.add(service)
        return service


def _durations(times: dict[str, _Durations], name: str) -> _Durations:
    found = times.get(name)
    if found is None:
        found = times[name] = _Durations()
    return found


def _all_latencies(
    times: dict[str, _Durations],
) -> dict[tuple[str, ...], prometheus.Latencies]:
    return {(name,): found.latencies() for name, found in times.items()}
