"""Results of an emulation."""

import collections
import dataclasses
import enum

from trefoilwind.telemetry import durations


@enum.unique
class Status(enum.Enum):
    """Status with which a request or an attempt ended."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    FAILED = "failed"


_SERVED_STATUSES = (Status.IN_TIME, Status.LATE)


@dataclasses.dataclass(frozen=True)
class EndedRequest:
    """Request that ended, as its caller sees it.

    Attributes:
        class_name: Name of its class.
        started_s: Virtual time in seconds of its first attempt.
        status: Status with which it ended.
        worth: Credit for an answer in time.
        credit: Credit that it earned.
        refusal_s: Seconds from its last attempt to the refusal; negative if
            that attempt was not refused.
        customer: Name of its customer; empty for none.
    """

    class_name: str
    started_s: float
    status: Status
    worth: float
    credit: float
    refusal_s: float = -1.0
    customer: str = ""


class Results:
    """Counts, credit and times of one emulation."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._request_counts: collections.Counter[tuple[str, Status]] = (
            collections.Counter()
        )
        # Ended and served requests by customer.
        self._customer_counts: dict[str, list[int]] = {}
        self._worth_by_window: collections.Counter[int] = collections.Counter()
        self._credit_by_window: collections.Counter[int] = collections.Counter()
        self._arrivals: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._waits: dict[str, durations.Durations] = {}
        self._refusals = durations.Durations()
        self._attempts = 0

    @property
    def attempts(self) -> int:
        """Number of attempts that entry nodes made."""
        return self._attempts

    @property
    def class_names(self) -> tuple[str, ...]:
        """Names of the classes of ended requests, sorted."""
        return tuple(sorted({name for name, _ in self._request_counts}))

    def record_end(self, request: EndedRequest) -> None:
        """Record the end of a caller's request."""
        window = int(request.started_s // self._window_s)
        self._request_counts[request.class_name, request.status] += 1
        self._worth_by_window[window] += request.worth
        self._credit_by_window[window] += request.credit
        self._arrivals[window, request.class_name] += 1
        if request.customer:
            counts = self._customer_counts.setdefault(request.customer, [0, 0])
            counts[0] += 1
            counts[1] += request.status in _SERVED_STATUSES
        if request.refusal_s >= 0:
            self._refusals.add(request.refusal_s)

    def record_attempt(self) -> None:
        """Record an attempt of an entry node."""
        self._attempts += 1

    def record_wait(self, class_name: str, seconds: float) -> None:
        """Record the seconds that a call waited for its slot."""
        found = self._waits.get(class_name)
        if found is None:
            found = durations.Durations()
            self._waits[class_name] = found
        found.add(seconds)

    def count(self, status: Status, class_name: str = "") -> int:
        """Return the number of requests with a status, of a class or of all."""
        return sum(
            count
            for (name, each), count in self._request_counts.items()
            if each is status and class_name in ("", name)
        )

    def total(self, class_name: str = "") -> int:
        """Return the number of ended requests, of a class or of all."""
        return sum(self.count(status, class_name) for status in Status)

    def served_share(self, class_name: str = "") -> float:
        """Return the share of the requests that were answered."""
        served = sum(
            self.count(status, class_name) for status in _SERVED_STATUSES
        )
        return served / max(1, self.total(class_name))

    def least_served_customer(self, min_requests: int = 20) -> float:
        """Return the least served share of a customer, relative to that of all.

        Args:
            min_requests: Customers with fewer requests are ignored.
        """
        shares = [
            served / ended
            for ended, served in self._customer_counts.values()
            if ended >= min_requests
        ]
        return min(shares, default=1.0) / max(1e-9, self.served_share())

    def customer_served_share(self, name: str) -> float:
        """Return the share of a customer's requests that were answered."""
        ended, served = self._customer_counts.get(name, (0, 0))
        return served / max(1, ended)

    def least_served_class(self) -> float:
        """Return the least served share of a class, relative to that of all."""
        shares = [self.served_share(name) for name in self.class_names]
        return min(shares, default=1.0) / max(1e-9, self.served_share())

    def credit_share(self) -> float:
        """Return the credit earned as a share of the worth of all requests."""
        return self._credit_by_window.total() / max(
            1e-9, self._worth_by_window.total()
        )

    def credit_shares_by_window(self) -> list[tuple[float, float]]:
        """Return (start in seconds, credit share) of each window."""
        return [
            (window * self._window_s, self._credit_by_window[window] / worth)
            for window, worth in sorted(self._worth_by_window.items())
            if worth > 0
        ]

    def arrivals(self) -> dict[int, dict[str, int]]:
        """Return the number of requests by window and class."""
        found: dict[int, dict[str, int]] = {}
        for (window, name), count in self._arrivals.items():
            found.setdefault(window, {})[name] = count
        return found

    def wait_quantile_s(self, class_name: str, quantile: float) -> float:
        """Return a quantile of a class's waits for a slot, in seconds."""
        found = self._waits.get(class_name)
        return found.quantile_s(quantile) if found else 0.0

    def refusal_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the times until the last refusal, in seconds."""
        return self._refusals.quantile_s(quantile)
