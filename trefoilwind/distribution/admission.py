"""Limit on the rate of new streams that a node accepts."""

from trefoilwind import clock as clock_lib


class AcceptLimit:
    """Token bucket whose capacity is the accepts of one second."""

    def __init__(self, clock: clock_lib.Clock, rate_per_s: int):
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._tokens = float(rate_per_s)
        self._updated = clock.monotonic()

    def admit(self) -> bool:
        """Return True if a further stream may be accepted now."""
        now = self._clock.monotonic()
        gained = (now - self._updated) * self._rate_per_s
        self._tokens = min(float(self._rate_per_s), self._tokens + gained)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
