"""What an emulation counts."""

import collections
import dataclasses
import enum

from trefoilwind.telemetry import durations


@enum.unique
class End(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    FAILED = "failed"


_SERVED = (End.IN_TIME, End.LATE)


@dataclasses.dataclass(frozen=True)
class Ended:
    """A request that ended.

    Attributes:
        class_name: Its class.
        started_s: Virtual time of its first attempt.
        end: How it ended.
        worth: Worth that it was owed.
        credit: Worth that it earned.
        refused_s: Seconds that its last refusal took; negative if it was not
            refused at last.
    """

    class_name: str
    started_s: float
    end: End
    worth: float
    credit: float
    refused_s: float = -1.0


class Results:
    """Counts of one emulation."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._ends: collections.Counter[tuple[str, End]] = collections.Counter()
        self._owed: collections.Counter[int] = collections.Counter()
        self._earned: collections.Counter[int] = collections.Counter()
        self._arrived: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._waits: dict[str, durations.Durations] = {}
        self._refusals = durations.Durations()
        self._attempts = 0

    @property
    def attempts(self) -> int:
        """Attempts that nodes were asked for."""
        return self._attempts

    @property
    def class_names(self) -> tuple[str, ...]:
        """Names of the classes that were counted, sorted."""
        return tuple(sorted({name for name, _ in self._ends}))

    def ended(self, request: Ended) -> None:
        """Count a request of a caller."""
        window = int(request.started_s // self._window_s)
        self._ends[request.class_name, request.end] += 1
        self._owed[window] += request.worth
        self._earned[window] += request.credit
        self._arrived[window, request.class_name] += 1
        if request.refused_s >= 0:
            self._refusals.add(request.refused_s)

    def asked(self) -> None:
        """Count an attempt."""
        self._attempts += 1

    def waited(self, class_name: str, seconds: float) -> None:
        """Count the wait of a call for its slot."""
        found = self._waits.get(class_name)
        if found is None:
            found = durations.Durations()
            self._waits[class_name] = found
        found.add(seconds)

    def count(self, end: End, class_name: str = "") -> int:
        """Return how many requests ended so, of one class or of all."""
        return sum(
            count
            for (name, each), count in self._ends.items()
            if each is end and class_name in ("", name)
        )

    def total(self, class_name: str = "") -> int:
        """Return how many requests ended, of one class or of all."""
        return sum(self.count(end, class_name) for end in End)

    def served_share(self, class_name: str = "") -> float:
        """Return the part of the requests that got an answer."""
        served = sum(self.count(end, class_name) for end in _SERVED)
        return served / max(1, self.total(class_name))

    def credit_share(self) -> float:
        """Return the worth earned of that owed."""
        return self._earned.total() / max(1e-9, self._owed.total())

    def windows(self) -> list[tuple[float, float]]:
        """Return (start in seconds, credit share) of each window."""
        return [
            (window * self._window_s, self._earned[window] / owed)
            for window, owed in sorted(self._owed.items())
            if owed > 0
        ]

    def arrivals(self) -> dict[int, dict[str, int]]:
        """Return the requests by window and class."""
        found: dict[int, dict[str, int]] = {}
        for (window, name), count in self._arrived.items():
            found.setdefault(window, {})[name] = count
        return found

    def wait_s(self, class_name: str, share: float) -> float:
        """Return a quantile of the waits of a class, in seconds."""
        found = self._waits.get(class_name)
        return found.quantile_s(share) if found else 0.0

    def refusal_s(self, share: float) -> float:
        """Return a quantile of the time until a last refusal, in seconds."""
        return self._refusals.quantile_s(share)
