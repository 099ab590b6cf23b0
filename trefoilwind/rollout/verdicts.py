"""Verdict on the version of a move, from the blocks of its evidence."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

from trefoilwind.rollout import comparison
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib

# Probability of a brake on a version that is no worse than the old one.
FALSE_BRAKE_PROBABILITY = 0.001
BRAKE_LOG_EVIDENCE = -math.log(FALSE_BRAKE_PROBABILITY)
# Evidence at which the share falls until more is known.
SUSPICION_LOG_EVIDENCE = math.log(20.0)
# Shares of the old arm's calls above the edges at which latency is compared.
_TAIL_SHARES = (0.5, 0.08)
_MIN_CALLS_FOR_EDGES = 40
FAILURES = "failures"
LATENCY = "latency"
ALL_ROUTES = "all routes"


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
        blocks = (*history.closed, history.open)
        routes = sorted({route for block in blocks for route in block.routes})
        if not routes:
            return Verdict()
        case = _Case(history.closed, history.open, servers)
        scopes = [((route,), route.path_prefix) for route in routes]
        scopes.append((tuple(routes), ALL_ROUTES))
        verdicts = [self._failures(case, *scope) for scope in scopes]
        verdicts += [self._latency(case, blocks, route) for route in routes]
        worst = max(verdicts, key=lambda v: v.log_evidence)
        mean = comparison.log_mean(v.log_evidence for v in verdicts)
        return dataclasses.replace(worst, log_evidence=mean)

    def _failures(
        self, case: "_Case", routes: tuple[evidence.RouteKey, ...], step: str
    ) -> Verdict:
        log_evidence = self._compare(case, routes, history_lib.FAILURES)
        return Verdict(log_evidence, FAILURES, step)

    def _latency(
        self,
        case: "_Case",
        blocks: Sequence[history_lib.Block],
        route: evidence.RouteKey,
    ) -> Verdict:
        edges = latency_edges(
            site.old
            for block in blocks
            for site in block.routes.get(route, {}).values()
        )
        logs = [self._compare(case, (route,), edge) for edge in edges]
        return Verdict(comparison.log_mean(logs), LATENCY, route.path_prefix)

    def _compare(
        self,
        case: "_Case",
        routes: tuple[evidence.RouteKey, ...],
        event: int,
    ) -> float:
        """Return the evidence that remains without the worst target.

        One bad VM is not the version's fault, so it takes two to convict.
        """
        prefix = self._prefix(case, routes, event)
        worst = _worst_target(case, prefix, routes, event)
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
            _count_events(prefix.events, block, routes, event)
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


@dataclasses.dataclass
class _Prefix:
    """What is remembered of closed blocks."""

    blocks: int = 0
    events: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    running: dict[str, comparison.Running] = dataclasses.field(
        default_factory=dict
    )


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


def _worst_target(
    case: _Case,
    prefix: _Prefix,
    routes: Iterable[evidence.RouteKey],
    event: int,
) -> str:
    if case.servers < 2:
        return ""
    events = prefix.events.copy()
    _count_events(events, case.open, routes, event)
    if not events:
        return ""
    most = max(events.values())
    return min(target for target, count in events.items() if count == most)


def _count_events(
    events: collections.Counter[str],
    block: history_lib.Block,
    routes: Iterable[evidence.RouteKey],
    event: int,
) -> None:
    for route in routes:
        for tally in block.tallies(route, event):
            for target, (_, count) in tally.targets.items():
                events[target] += count


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
