"""Catalogue of cases and sizes for the decision benchmark."""

from collections.abc import Callable
import dataclasses
import math
import random

LENGTH_S = 300.0
LOW_TRAFFIC_LENGTH_S = 600.0
BASE_FAILURES = 0.002
CALLS_PER_SERVER = 47.0


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of the benchmark's service.

    Attributes:
        path_prefix: Prefix of the route.
        class_name: Class of its calls.
        idempotent: True if the calls may run more than once.
        fraction: Fraction of the service's calls.
        median_s: Median latency in seconds of the old version.
    """

    path_prefix: str
    class_name: str
    idempotent: bool
    fraction: float
    median_s: float


ROUTES = (
    Route("/", "lookup", True, 0.40, 0.006),
    Route("/status", "lookup", True, 0.25, 0.004),
    Route("/orders", "order", False, 0.20, 0.012),
    Route("/uploads", "upload", False, 0.15, 0.060),
)


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a deployment's service.

    Attributes:
        name: Owner and service.
        servers: Backend servers of each version.
    """

    name: str
    servers: int

    @property
    def calls_per_s(self) -> float:
        """Calls per second of the service over all routes."""
        return self.servers * CALLS_PER_SERVER

    def placement(self) -> tuple[int, ...]:
        """Return the data centre, 0 to 3, of each backend server."""
        # Up to five servers use two data centres only, so that each has a
        # second server.
        centres = (0, 2) if self.servers < 6 else (0, 1, 2, 3)
        return tuple(centres[i % len(centres)] for i in range(self.servers))


SIZES = (
    Size("highwater catalogue", 7),
    Size("highwater artwork", 4),
    Size("authority booking", 9),
    Size("authority records", 4),
)
LARGE = (Size("highwater catalogue x10", 70),)


@dataclasses.dataclass(frozen=True)
class CallContext:
    """Time, route and backend server of calls.

    Attributes:
        fraction: Fraction of the move's length that has passed.
        route: The route.
        is_new: True for the new version.
        server: Index of the backend server.
        data_centre: Data centre of the backend server.
        calls_before: Calls that the backend server ran before.
        load: Calls per second of the backend server in the previous step,
            relative to an even division of all the service's calls.
    """

    fraction: float
    route: Route
    is_new: bool
    server: int = 0
    data_centre: int = 0
    calls_before: int = 0
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Effect:
    """Effect of a version on its calls.

    Attributes:
        failures: Probability of a failure.
        slowness: Factor on the latency.
    """

    failures: float = BASE_FAILURES
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """Disturbances that the versions do not cause.

    Start and end times are fractions of the move's length.

    Attributes:
        log_down: Start and end of a log outage.
        split: Start and end of a network partition between the regions.
        shed: Start and end of a period in which all backend servers shed a
            fifth of their calls.
        poison_interval_s: Seconds between poison requests; 0 for none.
        uneven: True if wrong health data directs most calls to every second
            server.
    """

    log_down: tuple[float, float] = (2.0, 2.0)
    split: tuple[float, float] = (2.0, 2.0)
    shed: tuple[float, float] = (2.0, 2.0)
    poison_interval_s: float = 0.0
    uneven: bool = False


Effects = Callable[[CallContext], Effect]


@dataclasses.dataclass(frozen=True)
class Case:
    """One case of the benchmark.

    Attributes:
        name: Name in the report.
        good: True if the expected outcome of the move is done.
        effects: Returns the effects for a run's random number generator.
        disturbance: Disturbances during the move.
        calls_per_s: Calls per second; 0 for those of the size.
        length_s: Seconds from the start to the deadline.
        from_start: True if a fault is present from the start.
    """

    name: str
    good: bool
    effects: Callable[[random.Random], Effects]
    disturbance: Disturbance = Disturbance()
    calls_per_s: float = 0.0
    length_s: float = LENGTH_S
    from_start: bool = True


def _healthy(rng: random.Random) -> Effects:
    return lambda context: Effect()


def _cold(rng: random.Random) -> Effects:
    def effects(context: CallContext) -> Effect:
        if not context.is_new:
            return Effect()
        extra = 4.0 * math.exp(-context.calls_before / 10)
        return Effect(slowness=round(1.0 + extra, 1))

    return effects


def _faulty_if(
    condition: Callable[[CallContext], bool], effect: Effect
) -> Callable[[random.Random], Effects]:
    def make(rng: random.Random) -> Effects:
        def effects(context: CallContext) -> Effect:
            return effect if context.is_new and condition(context) else Effect()

        return effects

    return make


def _faulty_later(rng: random.Random) -> Effects:
    begins_at = rng.uniform(0.15, 0.5)
    return _faulty_if(
        lambda context: context.fraction >= begins_at, Effect(0.2)
    )(rng)


def _busy_shed(rng: random.Random) -> Effects:
    def effects(context: CallContext) -> Effect:
        return Effect(slowness=1.5 if 0.2 <= context.fraction < 0.5 else 1.0)

    return effects


CASES = (
    Case("good", True, _healthy),
    Case("good but cold", True, _cold),
    Case(
        "good, one call a minute",
        True,
        _healthy,
        calls_per_s=1 / 60,
        length_s=LOW_TRAFFIC_LENGTH_S,
    ),
    Case("good, log outage", True, _healthy, Disturbance(log_down=(0.2, 0.8))),
    Case("good, region split", True, _healthy, Disturbance(split=(0.15, 0.6))),
    Case("good, shed load", True, _busy_shed, Disturbance(shed=(0.2, 0.5))),
    Case("good, poison", True, _healthy, Disturbance(poison_interval_s=15.0)),
    Case(
        "good, one bad VM",
        True,
        _faulty_if(lambda context: context.server == 0, Effect(0.5)),
    ),
    Case("good, misleading health", True, _healthy, Disturbance(uneven=True)),
    Case("bad at once", False, _faulty_if(lambda context: True, Effect(0.5))),
    Case(
        "bad by slowness",
        False,
        _faulty_if(lambda context: True, Effect(slowness=2.5)),
    ),
    Case("bad later", False, _faulty_later, from_start=False),
    Case(
        "bad under load",
        False,
        _faulty_if(lambda context: context.load > 0.4, Effect(0.3)),
        from_start=False,
    ),
    Case(
        "bad on one route",
        False,
        _faulty_if(
            lambda context: context.route.path_prefix == "/orders", Effect(0.3)
        ),
    ),
    Case(
        "bad for one class",
        False,
        _faulty_if(
            lambda context: context.route.class_name == "lookup", Effect(0.1)
        ),
    ),
    Case(
        "bad by 1% extra failures",
        False,
        _faulty_if(lambda context: True, Effect(BASE_FAILURES + 0.01)),
    ),
    Case(
        "bad in one data centre",
        False,
        _faulty_if(lambda context: context.data_centre == 0, Effect(0.3)),
    ),
)
