"""Service time of a backend server, as measured and as reported.

Handles backend servers of one service that differ in speed by a factor of
three, while each entry node sends too few calls to each of them to measure it
alone. Slow ones are used only when the others are full.
"""

import dataclasses
import math

# Weight of a new sample in the average that a target node reports: it spans
# about 30 calls, as the times of single calls vary by half.
_SAMPLE_WEIGHT = 0.03
# Samples until the moving average applies; before, all samples weigh the same.
_WARM_UP_SAMPLES = 30
# Half-life in seconds of the difference between a reported time and the
# baseline, so that a backend server that was slow for a while is tried again.
HALF_LIFE_S = 10.0
# Seconds for which the longest time is kept; at most twice as long.
LONGEST_LIFETIME_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeanTime:
    """Average service time of one backend server.

    Attributes:
        seconds: Average time in seconds; negative if nothing was measured.
        samples: Number of calls measured, up to `_WARM_UP_SAMPLES`.
    """

    seconds: float = -1.0
    samples: int = 0

    def with_sample(self, sample_s: float) -> "MeanTime":
        """Return the average updated with one more sample."""
        if not self.samples:
            return MeanTime(sample_s, 1)
        weight = max(_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        average_s = self.seconds + weight * (sample_s - self.seconds)
        return MeanTime(average_s, min(_WARM_UP_SAMPLES, self.samples + 1))


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedTime:
    """Service time that a target node reported for its backend server.

    Attributes:
        seconds: Average time in seconds; negative if none was reported.
        reported_at: Monotonic time in seconds of the report.
    """

    seconds: float = -1.0
    reported_at: float = 0.0

    def estimate_s(self, baseline_s: float, now: float) -> float:
        """Return the estimated service time of a call in seconds.

        Args:
            baseline_s: Average service time of all backend servers in seconds.
            now: Monotonic time in seconds.
        """
        if self.seconds < 0:
            return baseline_s
        weight = 0.5 ** ((now - self.reported_at) / HALF_LIFE_S)
        return baseline_s + weight * (self.seconds - baseline_s)


@dataclasses.dataclass(frozen=True, slots=True)
class LongestTime:
    """Longest time that a call of some kind has taken recently.

    Attributes:
        recent_s: Longest time in seconds since `since`.
        previous_s: Longest time in seconds of the span before.
        since: Monotonic time in seconds at which the current span began.
    """

    recent_s: float = 0.0
    previous_s: float = 0.0
    since: float = -math.inf

    @property
    def seconds(self) -> float:
        """Longest time in seconds; 0 if nothing was measured."""
        return max(self.recent_s, self.previous_s)

    def with_sample(self, sample_s: float, now: float) -> "LongestTime":
        """Return the longest time with one more sample.

        Args:
            sample_s: Time in seconds that a call has taken.
            now: Monotonic time in seconds of its end.
        """
        if now - self.since > LONGEST_LIFETIME_S:
            return LongestTime(sample_s, self.recent_s, now)
        if sample_s <= self.recent_s:
            return self
        return dataclasses.replace(self, recent_s=sample_s)
