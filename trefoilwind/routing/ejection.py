"""Outlier ejection by consecutive failures, with a minimum pool size."""

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
SUCCESSES_TO_RESET = 20


@dataclasses.dataclass(frozen=True)
class _Record:
    """Recent results of one backend server.

    Attributes:
        failures: Consecutive failures.
        successes: Consecutive successes.
        ejections: Ejections since the record was last reset.
        ejected_until: Monotonic time in seconds at which the ejection ends.
    """

    failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejector:
    """Ejections by one entry node, based on its own calls. Thread-safe."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of ejections so far; a change invalidates cached pools."""
        return self._generation

    def is_ejected(self, node_id: str, now: float) -> bool:
        """Return True while a backend server is ejected."""
        record = self._records.get(node_id)
        return record is not None and record.ejected_until > now

    def succeeded(self, node_id: str) -> None:
        """Record an answer that is not a failure."""
        if node_id not in self._records:
            return
        with self._lock:
            old = self._records.get(node_id, _Record())
            successes = old.successes + 1
            if successes >= SUCCESSES_TO_RESET:
                self._records.pop(node_id, None)
                return
            self._records[node_id] = dataclasses.replace(
                old, failures=0, successes=successes
            )

    def failed(self, node_id: str, now: float) -> bool:
        """Record a failure; return True if it ejects the backend server."""
        with self._lock:
            old = self._records.get(node_id, _Record())
            failures = old.failures + 1
            needed = FAILURES_TO_EJECT
            if old.ejections:
                needed = FAILURES_TO_EJECT_AGAIN
            is_ejected = failures >= needed and old.ejected_until <= now
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
        """Return the members that are not ejected, but at least half of them.

        If too many are ejected, those whose ejection ends first are kept.
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
        """Remove the records of backend servers that are no longer live."""
        with self._lock:
            for node_id in [n for n in self._records if not is_live(n)]:
                del self._records[node_id]

    def _eject(self, old: _Record, now: float) -> _Record:
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**old.ejections)
        # Jitter, so that entry nodes do not readmit the server all at once.
        duration_s *= 0.5 + self._random.random() / 2
        return _Record(
            ejections=old.ejections + 1, ejected_until=now + duration_s
        )

    def _end_of_ejection(self, member: members.Member) -> float:
        return self._records.get(member.node_id, _Record()).ejected_until
