"""Catalogue of cases and sizes for the decision bench."""

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
    """A route of the bench's service.

    Attributes:
        path_prefix: Prefix of the route.
        class_name: Class of its calls.
        idempotent: True if the calls may run more than once.
        part: Part of the service's calls.
        median_s: Median latency in seconds of the old version.
    """

    path_prefix: str
    class_name: str
    idempotent: bool
    part: float
    median_s: float


ROUTES = (
    Route("/", "lookup", True, 0.40, 0.006),
    Route("/status", "lookup", True, 0.25, 0.004),
    Route("/orders", "order", False, 0.20, 0.012),
    Route("/uploads", "upload", False, 0.15, 0.060),
)


@dataclasses.dataclass(frozen=True)
class Size:
    """A deployment's service.

    Attributes:
        name: Owner and service.
        servers: Backend servers of each version.
    """

    name: str
    servers: int

    @property
    def calls_per_s(self) -> float:
        """Calls of the service a second, over all routes."""
        return self.servers * CALLS_PER_SERVER

    def placed(self) -> tuple[int, ...]:
        """Return the data centre, 0 to 3, of each backend server."""
        # Four servers stand two by two, so that each place has a second one.
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
class Place:
    """Where and when a call runs.

    Attributes:
        part: Part of the move's length that has passed.
        route: The route.
        is_new: True for the new version.
        server: Index of the backend server.
        data_centre: Data centre of the backend server.
        calls_before: Calls that the backend server ran before.
        load: Calls a second that it gets, over its fair part at full share.
    """

    part: float
    route: Route
    is_new: bool
    server: int = 0
    data_centre: int = 0
    calls_before: int = 0
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Effect:
    """What happens to calls.

    Attributes:
        failures: Probability of a failure.
        slowness: Factor on the latency.
    """

    failures: float = BASE_FAILURES
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True)
class Trouble:
    """Trouble around the versions; parts of the move's length.

    Attributes:
        log_down: From and until when the log does not answer.
        split: From and until when the regions do not reach each other.
        shed: From and until when all backend servers shed a fifth.
        poison_interval_s: Seconds between poison requests; 0 for none.
        uneven: True if misleading health sends calls to few servers.
    """

    log_down: tuple[float, float] = (2.0, 2.0)
    split: tuple[float, float] = (2.0, 2.0)
    shed: tuple[float, float] = (2.0, 2.0)
    poison_interval_s: float = 0.0
    uneven: bool = False


Effects = Callable[[Place], Effect]


@dataclasses.dataclass(frozen=True)
class Case:
    """One case.

    Attributes:
        name: Name in the report.
        good: True if the move should be done.
        effects: Returns the effects for a random generator of the run.
        trouble: Trouble around the versions.
        calls_per_s: Calls a second if not those of the size.
        length_s: Seconds from the start to the deadline.
        from_start: True if a fault is there from the start.
    """

    name: str
    good: bool
    effects: Callable[[random.Random], Effects]
    trouble: Trouble = Trouble()
    calls_per_s: float = 0.0
    length_s: float = LENGTH_S
    from_start: bool = True


def _healthy(rng: random.Random) -> Effects:
    return lambda place: Effect()


def _cold(rng: random.Random) -> Effects:
    def effects(place: Place) -> Effect:
        if not place.is_new:
            return Effect()
        extra = 4.0 * math.exp(-place.calls_before / 10)
        return Effect(slowness=round(1.0 + extra, 1))

    return effects


def _when(
    condition: Callable[[Place], bool], effect: Effect
) -> Callable[[random.Random], Effects]:
    def make(rng: random.Random) -> Effects:
        def effects(place: Place) -> Effect:
            return effect if place.is_new and condition(place) else Effect()

        return effects

    return make


def _later(rng: random.Random) -> Effects:
    begins = rng.uniform(0.15, 0.5)
    return _when(lambda p: p.part >= begins, Effect(0.2))(rng)


def _busy_shed(rng: random.Random) -> Effects:
    def effects(place: Place) -> Effect:
        return Effect(slowness=1.5 if 0.2 <= place.part < 0.5 else 1.0)

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
    Case("good, log outage", True, _healthy, Trouble(log_down=(0.2, 0.8))),
    Case("good, region split", True, _healthy, Trouble(split=(0.15, 0.6))),
    Case("good, shed load", True, _busy_shed, Trouble(shed=(0.2, 0.5))),
    Case("good, poison", True, _healthy, Trouble(poison_interval_s=15.0)),
    Case(
        "good, one bad VM",
        True,
        _when(lambda p: p.server == 0, Effect(0.5)),
    ),
    Case("good, misleading health", True, _healthy, Trouble(uneven=True)),
    Case("bad at once", False, _when(lambda p: True, Effect(0.5))),
    Case(
        "bad by slowness",
        False,
        _when(lambda p: True, Effect(slowness=2.5)),
    ),
    Case("bad later", False, _later, from_start=False),
    Case(
        "bad under load",
        False,
        _when(lambda p: p.load > 0.4, Effect(0.3)),
        from_start=False,
    ),
    Case(
        "bad on one route",
        False,
        _when(lambda p: p.route.path_prefix == "/orders", Effect(0.3)),
    ),
    Case(
        "bad for one class",
        False,
        _when(lambda p: p.route.class_name == "lookup", Effect(0.1)),
    ),
    Case(
        "bad by 1% extra failures",
        False,
        _when(lambda p: True, Effect(BASE_FAILURES + 0.01)),
    ),
    Case(
        "bad in one data centre",
        False,
        _when(lambda p: p.data_centre == 0, Effect(0.3)),
    ),
)
