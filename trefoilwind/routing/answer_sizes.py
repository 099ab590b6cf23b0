"""Expected size of the answers on each route.

Answers routes whose answers are much larger than their requests: what a call
to another region costs is known only from its answer. State is bounded by the
number of routes.
"""

# Weight of a new answer in the average.
_SAMPLE_WEIGHT = 0.1
# Routes that are kept; those without calls for the longest time are dropped.
MAX_ROUTES = 1000


class AnswerSizes:
    """Average size of the answers of each route."""

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def record(self, route_name: str, size: int) -> None:
        """Record the size of an answer in bytes."""
        mean = self._mean_bytes.pop(route_name, float(size))
        self._mean_bytes[route_name] = mean + _SAMPLE_WEIGHT * (size - mean)
        if len(self._mean_bytes) > MAX_ROUTES:
            del self._mean_bytes[next(iter(self._mean_bytes))]

    def expected_bytes(self, route_name: str) -> int:
        """Return the expected size of an answer; 0 before the first one."""
        return round(self._mean_bytes.get(route_name, 0.0))
