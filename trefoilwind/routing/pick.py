"""Choice of a version and of a backend server for one attempt."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
import threading

from trefoilwind.model import members
from trefoilwind.routing import table

_LATENCY_WEIGHT = 0.2
_INITIAL_LATENCY_S = 0.005


@dataclasses.dataclass(frozen=True)
class Load:
    """What this node knows first-hand of a backend server.

    Attributes:
        in_flight: Own attempts under way.
        latency_s: Moving average of the latency in seconds.
    """

    in_flight: int = 0
    latency_s: float = _INITIAL_LATENCY_S

    @property
    def cost(self) -> float:
        """Expected wait, for comparison only."""
        return (self.in_flight + 1) * self.latency_s


class LoadTracker:
    """Own load on each backend server. Safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[str, Load] = collections.defaultdict(Load)

    def load(self, node_id: str) -> Load:
        """Return the load on a node's backend server."""
        return self._loads.get(node_id, Load())

    def started(self, node_id: str) -> None:
        """Count an attempt that starts."""
        with self._lock:
            old = self._loads[node_id]
            self._loads[node_id] = Load(old.in_flight + 1, old.latency_s)

    def ended(self, node_id: str, latency_s: float) -> None:
        """Count an attempt that ended after `latency_s` seconds."""
        with self._lock:
            old = self._loads[node_id]
            average = old.latency_s + _LATENCY_WEIGHT * (
                latency_s - old.latency_s
            )
            self._loads[node_id] = Load(old.in_flight - 1, average)


def choose_split(
    splits: Sequence[table.Split], rng: random.Random
) -> table.Split | None:
    """Return a split with the probability of its share, or None."""
    point = rng.random()
    for split in splits:
        point -= split.share
        if point < 0:
            return split
    return splits[-1] if splits else None


def choose_member(
    candidates: Sequence[members.Member],
    load: Callable[[str], Load],
    rng: random.Random,
) -> members.Member | None:
    """Return the cheaper of two members chosen at random, or None."""
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    pair = rng.sample(candidates, 2)
    return min(pair, key=lambda member: load(member.node_id).cost)
