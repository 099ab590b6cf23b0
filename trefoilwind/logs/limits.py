"""Rate limit of the log lines of each kind of decision, at any load."""

import dataclasses


@dataclasses.dataclass
class _Bucket:
    """Token bucket of one kind.

    Attributes:
        tokens: Lines that may be written now.
        filled_at: Monotonic time in seconds of the last refill.
        suppressed: Lines suppressed since the last report.
    """

    tokens: float
    filled_at: float
    suppressed: int = 0


class KindLimits:
    """Token buckets that limit the lines of each kind."""

    def __init__(self, rate_per_s: float, burst: float):
        """Initialize without buckets; each kind gets one at its first line.

        Args:
            rate_per_s: Lines of a kind that may be written each second.
            burst: Lines of a kind that may be written at once.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, kind: str, now: float) -> bool:
        """Return whether a line may be written, and count it.

        Args:
            kind: Kind of the decision.
            now: Monotonic time in seconds.
        """
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = _Bucket(self._burst, now)
        elapsed_s = max(0.0, now - bucket.filled_at)
        bucket.filled_at = now
        filled = bucket.tokens + elapsed_s * self._rate_per_s
        bucket.tokens = min(self._burst, filled)
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            return False
        bucket.tokens -= 1.0
        return True

    def drain_suppressed(self) -> dict[str, int]:
        """Return and reset the counts of suppressed lines by kind."""
        counts = {
            kind: bucket.suppressed
            for kind, bucket in self._buckets.items()
            if bucket.suppressed
        }
        for kind in counts:
            self._buckets[kind].suppressed = 0
        return counts
