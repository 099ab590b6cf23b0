"""Verdict on the version of a move, from the blocks of its evidence.

Evidence is a likelihood ratio against the version, given as its logarithm.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from trefoilwind.rollout import comparison
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib

# Largest probability of a brake on a version no worse than the old one.
FALSE_BRAKE_PROBABILITY = 0.004
BRAKE_LOG_EVIDENCE = -math.log(FALSE_BRAKE_PROBABILITY)
# Evidence at which the share is lowered until there are more calls.
SUSPICION_LOG_EVIDENCE = math.log(20.0)
# Latency is compared at the edges above which these shares of the old arm's
# calls lie.
_TAIL_SHARES = (0.5, 0.08)
_MIN_CALLS_FOR_EDGES = 40
# Evidence at which the share stays small while there is time for more calls.
UNCERTAINTY_LOG_EVIDENCE = math.log(4.0)
# A target whose odds of an event exceed this multiple of the odds on all other
# targets is an outlier and excluded.
OUTLIER_RATIO = 4.0
FAILURES = "failures"
LATENCY = "latency"
ALL_ROUTES = "all routes"
# Weight of the failures on all routes together; the other tests share the rest.
_ALL_ROUTES_WEIGHT = 1 / 3


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of the tests of a version.

    Attributes:
        log_evidence: Logarithm of the evidence against the version.
        reason: Public name of the fault with the most evidence.
        step: Route with the most evidence.
    """

    log_evidence: float = 0.0
    reason: str = ""
    step: str = ""

    @property
    def is_faulty(self) -> bool:
        """True if the version must be braked."""
        return self.log_evidence >= BRAKE_LOG_EVIDENCE

    @property
    def is_uncertain(self) -> bool:
        """True if the share must stay small until there are more calls."""
        return self.log_evidence >= UNCERTAINTY_LOG_EVIDENCE

    @property
    def is_suspect(self) -> bool:
        """True if the share must not rise."""
        return self.log_evidence >= SUSPICION_LOG_EVIDENCE


class Judge:
    """Evaluates one move; keeps the evidence of closed blocks."""

    def __init__(self) -> None:
        self._closed_states: dict[
            tuple[tuple[evidence.RouteKey, ...], int], _ClosedState
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
        sample = _Sample(history.closed, history.open, servers)
        found = [self._failures(sample, (r,), r.path_prefix) for r in routes]
        found += [self._latency(sample, history.cells, r) for r in routes]
        all_routes = self._failures(sample, routes, ALL_ROUTES)
        return _combine(all_routes, found)

    def _failures(
        self,
        sample: "_Sample",
        routes: tuple[evidence.RouteKey, ...],
        step: str,
    ) -> Verdict:
        log_evidence = self._compare(sample, routes, history_lib.FAILURES)
        return Verdict(log_evidence, FAILURES, step)

    def _latency(
        self,
        sample: "_Sample",
        cells: Mapping[evidence.Key, evidence.Counter],
        route: evidence.RouteKey,
    ) -> Verdict:
        edges = latency_edges(
            counter
            for key, counter in cells.items()
            if key.arm is evidence.Arm.OLD and key.route == route
        )
        logs = [self._compare(sample, (route,), edge) for edge in edges]
        return Verdict(comparison.log_mean(logs), LATENCY, route.path_prefix)

    def _compare(
        self,
        sample: "_Sample",
        routes: tuple[evidence.RouteKey, ...],
        event: int,
    ) -> float:
        """Return the evidence without that of an outlier.

        One bad VM is not a fault of the version, so a target that differs
        from all others is excluded.
        """
        closed_state = self._update_closed_state(sample, routes, event)
        worst = _find_outlier(sample, closed_state, routes, event)
        running = closed_state.running.get(worst)
        if running is None:
            running = comparison.RunningEvidence()
            for block in sample.closed:
                running = running.advance(_strata(block, routes, event, worst))
            closed_state.running = {worst: running}
        last = running.advance(_strata(sample.open, routes, event, worst))
        return last.log_evidence

    def _update_closed_state(
        self,
        sample: "_Sample",
        routes: tuple[evidence.RouteKey, ...],
        event: int,
    ) -> "_ClosedState":
        """Return the state of the closed blocks, with new ones added."""
        closed_state = self._closed_states.setdefault(
            (routes, event), _ClosedState()
        )
        for block in sample.closed[closed_state.blocks :]:
            _count_targets(closed_state.targets, block, routes, event)
            closed_state.running = {
                worst: running.advance(_strata(block, routes, event, worst))
                for worst, running in closed_state.running.items()
            }
            closed_state.blocks += 1
        return closed_state


@dataclasses.dataclass(frozen=True)
class _Sample:
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


_NO_CALLS = _Count()


@dataclasses.dataclass
class _ClosedState:
    """Accumulated counts and evidence of closed blocks.

    Attributes:
        blocks: Number of blocks included.
        targets: Counts by target.
        running: Evidence by excluded target; empty name for none.
    """

    blocks: int = 0
    targets: dict[str, _Count] = dataclasses.field(default_factory=dict)
    running: dict[str, comparison.RunningEvidence] = dataclasses.field(
        default_factory=dict
    )


def _combine(all_routes: Verdict, found: Sequence[Verdict]) -> Verdict:
    worst = max((all_routes, *found), key=lambda v: v.log_evidence)
    mean = comparison.log_mean(v.log_evidence for v in found)
    log_evidence = comparison.log_sum(
        all_routes.log_evidence + math.log(_ALL_ROUTES_WEIGHT),
        mean + math.log(1 - _ALL_ROUTES_WEIGHT),
    )
    return dataclasses.replace(worst, log_evidence=log_evidence)


def judge(history: history_lib.History, servers: int) -> Verdict:
    """Return the verdict on the new arm; a pure function."""
    return Judge().judge(history, servers)


def latency_edges(counters: Iterable[evidence.Counter]) -> tuple[int, ...]:
    """Return the edges at which the latency of both arms is compared.

    Args:
        counters: Counts of the old arm, which alone determine the edges.
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


def _find_outlier(
    sample: _Sample,
    closed_state: _ClosedState,
    routes: Iterable[evidence.RouteKey],
    event: int,
) -> str:
    """Return the target with the most events if it is an outlier, or ""."""
    if sample.servers < 2:
        return ""
    targets = closed_state.targets.copy()
    _count_targets(targets, sample.open, routes, event)
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
                known = targets.get(target, _NO_CALLS)
                targets[target] = _Count(
                    known.calls + calls, known.events + events
                )


def _strata(
    block: history_lib.Block,
    routes: Iterable[evidence.RouteKey],
    event: int,
    excluded: str,
) -> list[comparison.Stratum]:
    return [
        _stratum(tally, excluded)
        for route in routes
        for tally in block.tallies(route, event)
    ]


def _stratum(tally: history_lib.Tally, excluded: str) -> comparison.Stratum:
    calls, events = tally.targets.get(excluded, (0, 0))
    return comparison.Stratum(
        tally.new_calls - calls,
        tally.new_events - events,
        tally.old_calls,
        tally.old_events,
    )
