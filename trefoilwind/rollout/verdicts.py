"""Verdict on the version of a move, from the blocks of its evidence."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from trefoilwind.rollout import comparison
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib

# Probability of a brake on a version that is no worse than the old one.
FALSE_BRAKE_PROBABILITY = 0.004
BRAKE_LOG_EVIDENCE = -math.log(FALSE_BRAKE_PROBABILITY)
# Evidence at which the share falls until more is known.
SUSPICION_LOG_EVIDENCE = math.log(20.0)
# Shares of the old arm's calls above the edges at which latency is compared.
_TAIL_SHARES = (0.5, 0.08)
_MIN_CALLS_FOR_EDGES = 40
# Evidence at which the share stays small while there is time to learn more.
DOUBT_LOG_EVIDENCE = math.log(4.0)
# A target whose odds exceed those of all others by this is judged apart.
OUTLIER_RATIO = 4.0
FAILURES = "failures"
LATENCY = "latency"
ALL_ROUTES = "all routes"
# Weight of the failures on all routes together; the rest is shared.
_ALL_ROUTES_WEIGHT = 1 / 3


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the evidence says of a version.

    Attributes:
        log_evidence: Logarithm of the evidence against the version.
        reason: Public name of the fault that shows most.
        step: Route on which it shows most.
    """

    log_evidence: float = 0.0
    reason: str = ""
    step: str = ""

    @property
    def is_faulty(self) -> bool:
        """True if the version must be taken back."""
        return self.log_evidence >= BRAKE_LOG_EVIDENCE

    @property
    def is_doubtful(self) -> bool:
        """True if more should be known before the share rises far."""
        return self.log_evidence >= DOUBT_LOG_EVIDENCE

    @property
    def is_suspect(self) -> bool:
        """True if the share must not rise."""
        return self.log_evidence >= SUSPICION_LOG_EVIDENCE


class Judge:
    """Judges one move; remembers the evidence of closed blocks."""

    def __init__(self) -> None:
        self._running: dict[
            tuple[tuple[evidence.RouteKey, ...], int], _Prefix
        ] = {}

    def judge(self, history: history_lib.History, servers: int) -> Verdict:
        """Return the verdict on the new arm.

        Args:
            history: Evidence of the move.
            servers: Live backend servers of the new arm.
        """
        routes = tuple(sorted({key.route for key in history.cells}))
        if not routes:
            return Verdict()
        case = _Case(history.closed, history.open, servers)
        found = [self._failures(case, (r,), r.path_prefix) for r in routes]
        found += [self._latency(case, history.cells, r) for r in routes]
        everywhere = self._failures(case, routes, ALL_ROUTES)
        return _combine(everywhere, found)

    def _failures(
        self, case: "_Case", routes: tuple[evidence.RouteKey, ...], step: str
    ) -> Verdict:
        log_evidence = self._compare(case, routes, history_lib.FAILURES)
        return Verdict(log_evidence, FAILURES, step)

    def _latency(
        self,
        case: "_Case",
        cells: Mapping[evidence.Key, evidence.Counter],
        route: evidence.RouteKey,
    ) -> Verdict:
        edges = latency_edges(
            counter
            for key, counter in cells.items()
            if key.arm is evidence.Arm.OLD and key.route == route
        )
        logs = [self._compare(case, (route,), edge) for edge in edges]
        return Verdict(comparison.log_mean(logs), LATENCY, route.path_prefix)

    def _compare(
        self,
        case: "_Case",
        routes: tuple[evidence.RouteKey, ...],
        event: int,
    ) -> float:
        """Return the evidence that remains without an outlier.

        One bad VM is not the version's fault: a target that differs from all
        others is left out.
        """
        prefix = self._prefix(case, routes, event)
        worst = _outlier(case, prefix, routes, event)
        running = prefix.running.get(worst)
        if running is None:
            running = comparison.Running()
            for block in case.closed:
                running = running.advance(_strata(block, routes, event, worst))
            prefix.running = {worst: running}
        last = running.advance(_strata(case.open, routes, event, worst))
        return last.log_evidence

    def _prefix(
        self,
        case: "_Case",
        routes: tuple[evidence.RouteKey, ...],
        event: int,
    ) -> "_Prefix":
        """Return what is remembered, brought up to the closed blocks."""
        prefix = self._running.setdefault((routes, event), _Prefix())
        for block in case.closed[prefix.blocks :]:
            _count_targets(prefix.targets, block, routes, event)
            prefix.running = {
                worst: running.advance(_strata(block, routes, event, worst))
                for worst, running in prefix.running.items()
            }
            prefix.blocks += 1
        return prefix


@dataclasses.dataclass(frozen=True)
class _Case:
    closed: Sequence[history_lib.Block]
    open: history_lib.Block
    servers: int


@dataclasses.dataclass(frozen=True)
class _Count:
    """Calls of a target and the events among them."""

    calls: int = 0
    events: int = 0

    def __add__(self, other: "_Count") -> "_Count":
        return _Count(self.calls + other.calls, self.events + other.events)

    @property
    def odds(self) -> float:
        """Odds of an event, with half a call added to each side."""
        return (self.events + 0.5) / (self.calls - self.events + 0.5)


_NONE = _Count()


@dataclasses.dataclass
class _Prefix:
    """What is remembered of closed blocks."""

    blocks: int = 0
    targets: dict[str, _Count] = dataclasses.field(default_factory=dict)
    running: dict[str, comparison.Running] = dataclasses.field(
        default_factory=dict
    )


def _combine(everywhere: Verdict, found: Sequence[Verdict]) -> Verdict:
    worst = max((everywhere, *found), key=lambda v: v.log_evidence)
    mean = comparison.log_mean(v.log_evidence for v in found)
    log_evidence = comparison.log_sum(
        everywhere.log_evidence + math.log(_ALL_ROUTES_WEIGHT),
        mean + math.log(1 - _ALL_ROUTES_WEIGHT),
    )
    return dataclasses.replace(worst, log_evidence=log_evidence)


def judge(history: history_lib.History, servers: int) -> Verdict:
    """Return the verdict on the new arm; a pure function."""
    return Judge().judge(history, servers)


def latency_edges(counters: Iterable[evidence.Counter]) -> tuple[int, ...]:
    """Return the edges at which the latency of both arms is compared.

    Args:
        counters: Counts of the old arm, which alone sets the edges.
    """
    columns = zip(*(c.buckets for c in counters), strict=True)
    buckets = [sum(column) for column in columns]
    total = sum(buckets)
    if total < _MIN_CALLS_FOR_EDGES:
        return ()
    edges = {_first_edge(buckets, share * total) for share in _TAIL_SHARES}
    return tuple(sorted(edges))


def _first_edge(buckets: Sequence[int], most_above: float) -> int:
    above = sum(buckets)
    for edge, count in enumerate(buckets[:-1]):
        above -= count
        if above <= most_above:
            return edge
    return len(buckets) - 2


def _outlier(
    case: _Case,
    prefix: _Prefix,
    routes: Iterable[evidence.RouteKey],
    event: int,
) -> str:
    """Return the target with the most events if it differs from the others."""
    if case.servers < 2:
        return ""
    targets = prefix.targets.copy()
    _count_targets(targets, case.open, routes, event)
    worst = max(
        targets, key=lambda name: (targets[name].events, name), default=""
    )
    if not worst or not targets[worst].events:
        return ""
    own = targets.pop(worst)
    others = sum(targets.values(), _Count())
    return worst if own.odds > OUTLIER_RATIO * others.odds else ""


def _count_targets(
    targets: dict[str, _Count],
    block: history_lib.Block,
    routes: Iterable[evidence.RouteKey],
    event: int,
) -> None:
    for route in routes:
        for tally in block.tallies(route, event):
            for target, (calls, events) in tally.targets.items():
                known = targets.get(target, _NONE)
                targets[target] = _Count(
                    known.calls + calls, known.events + events
                )


def _strata(
    block: history_lib.Block,
    routes: Iterable[evidence.RouteKey],
    event: int,
    left_out: str,
) -> list[comparison.Stratum]:
    return [
        _stratum(tally, left_out)
        for route in routes
        for tally in block.tallies(route, event)
    ]


def _stratum(tally: history_lib.Tally, left_out: str) -> comparison.Stratum:
    calls, events = tally.targets.get(left_out, (0, 0))
    return comparison.Stratum(
        tally.new_calls - calls,
        tally.new_events - events,
        tally.old_calls,
        tally.old_events,
    )
