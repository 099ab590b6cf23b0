"""Series of faults drawn from a seed."""

from collections.abc import Iterator
import dataclasses
import random

# Seconds of calm before each series, and its length.
_CALM_S = 3.0
_SERIES_S = 9.0
# Plans of smaller seeds have no customers, so that known seeds stay the same.
FIRST_SEED_WITH_CUSTOMERS = 60_000


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault or planned change, carried out by the world's method `kind`."""

    at: float
    kind: str
    nodes: tuple[int, ...] = ()
    seconds: float = 0.0
    how: str = ""


@dataclasses.dataclass(frozen=True)
class Plan:
    """A world and what happens to it.

    Attributes:
        zones: Data centre of each node.
        services: Service of each node.
        delay_s: Delay of sound links between data centres.
        bytes_per_s: Bandwidth of sound links between data centres.
    """

    seed: int
    zones: tuple[str, ...]
    services: tuple[str, ...]
    has_proxies: bool
    delay_s: float
    bytes_per_s: float
    faults: tuple[Fault, ...]
    # Names of the habits of the callers, see `peers`.
    habits: str = "mixed"
    # Cores that all nodes and the busy processes share; 0 for all cores.
    cores: int = 0
    has_customers: bool = False
    # True if one customer sends many times its limit.
    has_flood: bool = False


def draw(seed: int, seconds: float) -> Plan:
    rng = random.Random(f"plan {seed}")
    count = rng.randint(4, 8)
    zones = rng.randint(2, 3)
    has_proxies = rng.random() < 0.75
    faults: list[Fault] = []
    start = _CALM_S
    while start + _CALM_S < seconds:
        end = min(seconds, start + _SERIES_S)
        faults += _planned(rng, count, start, end)
        # The other half of the series have no fault that excuses anything.
        if rng.random() < 0.5:
            faults += _unplanned(rng, count, start, end, has_proxies)
        start = end + _CALM_S
    return Plan(
        seed,
        tuple(f"z{index % zones}" for index in range(count)),
        tuple("ab"[index // 2 % 2] for index in range(count)),
        has_proxies,
        rng.uniform(0.0, 0.03),
        rng.choice((1e9, 4e6, 1e6, 3e5)),
        tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def add_customers(plan: Plan, seconds: float) -> Plan:
    """Return a plan with customers, and what happens to these.

    A key is withdrawn, a customer exceeds its limit, or a data centre is
    evacuated and taken back.

    Args:
        plan: The plan; unchanged if its seed is below the first one.
        seconds: Seconds in which faults begin.
    """
    if plan.seed < FIRST_SEED_WITH_CUSTOMERS:
        return plan
    rng = random.Random(f"customers {plan.seed}")
    faults = [*plan.faults]
    if rng.random() < 0.8:
        faults.append(Fault(rng.uniform(2.0, seconds / 2), "withdraw"))
    if rng.random() < 0.8:
        zone = rng.choice(plan.zones)
        at = rng.uniform(1.0, seconds / 4)
        for_s = rng.uniform(7.0, 10.0)
        faults.append(Fault(at, "evacuate", (), for_s, zone))
    has_flood = rng.random() < 0.6
    faults.sort(key=lambda fault: fault.at)
    return dataclasses.replace(
        plan, faults=tuple(faults), has_customers=True, has_flood=has_flood
    )


def draw_planned(seed: int, seconds: float, count: int = 0) -> Plan:
    """Return a plan of planned work and trouble of the store only.

    Nothing in it excuses a lost request. Timeouts and deadlines of the callers
    are shorter than a grace; the nodes may share cores with busy processes.

    Args:
        seed: The seed.
        seconds: Seconds in which faults begin.
        count: Number of nodes; 0 to draw it.
    """
    rng = random.Random(f"planned {seed}")
    count = count or rng.randint(6, 13)
    zones = rng.randint(2, 4)
    faults: list[Fault] = []
    start = _CALM_S
    while start + _CALM_S < seconds:
        end = min(seconds, start + _SERIES_S)
        faults += _planned(rng, count, start, end)
        faults += _signals(rng, count, start, end)
        how = rng.choice(("", "silence", "refuse", "slow"))
        if how:
            at = rng.uniform(start - 1.0, end)
            for_s = rng.uniform(1.0, 6.0)
            faults.append(Fault(at, "harm_store", (), for_s, how))
        start = end + _CALM_S
    cores = rng.choice((0, 0, 2))
    if cores:
        busy = tuple(range(rng.randint(2, 8)))
        faults.append(Fault(_CALM_S, "load", busy, seconds - _CALM_S))
    return Plan(
        seed,
        tuple(f"z{index % zones}" for index in range(count)),
        # One in four serves uploads, as in small deployments.
        tuple("b" if index % 4 == 1 else "a" for index in range(count)),
        False,
        0.0,
        1e9,
        tuple(sorted(faults, key=lambda fault: fault.at)),
        "short",
        cores,
    )


def _signals(
    rng: random.Random, count: int, start: float, end: float
) -> Iterator[Fault]:
    """Yield signals that come more than once, and while a node stops."""
    for at in _times(rng, start, end, 2.0):
        nodes = tuple(rng.sample(range(count), rng.randint(1, 3)))
        yield Fault(at, rng.choice(("reload", "term_again")), nodes, 1.0)


def _planned(
    rng: random.Random, count: int, start: float, end: float
) -> Iterator[Fault]:
    """Yield a series of stops that overlap, and other planned work."""
    pause_s = rng.uniform(0.3, 2.0)
    order = rng.sample(range(count), rng.randint(1, count - 1))
    group = rng.randint(1, 2)
    for number, first in enumerate(range(0, len(order), group)):
        at = start + number * pause_s
        if at < end:
            nodes = tuple(order[first : first + group])
            yield Fault(at, "stop", nodes, rng.uniform(0.3, 1.5))
    for at in _times(rng, start, end, rng.choice((0.5, 2.0, 5.0))):
        yield Fault(at, "configure")
    for at in _times(rng, start, end, 4.0):
        kind = rng.choice(("leave", "slow", "reload"))
        node = rng.randrange(count)
        yield Fault(at, kind, (node,), rng.uniform(0.5, 3.0))


def _unplanned(
    rng: random.Random, count: int, start: float, end: float, has_proxies: bool
) -> Iterator[Fault]:
    kinds = ["kill", "freeze", "crash", "refuse"] + ["harm"] * 4 * has_proxies
    for at in _times(rng, start, end, rng.uniform(1.0, 4.0)):
        kind = rng.choice(kinds)
        nodes = tuple(rng.sample(range(count), rng.randint(1, 2)))
        how = rng.choice(("slow", "throttle", "cut", "silence", "reset"))
        yield Fault(at, kind, nodes, rng.uniform(0.3, 4.0), how)


def _times(
    rng: random.Random, start: float, end: float, mean_s: float
) -> Iterator[float]:
    at = start + rng.expovariate(1.0 / mean_s)
    while at < end:
        yield at
        at += rng.expovariate(1.0 / mean_s)
