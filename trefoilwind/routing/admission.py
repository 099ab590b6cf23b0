"""Admission control of a backend server: limit, short queue, shedding."""

from collections.abc import Callable
import dataclasses
import enum

from trefoilwind.routing import limits

QUEUE_WAIT_S = 0.25
QUEUE_PER_SLOT = 1
_SERVICE_TIME_WEIGHT = 0.1


@enum.unique
class Verdict(enum.Enum):
    """Outcome of a ticket."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    SHED = "shed"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """Call that requests admission.

    Attributes:
        class_name: Class of the call.
        importance: Importance of the class; the least important is shed
            first.
        deadline: Monotonic time in seconds of the call's deadline; once the
            ticket is queued, the time until which it may be admitted.
        decide: Called with the verdict when a queued ticket is admitted, shed
            or expired; must not block.
        started: Monotonic time in seconds of its admission.
    """

    class_name: str
    importance: int
    deadline: float
    decide: Callable[[Verdict], None]
    started: float = 0.0


class Admission:
    """Admission state of one backend server.

    Not thread-safe: the caller serialises access and passes the time in.
    """

    def __init__(self, slots: int):
        self._limit = limits.AdaptiveLimit(slots)
        self._in_flight = 0
        # Sorted by importance, the greatest first, then by age.
        self._queue: list[Ticket] = []
        self._service_time_s: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Number of admitted calls that have not ended."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Number of queued tickets."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Current limit of calls in flight."""
        return self._limit.limit

    def submit(self, ticket: Ticket, now: float) -> Verdict:
        """Admit, queue, shed or expire a ticket."""
        if not self._is_before_deadline(ticket, now):
            return Verdict.EXPIRED
        self.expire(now)
        if self._in_flight < self.limit and not self._queue:
            return self._admit(ticket, now)
        if len(self._queue) >= QUEUE_PER_SLOT * self._limit.slots:
            # Sorted by importance, so the last one is the first to shed.
            last = self._queue[-1]
            if last.importance >= ticket.importance:
                return Verdict.SHED
            self._queue.pop()
            last.decide(Verdict.SHED)
        ticket.deadline = min(
            ticket.deadline - self._expected_service_s(ticket),
            now + QUEUE_WAIT_S,
        )
        self._insert(ticket)
        return Verdict.QUEUED

    def ended(
        self, ticket: Ticket, latency_s: float, overloaded: bool, now: float
    ) -> None:
        """Release the slot of an admitted ticket and admit queued tickets.

        Args:
            ticket: Ticket whose call ended.
            latency_s: Seconds until the head of the answer.
            overloaded: True if the backend server shed it or timed out.
            now: Monotonic time in seconds.
        """
        self._limit.ended(
            ticket.class_name, latency_s, overloaded, self._in_flight, now
        )
        average_s = self._service_time_s.get(ticket.class_name, latency_s)
        average_s += _SERVICE_TIME_WEIGHT * (latency_s - average_s)
        self._service_time_s[ticket.class_name] = average_s
        self._in_flight -= 1
        self._admit_queued(now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a ticket from the queue; return False if it is not queued."""
        if ticket in self._queue:
            self._queue.remove(ticket)
            return True
        return False

    def expire(self, now: float) -> None:
        """Expire the queued tickets whose deadline has passed."""
        expired = [t for t in self._queue if t.deadline <= now]
        for ticket in expired:
            self._queue.remove(ticket)
            ticket.decide(Verdict.EXPIRED)

    def _admit(self, ticket: Ticket, now: float) -> Verdict:
        self._in_flight += 1
        ticket.started = now
        return Verdict.ADMITTED

    def _admit_queued(self, now: float) -> None:
        self.expire(now)
        while self._queue and self._in_flight < self.limit:
            ticket = self._queue.pop(0)
            ticket.decide(self._admit(ticket, now))

    def _insert(self, ticket: Ticket) -> None:
        position = len(self._queue)
        while (
            position > 0
            and self._queue[position - 1].importance < ticket.importance
        ):
            position -= 1
        self._queue.insert(position, ticket)

    def _expected_service_s(self, ticket: Ticket) -> float:
        return self._service_time_s.get(ticket.class_name, 0.0)

    def _is_before_deadline(self, ticket: Ticket, now: float) -> bool:
        return now < ticket.deadline
