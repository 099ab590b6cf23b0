"""Recent share of failed calls of a backend server, decayed over time.

Handles a backend server that fails, sheds or hangs some or all of its calls
while it reports good health. As it fails fast, it appears to have free slots
and would attract the calls of all callers.
"""

import dataclasses

# Weight of a new result in the moving average.
_SAMPLE_WEIGHT = 0.1
# Half-life in seconds of the average while there are no new results, so that a
# backend server that is not chosen is tried again.
HALF_LIFE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailureShare:
    """Moving average of results: 1 for a failure, 0 for an answer.

    Attributes:
        average: Average at the time of the last result.
        updated_at: Monotonic time in seconds of the last result.
    """

    average: float = 0.0
    updated_at: float = 0.0

    def current(self, now: float) -> float:
        """Return the average, decayed to the given time."""
        if self.average == 0.0:
            return 0.0
        return self.average * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def with_result(self, is_failure: bool, now: float) -> "FailureShare":
        """Return the average updated with one more result.

        Args:
            is_failure: True if the call failed at the backend server.
            now: Monotonic time in seconds.
        """
        share = self.current(now)
        share += _SAMPLE_WEIGHT * (float(is_failure) - share)
        return FailureShare(share, now)
