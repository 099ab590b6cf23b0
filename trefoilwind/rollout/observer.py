"""Counting of the results of an entry node's calls."""

import collections
from collections.abc import Callable
import dataclasses

from trefoilwind.proxy import calls
from trefoilwind.rollout import evidence

# A new backend server is cold for MIN_COLD_S, and until it has run COLD_CALLS
# calls or MAX_COLD_S have passed.
MIN_COLD_S = 15.0
MAX_COLD_S = 60.0
COLD_CALLS = 30
# A crash of a backend server interrupts many calls; those interrupted within
# this time count as one failure.
CUT_INTERVAL_S = 1.0
MAX_QUEUED = 100_000


@dataclasses.dataclass(frozen=True)
class CounterOrigin:
    """Entry node that writes the counters.

    Attributes:
        data_centre: Data centre of the node.
        entry: Node id and incarnation.
    """

    data_centre: str
    entry: str


class Observer:
    """Queues observations and counts them; `observe` is thread-safe."""

    def __init__(
        self, ledger: evidence.Ledger, origin: Callable[[], CounterOrigin]
    ) -> None:
        self._ledger = ledger
        self._origin = origin
        self._queue: collections.deque[calls.Observation] = collections.deque(
            maxlen=MAX_QUEUED
        )
        self._first_call_at: dict[tuple[str, str], float] = {}
        self._calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._last_cut_at: dict[str, float] = {}

    def observe(self, observation: calls.Observation) -> None:
        """Queue the observation of a call that belongs to a move."""
        if observation.move_id:
            self._queue.append(observation)

    def count(self, now: float) -> collections.Counter[evidence.RouteKey]:
        """Add the queued observations to the ledger; return calls by route.

        Args:
            now: Monotonic time in seconds.
        """
        counted: collections.Counter[evidence.RouteKey] = collections.Counter()
        origin = self._origin()
        while self._queue:
            observation = self._queue.popleft()
            route = evidence.RouteKey(
                observation.path_prefix, observation.class_name
            )
            counted[route] += 1
            counter = self._counter(observation, now)
            if counter is not None:
                self._ledger.add(_key(observation, route, origin), counter)
        return counted

    def remove_moves(self, ended: frozenset[str]) -> None:
        """Remove the data of ended moves."""
        for table in (self._first_call_at, self._calls):
            for key in [k for k in table if k[0] in ended]:
                del table[key]

    def _counter(
        self, observation: calls.Observation, now: float
    ) -> evidence.Counter | None:
        if observation.cut:
            last = self._last_cut_at.get(observation.node_id, -CUT_INTERVAL_S)
            if now - last < CUT_INTERVAL_S:
                return None
            self._last_cut_at[observation.node_id] = now
            return evidence.failure()
        if observation.shed:
            return None
        if observation.failed:
            return evidence.failure()
        return evidence.success(
            observation.version_latency_s, self._is_cold(observation, now)
        )

    def _is_cold(self, observation: calls.Observation, now: float) -> bool:
        if not observation.is_new:
            return False
        key = (observation.move_id, observation.node_id)
        self._calls[key] += 1
        age_s = now - self._first_call_at.setdefault(key, now)
        return is_cold(age_s, self._calls[key])


def is_cold(age_s: float, call_count: int) -> bool:
    """Return True while a new backend server's latency is excluded.

    Args:
        age_s: Seconds since the first call to it.
        call_count: Number of calls to it so far.
    """
    if age_s < MIN_COLD_S:
        return True
    return call_count < COLD_CALLS and age_s < MAX_COLD_S


def _key(
    observation: calls.Observation,
    route: evidence.RouteKey,
    origin: CounterOrigin,
) -> evidence.Key:
    arm = evidence.Arm.NEW if observation.is_new else evidence.Arm.OLD
    # The old arm is compared as a whole; leaving its target empty saves
    # counters and bytes.
    target = observation.node_id if observation.is_new else ""
    return evidence.Key(
        observation.move_id,
        route,
        origin.data_centre,
        origin.entry,
        arm,
        target,
    )
