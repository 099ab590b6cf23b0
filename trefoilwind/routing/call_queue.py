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

from trefoilwind.routing import fair_share
from trefoilwind.routing import queue_order
from trefoilwind.routing import rate_limit

# Weight of a new sample in the average service time, and for few slots. A
# server of 3 slots ends about 10 calls a second and becomes slow for some
# seconds; with 0.1 its mean follows too late.
_SAMPLE_WEIGHT = 0.1
_FEW_SLOTS_SAMPLE_WEIGHT = 0.2
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
# Share of the time for which a call has run that it is expected to need at
# least until its end. A server that has just become slow shows it so before its
# mean service times do.
_MIN_REMAINING_SHARE = 0.25
# Number of slots up to which the margin of a new call counts in full. With 13
# slots and the full margin calls that would have been in time were refused.
_FEW_SLOTS = 3
# Work is long if it takes this many times as long as shorter work of greater
# importance. One kind of long work does not take the last slot from that.
_LONG_WORK_RATIO = 2.5
# Seconds after the last arrival of shorter work in which a slot is kept.
_KEEP_SLOT_S = 1.0
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
        customer: Name of the customer; empty for none.
    """

    number: int
    kind: str
    rank: int
    is_nested: bool
    target_deadline: float
    deadline: float
    customer: str = ""

    @property
    def order(self) -> tuple[bool, int, int]:
        """Sort key of waiting calls."""
        return (not self.is_nested, self.rank, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Verdict that the call may run now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Verdict that the call was queued.

    Attributes:
        displaced: Waiting calls that are refused in its favour.
    """

    displaced: tuple[Ticket, ...] = ()


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

    def __init__(
        self,
        slots: int,
        rules: queue_order.Rules | None = None,
    ):
        """Initialize an idle queue.

        Args:
            slots: Number of calls that may run concurrently.
            rules: Discipline of the queue; None for the one that suits the
                number of slots.
        """
        self._fixed_rules = rules
        self._rules = rules or queue_order.for_slots(slots)
        self._slots = max(1, slots)
        self._running = 0
        # Start and expected service time in seconds of each running call, and
        # its kind.
        self._runs: dict[int, tuple[float, float, str]] = {}
        self._deviation_s_by_kind: dict[str, float] = {}
        # Time in seconds of the last arrival of each kind, and its rank.
        self._arrivals: dict[str, tuple[float, int]] = {}
        self._customers = fair_share.FairShare()
        self._kinds = fair_share.FairShare()
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
        rules = self._fixed_rules or queue_order.for_slots(self._slots)
        if rules != self._rules:
            self._rules = rules
            self._waiting.sort(key=operator.attrgetter("order"))

    def submit(self, ticket: Ticket, now: float) -> Verdict:
        """Start, queue or refuse a new call."""
        self._refill(now)
        self._record_arrival(ticket, now)
        if self._may_start(ticket, now) and not any(
            self._may_start(other, now) for other in self._waiting
        ):
            self._start(ticket, now)
            return Started()
        if not self._rules.is_projected:
            return self._submit_by_mean(ticket, now)
        self._waiting.append(ticket)
        self._sort(now)
        starts = self._projected_starts(now)
        index = self._waiting.index(ticket)
        wait_factor = self._wait_factors.get(ticket.kind, MIN_WAIT_FACTOR)
        wait_s = (starts[index] - now) * wait_factor
        if self._rules.is_fair and ticket.customer:
            wait_s /= self._customers.share_factor(ticket.customer, now)
        end = now + wait_s + self._admitted_service_s(ticket.kind)
        if end > queue_order.useful_until(ticket, now):
            del self._waiting[index]
            return Refused(_bounded_retry_s(starts[index] - now))
        if not self._rules.sheds:
            return Queued()
        behind = zip(
            self._waiting[index + 1 :], starts[index + 1 :], strict=True
        )
        displaced = tuple(
            other
            for other, start in behind
            if start + self._expected_service_s(other.kind) > other.deadline
        )
        for other in displaced:
            self._waiting.remove(other)
        return Queued(displaced)

    def _submit_by_mean(self, ticket: Ticket, now: float) -> Verdict:
        ahead = self._index(ticket)
        wait_factor = self._wait_factors.get(ticket.kind, MIN_WAIT_FACTOR)
        wait_s = self.expected_wait_s(ahead) * wait_factor
        expected_end = now + wait_s + self._expected_service_s(ticket.kind)
        if expected_end > queue_order.useful_until(ticket, now):
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
        return _bounded_retry_s(wait_s)

    def release(self, ticket: Ticket, held_s: float, now: float) -> QueueChange:
        """Release the slot of a call that ended.

        Args:
            ticket: Call that ended.
            held_s: Seconds for which it held the slot; negative if the time
                is not to be measured.
            now: Monotonic time in seconds.
        """
        self._running -= 1
        self._runs.pop(ticket.number, None)
        if held_s >= 0:
            self._record_sample(ticket, held_s, now)
        return self.advance(now)

    def advance(self, now: float) -> QueueChange:
        """Start waiting calls while slots are free; refuse overdue ones."""
        self._refill(now)
        started = []
        refused = []
        self._sort(now)
        for ticket in tuple(self._waiting):
            if not self._may_start(ticket, now):
                if self._has_free_slot():
                    continue
                break
            self._waiting.remove(ticket)
            if now + self._longest_service_s(ticket.kind) > ticket.deadline:
                refused.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return QueueChange(tuple(started), tuple(refused))

    def refuse_overdue(self, now: float) -> QueueChange:
        """Remove and refuse the calls that can no longer end in time."""
        self._refill(now)
        kept: list[Ticket] = []
        refused = []
        starts = [now] * len(self._waiting)
        if self._rules.refuses_early:
            starts = self._projected_starts(now)
        for ticket, expected in zip(self._waiting, starts, strict=True):
            start = max(expected, now + self._rate_wait_s(len(kept)))
            end = start + self._longest_service_s(ticket.kind)
            (refused if end > ticket.deadline else kept).append(ticket)
        self._waiting = kept
        return QueueChange(refused=tuple(refused))

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting call; return False if it is not queued."""
        is_found = ticket in self._waiting
        if is_found:
            self._waiting.remove(ticket)
        return is_found

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all waiting calls."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        return waiting

    def _refill(self, now: float) -> None:
        if self._bucket is not None:
            self._bucket = self._bucket.refilled(now)

    def _has_free_slot(self) -> bool:
        has_token = self._bucket is None or self._bucket.may_start
        return has_token and self._running < self._slots

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        if not self._has_free_slot():
            return False
        if not self._rules.limits_long_work or ticket.is_nested:
            return True
        same_kind = sum(k == ticket.kind for _, _, k in self._runs.values())
        if same_kind < max(1, self._slots - 1):
            return True
        return not self._is_long(ticket, now)

    def _is_long(self, ticket: Ticket, now: float) -> bool:
        """Return True if shorter work that matters more arrives."""
        service_s = self._mean_s_by_kind.get(ticket.kind, 0.0)
        for kind, (arrived, rank) in self._arrivals.items():
            if arrived < now - _KEEP_SLOT_S or rank >= ticket.rank:
                continue
            shorter_s = self._mean_s_by_kind.get(kind, math.inf)
            if service_s >= _LONG_WORK_RATIO * shorter_s:
                return True
        return False

    def _start(self, ticket: Ticket, now: float) -> None:
        self._running += 1
        service_s = self._expected_service_s(ticket.kind)
        self._runs[ticket.number] = (now, service_s, ticket.kind)
        if self._bucket is not None:
            self._bucket = self._bucket.taken()
        if self._rules.is_fair:
            self._kinds.record_started(ticket.kind, service_s, now)
            if ticket.customer:
                self._customers.record_started(ticket.customer, service_s, now)

    def _record_arrival(self, ticket: Ticket, now: float) -> None:
        if self._rules.limits_long_work:
            rank = -1 if ticket.is_nested else ticket.rank
            self._arrivals[ticket.kind] = (now, rank)
        if self._rules.is_fair:
            self._kinds.record_asked(ticket.kind, now)
            if ticket.customer:
                self._customers.record_asked(ticket.customer, now)

    def _sort(self, now: float) -> None:
        if not self._rules.is_projected or len(self._waiting) < 2:
            return
        floors = {}
        if self._rules.is_fair:
            kinds = {ticket.kind for ticket in self._waiting}
            floors = {k: self._kinds.floor_factor(k, now) for k in kinds}
        keys = {
            ticket.number: self._rules.order(
                ticket, self._work(ticket, floors, now), now
            )
            for ticket in self._waiting
        }
        self._waiting.sort(key=lambda ticket: keys[ticket.number])

    def _work(
        self, ticket: Ticket, floors: dict[str, float], now: float
    ) -> queue_order.Work:
        fairness = floors.get(ticket.kind, 1.0)
        if self._rules.is_fair and ticket.customer:
            fairness *= self._customers.floor_factor(ticket.customer, now)
        service_s = self._expected_service_s(ticket.kind)
        return queue_order.Work(service_s, self._mean_s, fairness)

    def _projected_starts(self, now: float) -> list[float]:
        """Return the expected start in seconds of each waiting call."""
        ends = sorted(
            max(
                started + service_s,
                now + _MIN_REMAINING_SHARE * (now - started),
            )
            for started, service_s, _ in self._runs.values()
        )
        ends = ends[: self._slots]
        free = [now] * (self._slots - len(ends))
        service_s = [self._expected_service_s(t.kind) for t in self._waiting]
        starts = queue_order.projected_starts(ends + free, service_s, now)
        if self._bucket is None:
            return starts
        return [
            max(start, now + self._rate_wait_s(ahead))
            for ahead, start in enumerate(starts)
        ]

    def _rate_wait_s(self, ahead: int) -> float:
        return 0.0 if self._bucket is None else self._bucket.wait_s(ahead)

    def _index(self, ticket: Ticket) -> int:
        return bisect.bisect_left(
            self._waiting, ticket.order, key=operator.attrgetter("order")
        )

    def _expected_service_s(self, kind: str) -> float:
        return self._mean_s_by_kind.get(kind, self._mean_s)

    def _admitted_service_s(self, kind: str) -> float:
        """Return the service time in seconds that a new call must allow for."""
        deviation_s = self._deviation_s_by_kind.get(kind, 0.0)
        # The expected wait is the less certain, the fewer slots there are.
        scale = min(1.0, _FEW_SLOTS / self._slots)
        margin_s = scale * self._rules.admission_margin * deviation_s
        return self._expected_service_s(kind) + margin_s

    def _longest_service_s(self, kind: str) -> float:
        """Return a service time in seconds that few calls of a kind exceed."""
        deviation_s = self._deviation_s_by_kind.get(kind, 0.0)
        margin_s = self._rules.margin * deviation_s
        return self._expected_service_s(kind) + margin_s

    def _record_sample(self, ticket: Ticket, held_s: float, now: float) -> None:
        kind = ticket.kind
        is_few = self._slots <= _FEW_SLOTS
        sample_weight = _FEW_SLOTS_SAMPLE_WEIGHT if is_few else _SAMPLE_WEIGHT
        mean_s = self._mean_s_by_kind.get(kind, held_s)
        deviation_s = self._deviation_s_by_kind.get(kind, 0.0)
        self._deviation_s_by_kind[kind] = deviation_s + sample_weight * (
            abs(held_s - mean_s) - deviation_s
        )
        self._mean_s_by_kind[kind] = mean_s + sample_weight * (held_s - mean_s)
        self._mean_s += sample_weight * (held_s - self._mean_s)
        wait_factor = self._wait_factors.get(kind, MIN_WAIT_FACTOR)
        if now > ticket.target_deadline:
            wait_factor = min(
                MAX_WAIT_FACTOR, wait_factor * _WAIT_FACTOR_GROWTH
            )
        else:
            wait_factor = max(MIN_WAIT_FACTOR, wait_factor * _WAIT_FACTOR_DECAY)
        self._wait_factors[kind] = wait_factor


def _bounded_retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
