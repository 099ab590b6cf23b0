"""Bound on the calls that a cold backend server receives in any second.

Answers backend servers that crash when they receive more than a few calls per
second soon after their start, while up to hundreds of entry nodes with
information of any age send calls to them. The target node, through which all
calls pass, holds the bound; entry nodes only reduce the share of a cold server,
so that few calls are sent there to be refused.

Performs no I/O and reads no clock; the time is passed in.
"""

import collections
import dataclasses
import math

# Calls that may start at once after a pause.
MAX_BURST_CALLS = 4.0
# Seconds to which the bound on received calls applies.
WINDOW_S = 1.0
# Calls that an entry node compares with each other; an empty server is chosen
# up to this many times as often as the average.
_COMPARED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Calls that a target node passes on to a cold backend server.

    Attributes:
        rate_per_s: Calls passed on per second on average.
        burst: Calls that may be passed on at once after a pause.
        max_calls: Calls passed on in any `WINDOW_S`, including those passed on
            before the server was known to be cold.
    """

    rate_per_s: float
    burst: float
    max_calls: int


def limit(cold_per_s: float, overage: float, slack: float, slots: int) -> Limit:
    """Return the limit that keeps a server within its bound.

    A call that was passed on and has not arrived yet holds a slot. So a second
    has at most as many arrivals as calls were passed on in it, plus the slots.
    A server of many slots would get no call by this rule, and late arrivals
    then have half of what the bound allows beyond the rate.

    Args:
        cold_per_s: Calls per second that the server accepts.
        overage: Factor by which the calls of a second may exceed them.
        slack: Calls by which they may exceed them in addition.
        slots: Calls that the server runs at once.
    """
    allowed = cold_per_s * overage + slack
    late = min(slots, max(0.0, allowed - cold_per_s) / 2)
    max_calls = allowed - late
    rate_per_s = min(cold_per_s, max(0.0, max_calls - 1.0) / WINDOW_S)
    burst = min(MAX_BURST_CALLS, max_calls - rate_per_s * WINDOW_S)
    return Limit(rate_per_s, max(1.0, burst), math.floor(max_calls))


class ColdLimiter:
    """Decides which calls are passed on to one backend server.

    All calls are, unless the server is cold and its service has a limit.
    """

    def __init__(self) -> None:
        self._process = ("", 0)
        self._sequence = -1
        self._cold_until = -math.inf
        self._tokens = 0.0
        self._refilled_at = -math.inf
        # Times at which calls were passed on, within the last window.
        self._passed: collections.deque[float] = collections.deque()

    def left_s(self, now: float) -> float:
        """Return the seconds for which the server is still cold; 0 if warm."""
        return max(0.0, self._cold_until - now)

    def note_heartbeat(
        self, process: tuple[str, int], sequence: int, cold_s: float, now: float
    ) -> None:
        """Note the state of the server, as given by its latest heartbeat.

        Args:
            process: Key of the server's process.
            sequence: Counter of its heartbeats; 0 if none was received.
            cold_s: Remaining seconds for which the server is cold.
            now: Monotonic time in seconds.
        """
        if process == self._process and sequence <= self._sequence:
            return
        if now >= self._cold_until:
            # A previous process of this node may have passed on calls.
            self._tokens = 0.0
            self._refilled_at = now
        self._process = process
        self._sequence = sequence
        self._cold_until = now + cold_s if cold_s > 0.0 else -math.inf

    def wait_s(self, bound: Limit | None, ahead: int, now: float) -> float:
        """Return the seconds until a call may be passed on; 0 for at once.

        Args:
            bound: Limit of the server's service; None if there is none.
            ahead: Calls that wait to be passed on before it.
            now: Monotonic time in seconds.
        """
        if bound is None or now >= self._cold_until:
            return 0.0
        self._advance(bound, now)
        lacking = ahead + 1.0 - self._tokens
        rate_wait_s = (
            max(0.0, lacking) / bound.rate_per_s if bound.rate_per_s else 1e9
        )
        window_wait_s = 0.0
        if len(self._passed) >= bound.max_calls:
            first = self._passed[-bound.max_calls] if bound.max_calls else now
            window_wait_s = max(1e-3, first + WINDOW_S - now)
        return min(self.left_s(now), max(rate_wait_s, window_wait_s))

    def take(self, bound: Limit | None, now: float) -> bool:
        """Count a call that is passed on; return False if it must not be."""
        if bound is None:
            return True
        if self.wait_s(bound, 0, now) > 0.0:
            return False
        self._advance(bound, now)
        if now < self._cold_until:
            self._tokens -= 1.0
        self._passed.append(now)
        return True

    def _advance(self, bound: Limit, now: float) -> None:
        while self._passed and self._passed[0] < now - WINDOW_S:
            self._passed.popleft()
        elapsed_s = max(0.0, now - max(self._refilled_at, now - 1e3))
        tokens = self._tokens + elapsed_s * bound.rate_per_s
        self._tokens = min(bound.burst, tokens)
        self._refilled_at = now


def share(cold_per_s: float, slots: int, service_s: float) -> float:
    """Return the share of its usual calls that a cold server is considered for.

    Even if all other servers are full, the calls sent there by all entry nodes
    then about equal its limit.

    Args:
        cold_per_s: Calls per second that the server accepts.
        slots: Calls that it runs at once.
        service_s: Expected service time of a call in seconds.
    """
    usual_per_s = max(1, slots) / max(1e-3, service_s)
    return min(1.0, cold_per_s / (_COMPARED * usual_per_s))
