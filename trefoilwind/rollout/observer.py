"""Counting of what an entry node's calls saw."""

import collections
from collections.abc import Callable
import dataclasses

from trefoilwind.proxy import calls
from trefoilwind.rollout import evidence

# A new backend server is cold for the first time, or for a few calls more.
COLD_S = 15.0
MAX_COLD_S = 60.0
COLD_CALLS = 30
# One death of a backend server cuts many calls and is one failure.
CUT_INTERVAL_S = 1.0
MAX_QUEUED = 100_000


@dataclasses.dataclass(frozen=True)
class Place:
    """Where an entry node counts.

    Attributes:
        data_centre: Data centre of the node.
        entry: Node id and incarnation.
    """

    data_centre: str
    entry: str


class Observer:
    """Queue of observations; `observe` is safe for use by many threads."""

    def __init__(
        self, ledger: evidence.Ledger, place: Callable[[], Place]
    ) -> None:
        self._ledger = ledger
        self._place = place
        self._queue: collections.deque[calls.Observation] = collections.deque(
            maxlen=MAX_QUEUED
        )
        self._first_call_at: dict[tuple[str, str], float] = {}
        self._calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._last_cut_at: dict[str, float] = {}

    def observe(self, observation: calls.Observation) -> None:
        """Take what a call saw."""
        if observation.move_id:
            self._queue.append(observation)

    def count(self, now: float) -> collections.Counter[evidence.RouteKey]:
        """Count the queue into the ledger; return the calls by route.

        Args:
            now: Monotonic time in seconds.
        """
        counted: collections.Counter[evidence.RouteKey] = collections.Counter()
        place = self._place()
        while self._queue:
            seen = self._queue.popleft()
            route = evidence.RouteKey(seen.path_prefix, seen.class_name)
            counted[route] += 1
            counter = self._counter(seen, now)
            if counter is not None:
                self._ledger.add(_key(seen, route, place), counter)
        return counted

    def forget(self, ended: frozenset[str]) -> None:
        """Drop what is known of ended moves."""
        for table in (self._first_call_at, self._calls):
            for key in [k for k in table if k[0] in ended]:
                del table[key]

    def _counter(
        self, seen: calls.Observation, now: float
    ) -> evidence.Counter | None:
        if seen.cut:
            last = self._last_cut_at.get(seen.node_id, -CUT_INTERVAL_S)
            if now - last < CUT_INTERVAL_S:
                return None
            self._last_cut_at[seen.node_id] = now
            return evidence.failure()
        if seen.shed:
            return None
        if seen.failed:
            return evidence.failure()
        return evidence.success(
            seen.version_latency_s, self._is_cold(seen, now)
        )

    def _is_cold(self, seen: calls.Observation, now: float) -> bool:
        if not seen.is_new:
            return False
        key = (seen.move_id, seen.node_id)
        self._calls[key] += 1
        age_s = now - self._first_call_at.setdefault(key, now)
        return is_cold(age_s, self._calls[key])


def is_cold(age_s: float, calls_before: int) -> bool:
    """Return True while a new backend server's latency does not count.

    Args:
        age_s: Seconds since the first call to it.
        calls_before: Calls to it so far.
    """
    if age_s < COLD_S:
        return True
    return calls_before < COLD_CALLS and age_s < MAX_COLD_S


def _key(
    seen: calls.Observation, route: evidence.RouteKey, place: Place
) -> evidence.Key:
    arm = evidence.Arm.NEW if seen.is_new else evidence.Arm.OLD
    # The old arm is the yardstick as a whole, so its targets cost no bytes.
    target = seen.node_id if seen.is_new else ""
    return evidence.Key(
        seen.move_id, route, place.data_centre, place.entry, arm, target
    )
