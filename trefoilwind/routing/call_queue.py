"""Queue in front of a backend server: runs, queues or refuses calls.

Handles bursts of several seconds in which more calls arrive than the backend
server has slots. The calls have different ranks and lose value once their
target latency has passed. A call that cannot end in time is refused on arrival,
while a retry still helps its caller. A call that a running call waits for goes
first, as the running call holds a slot in the meantime. A backend server that
limits the rate of its calls delays them in the same queue.

Performs no I/O and reads no clock; the time is passed in.
"""

import bisect
import dataclasses
import math
import operator

from trefoilwind.routing import rate_limit

# Weight of a new sample in the average service time.
_SAMPLE_WEIGHT = 0.1
# Service time in seconds assumed before any call was measured.
INITIAL_SERVICE_S = 0.05
# Bounds of the factor on the expected wait of a kind, its growth per late
# answer and its decay per answer in time. At equilibrium one answer in twenty
# of a kind is late. The factor accounts for more important calls that arrive
# later and prolong the wait of the others beyond what the queue indicates.
MIN_WAIT_FACTOR = 1.0
MAX_WAIT_FACTOR = 8.0
_WAIT_FACTOR_GROWTH = 1.1
_WAIT_FACTOR_DECAY = 0.995
# Bounds in seconds of the retry delay that is sent with a refusal.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Call that requests a slot.

    Attributes:
        number: Unique number, increasing with the time of arrival.
        kind: Name of a group of calls with similar service times, such as a
            route.
        rank: Rank of the call; 0 is the most important.
        is_nested: True if a running call waits for it.
        target_deadline: Monotonic time in seconds after which it is late.
        deadline: Monotonic time in seconds after which the caller no longer
            waits.
    """

    number: int
    kind: str
    rank: int
    is_nested: bool
    target_deadline: float
    deadline: float

    @property
    def order(self) -> tuple[bool, int, int]:
        """Sort key of waiting calls."""
        return (not self.is_nested, self.rank, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Verdict that the call may run now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Verdict that the call was queued."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Verdict that the call was refused, as it would end too late.

    Attributes:
        retry_s: Seconds after which there may be a free slot.
    """

    retry_s: float


Verdict = Started | Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class QueueChange:
    """Effect of a change of the queue on calls that waited.

    Attributes:
        started: Calls that may run now.
        refused: Calls that can no longer end in time.
    """

    started: tuple[Ticket, ...] = ()
    refused: tuple[Ticket, ...] = ()


class CallQueue:
    """Slots of one backend server and the calls that wait for one."""

    def __init__(self, slots: int):
        self._slots = max(1, slots)
        self._running = 0
        self._waiting: list[Ticket] = []
        self._mean_s_by_kind: dict[str, float] = {}
        self._wait_factors: dict[str, float] = {}
        self._mean_s = INITIAL_SERVICE_S
        # None while the rate of calls is not limited.
        self._bucket: rate_limit.TokenBucket | None = None
        # Bucket of the limit that has ended, so that one which comes and goes
        # does not allow a burst each time.
        self._ended_bucket: rate_limit.TokenBucket | None = None

    @property
    def slots(self) -> int:
        """Number of calls that may run concurrently."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return self._running

    @property
    def occupied(self) -> int:
        """Number of calls that hold a slot or wait for one."""
        return self._running + len(self._waiting)

    @property
    def load(self) -> int:
        """Number of occupied slots and waiting calls that delays a call alike.

        The same as `occupied`, unless the rate limit delays calls for longer.
        """
        rate_wait_s = self._rate_wait_s(len(self._waiting))
        if rate_wait_s <= 0.0:
            return self.occupied
        excess = math.ceil(rate_wait_s * self._slots / self._mean_s)
        return max(self.occupied, self._slots - 1 + excess)

    @property
    def is_rate_limited(self) -> bool:
        """True if a new call has to wait for the rate limit."""
        return self._rate_wait_s(len(self._waiting)) > 0.0

    def set_rate_limit(self, limit_per_s: float, now: float) -> QueueChange:
        """Limit the calls that start per second.

        Args:
            limit_per_s: Calls per second; infinity for no limit.
            now: Monotonic time in seconds.
        """
        if math.isinf(limit_per_s):
            if self._bucket is not None:
                self._ended_bucket = self._bucket.emptied(now)
            self._bucket = None
            return self.advance(now)
        bucket = self._bucket or self._ended_bucket
        if bucket is None:
            self._bucket = rate_limit.full(limit_per_s, now)
        else:
            self._bucket = bucket.with_rate(limit_per_s, now)
        return self.advance(now)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running calls are not affected."""
        self._slots = max(1, slots)

    def submit(self, ticket: Ticket, now: float) -> Verdict:
        """Start, queue or refuse a new call."""
        self._refill(now)
        if self._may_start() and not self._waiting:
            self._start()
            return Started()
        ahead = self._index(ticket)
        wait_factor = self._wait_factors.get(ticket.kind, MIN_WAIT_FACTOR)
        wait_s = self.expected_wait_s(ahead) * wait_factor
        expected_end = now + wait_s + self._expected_service_s(ticket.kind)
        if expected_end > _useful_until(ticket, now):
            return Refused(self.retry_s())
        self._waiting.insert(ahead, ticket)
        return Queued()

    def expected_wait_s(self, ahead: int) -> float:
        """Return the expected wait in seconds behind `ahead` waiting calls."""
        slot_wait_s = (ahead + 1) * self._mean_s / self._slots
        return max(slot_wait_s, self._rate_wait_s(ahead))

    def retry_s(self) -> float:
        """Return the retry delay in seconds: the bounded expected wait."""
        wait_s = self.expected_wait_s(len(self._waiting))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    def release(self, ticket: Ticket, held_s: float, now: float) -> QueueChange:
        """Release the slot of a call that ended.

        Args:
            ticket: Call that ended.
            held_s: Seconds for which it held the slot; negative if the time
                is not to be measured.
            now: Monotonic time in seconds.
        """
        self._running -= 1
        if held_s >= 0:
            self._record_sample(ticket, held_s, now)
        return self.advance(now)

    def advance(self, now: float) -> QueueChange:
        """Start waiting calls while slots are free; refuse overdue ones."""
        self._refill(now)
        started = []
        refused = []
        while self._waiting and self._may_start():
            ticket = self._waiting.pop(0)
            if now + self._expected_service_s(ticket.kind) > ticket.deadline:
                refused.append(ticket)
                continue
            self._start()
            started.append(ticket)
        return QueueChange(tuple(started), tuple(refused))

    def refuse_overdue(self, now: float) -> QueueChange:
        """Remove and refuse the calls that can no longer end in time."""
        self._refill(now)
        kept: list[Ticket] = []
        refused = []
        for ticket in self._waiting:
            start = now + self._rate_wait_s(len(kept))
            end = start + self._expected_service_s(ticket.kind)
            (refused if end > ticket.deadline else kept).append(ticket)
        self._waiting = kept
        return QueueChange(refused=tuple(refused))

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting call; return False if it is not queued."""
        index = self._index(ticket)
        is_found = index < len(self._waiting) and self._waiting[index] == ticket
        if is_found:
            del self._waiting[index]
        return is_found

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all waiting calls."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        return waiting

    def _refill(self, now: float) -> None:
        if self._bucket is not None:
            self._bucket = self._bucket.refilled(now)

    def _may_start(self) -> bool:
        has_token = self._bucket is None or self._bucket.may_start
        return has_token and self._running < self._slots

    def _start(self) -> None:
        self._running += 1
        if self._bucket is not None:
            self._bucket = self._bucket.taken()

    def _rate_wait_s(self, ahead: int) -> float:
        return 0.0 if self._bucket is None else self._bucket.wait_s(ahead)

    def _index(self, ticket: Ticket) -> int:
        return bisect.bisect_left(
            self._waiting, ticket.order, key=operator.attrgetter("order")
        )

    def _expected_service_s(self, kind: str) -> float:
        return self._mean_s_by_kind.get(kind, self._mean_s)

    def _record_sample(self, ticket: Ticket, held_s: float, now: float) -> None:
        kind = ticket.kind
        mean_s = self._mean_s_by_kind.get(kind, held_s)
        self._mean_s_by_kind[kind] = mean_s + _SAMPLE_WEIGHT * (held_s - mean_s)
        self._mean_s += _SAMPLE_WEIGHT * (held_s - self._mean_s)
        wait_factor = self._wait_factors.get(kind, MIN_WAIT_FACTOR)
        if now > ticket.target_deadline:
            wait_factor = min(
                MAX_WAIT_FACTOR, wait_factor * _WAIT_FACTOR_GROWTH
            )
        else:
            wait_factor = max(MIN_WAIT_FACTOR, wait_factor * _WAIT_FACTOR_DECAY)
        self._wait_factors[kind] = wait_factor


def _useful_until(ticket: Ticket, now: float) -> float:
    """Return the monotonic time until which an answer is still useful."""
    if ticket.target_deadline > now:
        return min(ticket.target_deadline, ticket.deadline)
    return ticket.deadline
