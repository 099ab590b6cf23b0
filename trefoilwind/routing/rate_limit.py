"""Token bucket that keeps the calls of one backend server within a rate.

Handles a backend server that accepts fewer calls per second than its slots
would allow, possibly far fewer than are sent to it, and that may change the
rate with each answer.

Performs no I/O and reads no clock; the time is passed in.
"""

import dataclasses

# Calls that may start at once after a pause, as seconds of the rate, and their
# maximum. The rate may fall right after them, and only five calls are then
# allowed beyond it.
BURST_S = 0.25
MAX_BURST_CALLS = 4.0
# Lowest rate in calls per second. A backend server that accepts none would get
# no call in whose answer it could name a higher limit.
MIN_RATE_PER_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """Calls that may start now; each takes one token.

    Attributes:
        rate_per_s: Tokens added per second.
        tokens: Tokens at `updated_at`; a call may start if there is a whole
            one.
        updated_at: Monotonic time in seconds.
    """

    rate_per_s: float
    tokens: float
    updated_at: float

    @property
    def may_start(self) -> bool:
        """True if a call may start at `updated_at`."""
        return self.tokens >= 1.0

    def refilled(self, now: float) -> "TokenBucket":
        """Return the bucket with the tokens added until `now`."""
        elapsed_s = max(0.0, now - self.updated_at)
        tokens = self.tokens + elapsed_s * self.rate_per_s
        return TokenBucket(
            self.rate_per_s, min(_capacity(self.rate_per_s), tokens), now
        )

    def with_rate(self, rate_per_s: float, now: float) -> "TokenBucket":
        """Return the bucket with another rate and at most its tokens."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        tokens = min(_capacity(rate_per_s), self.refilled(now).tokens)
        return TokenBucket(rate_per_s, tokens, now)

    def taken(self) -> "TokenBucket":
        """Return the bucket after the start of a call."""
        return dataclasses.replace(self, tokens=self.tokens - 1.0)

    def emptied(self, now: float) -> "TokenBucket":
        """Return the bucket without tokens."""
        return TokenBucket(self.rate_per_s, 0.0, now)

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until a call may start behind `ahead` others."""
        return max(0.0, (ahead + 1 - self.tokens) / self.rate_per_s)


def full(rate_per_s: float, now: float) -> TokenBucket:
    """Return a bucket that allows a burst at once."""
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    return TokenBucket(rate_per_s, _capacity(rate_per_s), now)


def _capacity(rate_per_s: float) -> float:
    return min(MAX_BURST_CALLS, max(1.0, rate_per_s * BURST_S))
