"""Adaptive concurrency limit of one backend server.

Additive increase while latencies are stable, multiplicative decrease when the
average latency of a class rises above its recent minimum or when the backend
server sheds a call or times out.
"""

import dataclasses

_SAMPLE_WEIGHT = 0.1
_TOLERANCE = 2.0
_DECREASE_FACTOR = 0.9
_WINDOW_S = 10.0
_MIN_LIMIT = 1.0
_MIN_SAMPLES = 10
_MIN_EXCESS_S = 0.002


@dataclasses.dataclass
class _ClassLatency:
    """Average latency of one class and its minimum over two windows."""

    average_s: float
    window_end: float
    minimum_s: float
    previous_minimum_s: float
    samples: int = 1

    def add(self, latency_s: float, now: float) -> None:
        """Record a latency in seconds."""
        self.samples += 1
        self.average_s += _SAMPLE_WEIGHT * (latency_s - self.average_s)
        if now >= self.window_end:
            self.previous_minimum_s = self.minimum_s
            self.minimum_s = self.average_s
            self.window_end = now + _WINDOW_S
        self.minimum_s = min(self.minimum_s, self.average_s)

    @property
    def is_high(self) -> bool:
        """True if the average is far above its recent minimum."""
        base_s = min(self.minimum_s, self.previous_minimum_s)
        allowed_s = max(base_s * _TOLERANCE, base_s + _MIN_EXCESS_S)
        return self.samples >= _MIN_SAMPLES and self.average_s > allowed_s


class AdaptiveLimit:
    """Concurrency limit between 1 and the announced slots of a server."""

    def __init__(self, slots: int):
        self._slots = max(1, slots)
        self._limit = float(self._slots)
        self._latencies: dict[str, _ClassLatency] = {}
        self._decrease_allowed_at = 0.0

    @property
    def limit(self) -> int:
        """Number of calls that may be in flight."""
        return int(self._limit)

    @property
    def slots(self) -> int:
        """Upper bound of the limit."""
        return self._slots

    def ended(
        self,
        class_name: str,
        latency_s: float,
        overloaded: bool,
        in_flight: int,
        now: float,
    ) -> None:
        """Adjust the limit when a call ended.

        Args:
            class_name: Class of the call.
            latency_s: Seconds from its start to the head of the answer.
            overloaded: True if the backend server shed it or timed out.
            in_flight: Number of calls in flight, including this one.
            now: Monotonic time in seconds.
        """
        is_high = overloaded or self._add(class_name, latency_s, now)
        if is_high:
            self._decrease(latency_s, now)
        elif 2 * in_flight >= self._limit:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self._slots), raised)

    def _add(self, class_name: str, latency_s: float, now: float) -> bool:
        latency = self._latencies.get(class_name)
        if latency is None:
            self._latencies[class_name] = _ClassLatency(
                latency_s, now + _WINDOW_S, latency_s, latency_s
            )
            return False
        latency.add(latency_s, now)
        return latency.is_high

    def _decrease(self, latency_s: float, now: float) -> None:
        # Calls that started before the last decrease do not reflect it yet.
        if now < self._decrease_allowed_at:
            return
        self._limit = max(_MIN_LIMIT, self._limit * _DECREASE_FACTOR)
        self._decrease_allowed_at = now + latency_s
