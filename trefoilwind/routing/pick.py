"""Choice of the version and the backend server for one attempt."""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
import threading

from trefoilwind.model import members as members_lib
from trefoilwind.routing import table

_LATENCY_WEIGHT = 0.2
_INITIAL_LATENCY_S = 0.005
_IDLE_LATENCY_S = 0.0002
_FAILURE_FACTOR = 2.0
_MAX_LATENCY_S = 10.0
_HALF_LIFE_S = 10.0
_DRAWS = 4
MAX_HINT_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class Load:
    """Load on a backend server, from this node's own attempts.

    Only the tracker writes it; readers may see slightly outdated values.

    Attributes:
        in_flight: Own attempts in flight.
        latency_s: Moving average of the latency in seconds.
        saturated_until: Monotonic time in seconds until which the backend
            server counts as saturated after a refusal for overload.
        updated_at: Monotonic time in seconds of the last latency sample.
    """

    in_flight: int = 0
    latency_s: float = _INITIAL_LATENCY_S
    saturated_until: float = 0.0
    updated_at: float = 0.0

    def cost(self, now: float) -> float:
        """Return the expected wait, for comparison only.

        The latency decays with its age, so that a slow server is tried again.
        """
        age = max(0.0, now - self.updated_at) / _HALF_LIFE_S
        latency_s = self.latency_s * 0.5 ** min(age, 20.0)
        return (self.in_flight + 1) * max(latency_s, _IDLE_LATENCY_S)


@dataclasses.dataclass(frozen=True)
class Hint:
    """Load and health as reported by a backend server.

    Attributes:
        load: Reported load, 0 to 1.
        healthy: Reported health.
        expires_at: Monotonic time in seconds until which the report is valid.
    """

    load: float
    healthy: bool
    expires_at: float

    def factor(self, now: float) -> float:
        """Return a factor on the cost, at least 1: a report only raises it."""
        if now >= self.expires_at:
            return 1.0
        if not self.healthy:
            return MAX_HINT_FACTOR
        load = min(1.0, max(0.0, self.load))
        return 1.0 + load * (MAX_HINT_FACTOR - 1.0)


_IDLE = Load()


class LoadTracker:
    """This node's own load on each backend server. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[str, Load] = {}
        self._hints: dict[str, Hint] = {}

    def load(self, node_id: str) -> Load:
        """Return the load on a node's backend server."""
        return self._loads.get(node_id, _IDLE)

    def cost(self, node_id: str, now: float) -> float:
        """Return the expected wait, adjusted by an unexpired hint."""
        cost = self._loads.get(node_id, _IDLE).cost(now)
        hint = self._hints.get(node_id)
        return cost if hint is None else cost * hint.factor(now)

    def record_hint(self, node_id: str, hint: Hint) -> None:
        """Store the latest report of a backend server."""
        self._hints[node_id] = hint

    def started(self, node_id: str) -> None:
        """Record the start of an attempt."""
        with self._lock:
            load = self._loads.get(node_id)
            if load is None:
                load = self._loads[node_id] = Load()
            load.in_flight += 1

    def ended(
        self, node_id: str, latency_s: float, failed: bool, now: float
    ) -> None:
        """Record the end of an attempt.

        Args:
            node_id: Node of the backend server.
            latency_s: Time in seconds that the attempt took.
            failed: True if it failed; a short latency then must not attract
                further calls.
            now: Monotonic time in seconds.
        """
        with self._lock:
            load = self._loads[node_id]
            load.in_flight -= 1
            if failed:
                penalty_s = max(latency_s, load.latency_s * _FAILURE_FACTOR)
                latency_s = min(_MAX_LATENCY_S, penalty_s)
            load.latency_s += _LATENCY_WEIGHT * (latency_s - load.latency_s)
            load.updated_at = now

    def refused(self, node_id: str, until: float) -> None:
        """Record the end of an attempt whose latency is not representative.

        Args:
            node_id: Node of the backend server.
            until: Monotonic time in seconds until which it counts as
                saturated; 0 if the attempt does not indicate saturation.
        """
        with self._lock:
            load = self._loads[node_id]
            load.in_flight -= 1
            load.saturated_until = max(load.saturated_until, until)

    def keep_only(self, is_live: Callable[[str], bool]) -> None:
        """Remove idle backend servers that are no longer live."""
        with self._lock:
            not_live = [
                node_id
                for node_id, load in self._loads.items()
                if not load.in_flight and not is_live(node_id)
            ]
            for node_id in not_live:
                del self._loads[node_id]
                self._hints.pop(node_id, None)


@dataclasses.dataclass(frozen=True)
class Tier:
    """Members for weighted random selection.

    Attributes:
        members: Members of the tier.
        cumulative: Sums of the weights up to and including each member.
    """

    members: tuple[members_lib.Member, ...] = ()
    cumulative: tuple[float, ...] = ()

    def draw(self, rng: random.Random) -> members_lib.Member:
        """Return a random member, with probability proportional to weight."""
        point = rng.random() * self.cumulative[-1]
        index = bisect.bisect_right(self.cumulative, point)
        return self.members[min(index, len(self.members) - 1)]


@dataclasses.dataclass(frozen=True)
class Pool:
    """Members eligible for the attempts of one route, version and half.

    Attributes:
        local: Members in the own region.
        remote: Members in other regions.
        local_share: Share of the calls that stay in the region, 0 to 1.
    """

    local: Tier
    remote: Tier
    local_share: float


def choose_split(
    splits: Sequence[table.Split], rng: random.Random
) -> table.Split | None:
    """Return a random split, weighted by share, or None if there is none."""
    if len(splits) == 1:
        return splits[0]
    point = rng.random()
    for split in splits:
        point -= split.share
        if point < 0:
            return split
    return splits[-1] if splits else None


def choose_member(
    pool: Pool,
    is_preferred: Callable[[str], bool],
    cost: Callable[[str], float],
    rng: random.Random,
) -> members_lib.Member | None:
    """Return the cheaper of two members drawn by weight, or None.

    Args:
        pool: Members to choose from.
        is_preferred: Returns True if a node is preferred, that is, neither
            tried before nor saturated.
        cost: Returns the expected wait at a node.
        rng: Source of random numbers.
    """
    tiers = (pool.local, pool.remote)
    if rng.random() >= pool.local_share:
        tiers = (pool.remote, pool.local)
    for tier in tiers:
        chosen = _draw_two(tier, is_preferred, cost, rng)
        if chosen is not None:
            return chosen
    for tier in tiers:
        chosen = _draw_two(tier, _any_node, cost, rng)
        if chosen is not None:
            return chosen
    return None


def _any_node(_: str) -> bool:
    return True


def _draw_two(
    tier: Tier,
    is_preferred: Callable[[str], bool],
    cost: Callable[[str], float],
    rng: random.Random,
) -> members_lib.Member | None:
    if not tier.members:
        return None
    best: members_lib.Member | None = None
    for _ in range(_DRAWS):
        member = tier.draw(rng)
        if member is best or not is_preferred(member.node_id):
            continue
        if best is None:
            best = member
        else:
            pair = (best, member)
            return min(pair, key=lambda m: cost(m.node_id))
    if best is not None:
        return best
    preferred = [m for m in tier.members if is_preferred(m.node_id)]
    return min(preferred, key=lambda m: cost(m.node_id), default=None)
