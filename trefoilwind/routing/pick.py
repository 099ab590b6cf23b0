"""Choice of a version and of a backend server for one attempt."""

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
    """What this node knows first-hand of a backend server.

    Its tracker alone changes it; a reader may see a value a moment old.

    Attributes:
        in_flight: Own attempts under way.
        latency_s: Moving average of the latency in seconds.
        saturated_until: Monotonic time in seconds until which a refusal for
            overload is believed.
        updated: Monotonic time in seconds of the last latency.
    """

    in_flight: int = 0
    latency_s: float = _INITIAL_LATENCY_S
    saturated_until: float = 0.0
    updated: float = 0.0

    def cost(self, now: float) -> float:
        """Return the expected wait, for comparison only.

        An old latency fades, so that a slow server is tried again.
        """
        age = max(0.0, now - self.updated) / _HALF_LIFE_S
        latency_s = self.latency_s * 0.5 ** min(age, 20.0)
        return (self.in_flight + 1) * max(latency_s, _IDLE_LATENCY_S)


@dataclasses.dataclass(frozen=True)
class Hint:
    """Load and health as a backend server reports them.

    Attributes:
        load: Reported load, 0 to 1.
        healthy: Reported health.
        expires_at: Monotonic time in seconds until which it is believed.
    """

    load: float
    healthy: bool
    expires_at: float

    def factor(self, now: float) -> float:
        """Return a factor on the cost; a report can only raise the cost."""
        if now >= self.expires_at:
            return 1.0
        if not self.healthy:
            return MAX_HINT_FACTOR
        load = min(1.0, max(0.0, self.load))
        return 1.0 + load * (MAX_HINT_FACTOR - 1.0)


_IDLE = Load()


class LoadTracker:
    """Own load on each backend server. Safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[str, Load] = {}
        self._hints: dict[str, Hint] = {}

    def load(self, node_id: str) -> Load:
        """Return the load on a node's backend server."""
        return self._loads.get(node_id, _IDLE)

    def cost(self, node_id: str, now: float) -> float:
        """Return the expected wait, corrected by a live hint."""
        cost = self._loads.get(node_id, _IDLE).cost(now)
        hint = self._hints.get(node_id)
        return cost if hint is None else cost * hint.factor(now)

    def hinted(self, node_id: str, hint: Hint) -> None:
        """Take a report of a backend server."""
        self._hints[node_id] = hint

    def started(self, node_id: str) -> None:
        """Count an attempt that starts."""
        with self._lock:
            load = self._loads.get(node_id)
            if load is None:
                load = self._loads[node_id] = Load()
            load.in_flight += 1

    def ended(
        self, node_id: str, latency_s: float, failed: bool, now: float
    ) -> None:
        """Count an attempt that ended.

        Args:
            node_id: Node of the backend server.
            latency_s: Time in seconds that the attempt took.
            failed: True if it failed; then a short time must not attract
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
            load.updated = now

    def refused(self, node_id: str, until: float) -> None:
        """Count an attempt that did not run; its latency tells nothing.

        Args:
            node_id: Node of the backend server.
            until: Monotonic time in seconds until which it counts as
                saturated.
        """
        with self._lock:
            load = self._loads[node_id]
            load.in_flight -= 1
            load.saturated_until = max(load.saturated_until, until)

    def keep_only(self, is_live: Callable[[str], bool]) -> None:
        """Forget idle backend servers that are gone."""
        with self._lock:
            gone = [
                node_id
                for node_id, load in self._loads.items()
                if not load.in_flight and not is_live(node_id)
            ]
            for node_id in gone:
                del self._loads[node_id]
                self._hints.pop(node_id, None)


@dataclasses.dataclass(frozen=True)
class Tier:
    """Members to draw from by weight.

    Attributes:
        members: The members.
        cumulative: Sums of the weights up to and with each member.
    """

    members: tuple[members_lib.Member, ...] = ()
    cumulative: tuple[float, ...] = ()

    def draw(self, rng: random.Random) -> members_lib.Member:
        """Return a member with the probability of its weight."""
        point = rng.random() * self.cumulative[-1]
        index = bisect.bisect_right(self.cumulative, point)
        return self.members[min(index, len(self.members) - 1)]


@dataclasses.dataclass(frozen=True)
class Pool:
    """Members that may take the attempts of one route, version and half.

    Attributes:
        near: Members in the own region.
        far: Members across the region link.
        near_share: Share of the calls that stays in the region, 0 to 1.
    """

    near: Tier
    far: Tier
    near_share: float


def choose_split(
    splits: Sequence[table.Split], rng: random.Random
) -> table.Split | None:
    """Return a split with the probability of its share, or None."""
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
    is_open: Callable[[str], bool],
    cost: Callable[[str], float],
    rng: random.Random,
) -> members_lib.Member | None:
    """Return the cheaper of two members drawn by weight, or None.

    Args:
        pool: The members.
        is_open: Tells whether a node is preferred, that is, neither tried
            before nor saturated.
        cost: Expected wait at a node.
        rng: Source of random numbers.
    """
    tiers = (pool.near, pool.far)
    if rng.random() >= pool.near_share:
        tiers = (pool.far, pool.near)
    for tier in tiers:
        chosen = _draw_two(tier, is_open, cost, rng)
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
    is_open: Callable[[str], bool],
    cost: Callable[[str], float],
    rng: random.Random,
) -> members_lib.Member | None:
    if not tier.members:
        return None
    best: members_lib.Member | None = None
    for _ in range(_DRAWS):
        member = tier.draw(rng)
        if member is best or not is_open(member.node_id):
            continue
        if best is None:
            best = member
        else:
            pair = (best, member)
            return min(pair, key=lambda m: cost(m.node_id))
    if best is not None:
        return best
    preferred = [m for m in tier.members if is_open(m.node_id)]
    return min(preferred, key=lambda m: cost(m.node_id), default=None)
