"""Outlier ejection by consecutive failures, with a minimum pool."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
import threading

from trefoilwind.model import members

FAILURES_TO_EJECT = 5
FAILURES_TO_EJECT_AGAIN = 1
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
SUCCESSES_TO_FORGET = 20


@dataclasses.dataclass(frozen=True)
class _Record:
    """Recent results of one backend server.

    Attributes:
        failures: Consecutive failures.
        successes: Consecutive successes.
        ejections: Ejections that are not forgotten yet.
        until: Monotonic time in seconds at which an ejection ends.
    """

    failures: int = 0
    successes: int = 0
    ejections: int = 0
    until: float = 0.0


class Ejector:
    """Ejections as one entry node sees them. Safe for many threads."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Count of ejections so far; a change makes pools stale."""
        return self._generation

    def is_ejected(self, node_id: str, now: float) -> bool:
        """Return True while a backend server is ejected."""
        record = self._records.get(node_id)
        return record is not None and record.until > now

    def succeeded(self, node_id: str) -> None:
        """Take an answer that is no failure."""
        if node_id not in self._records:
            return
        with self._lock:
            old = self._records.get(node_id, _Record())
            successes = old.successes + 1
            if successes >= SUCCESSES_TO_FORGET:
                self._records.pop(node_id, None)
                return
            self._records[node_id] = dataclasses.replace(
                old, failures=0, successes=successes
            )

    def failed(self, node_id: str, now: float) -> bool:
        """Take a failure; return True if it ejects the backend server."""
        with self._lock:
            old = self._records.get(node_id, _Record())
            failures = old.failures + 1
            needed = FAILURES_TO_EJECT
            if old.ejections:
                needed = FAILURES_TO_EJECT_AGAIN
            is_ejected = failures >= needed and old.until <= now
            self._generation += int(is_ejected)
            self._records[node_id] = (
                self._eject(old, now)
                if is_ejected
                else dataclasses.replace(old, failures=failures, successes=0)
            )
            return is_ejected

    def usable(
        self, pool: Sequence[members.Member], now: float
    ) -> Sequence[members.Member]:
        """Return the pool without the ejected, but never less than half.

        If too many are ejected, those whose ejection ends first stay in.
        """
        if not self._records:
            return pool
        kept = [m for m in pool if not self.is_ejected(m.node_id, now)]
        minimum = -(-len(pool) // 2)
        if len(kept) >= minimum:
            return kept
        ejected = [m for m in pool if self.is_ejected(m.node_id, now)]
        ejected.sort(key=self._end_of_ejection)
        return kept + ejected[: minimum - len(kept)]

    def keep_only(self, is_live: Callable[[str], bool]) -> None:
        """Forget backend servers that are gone."""
        with self._lock:
            for node_id in [n for n in self._records if not is_live(n)]:
                del self._records[node_id]

    def _eject(self, old: _Record, now: float) -> _Record:
        length_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**old.ejections)
        # Spread over time, so that entry nodes do not come back together.
        length_s *= 0.5 + self._random.random() / 2
        return _Record(ejections=old.ejections + 1, until=now + length_s)

    def _end_of_ejection(self, member: members.Member) -> float:
        return self._records.get(member.node_id, _Record()).until
