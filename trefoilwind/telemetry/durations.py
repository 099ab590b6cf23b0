"""Distribution of durations in an HDR histogram."""

import bisect

from hdrh import histogram as hdr

from trefoilwind.telemetry import prometheus

# Range in microseconds and significant digits of the histogram.
_MIN_US = 1
_MAX_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1e6


class Durations:
    """Distribution of durations, with the precision of the histogram."""

    def __init__(self) -> None:
        self._histogram = hdr.HdrHistogram(
            _MIN_US, _MAX_US, _SIGNIFICANT_DIGITS
        )
        self._total_s = 0.0

    def add(self, seconds: float) -> None:
        """Record a duration, clamped to the range of the histogram."""
        micros = max(_MIN_US, min(_MAX_US, int(seconds * _US_PER_S)))
        self._histogram.record_value(micros)
        self._total_s += seconds

    def quantile_s(self, share: float) -> float:
        """Return the quantile of a share of the durations, in seconds.

        It is 0 if nothing was recorded.
        """
        if not self._histogram.get_total_count():
            return 0.0
        return self._histogram.get_value_at_percentile(100 * share) / _US_PER_S

    def latencies(self) -> prometheus.Latencies:
        """Return the counts by the buckets of the metrics."""
        bounds = prometheus.LATENCY_BOUNDS_S
        counts = [0] * (len(bounds) + 1)
        for item in self._histogram.get_recorded_iterator():
            seconds = item.value_iterated_to / _US_PER_S
            found = item.count_added_in_this_iter_step
            counts[bisect.bisect_left(bounds, seconds)] += found
        return prometheus.Latencies(tuple(counts), self._total_s)
