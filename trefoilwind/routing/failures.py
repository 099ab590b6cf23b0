"""How often a backend server's calls failed lately; a pure function of time.

Load pattern answered: a backend server fails, sheds or hangs some or all of
its calls while its health is said to be good. As it fails fast, it looks free
and would draw the calls of all callers.
"""

import dataclasses

# Share of a new result in the average.
_SAMPLE_WEIGHT = 0.1
# Seconds in which an average without new results halves, so that a backend
# server that is left out is tried again.
HALF_LIFE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailureShare:
    """Average of recent results: 1 for a failure, 0 for an answer.

    Attributes:
        average: The average when the last result came.
        at: Monotonic time in seconds of the last result.
    """

    average: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        """Return the share that is believed now."""
        if self.average == 0.0:
            return 0.0
        return self.average * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def after(self, is_failure: bool, now: float) -> "FailureShare":
        """Return the average with one more result.

        Args:
            is_failure: True if the call failed at the backend server.
            now: Monotonic time in seconds.
        """
        share = self.now(now)
        share += _SAMPLE_WEIGHT * (float(is_failure) - share)
        return FailureShare(share, now)
