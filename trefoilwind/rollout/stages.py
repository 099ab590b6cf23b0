"""Stages of a move: the share of each route's calls for the new arm.

The plan is computed back from the deadline. A route leaves a stage once the
new arm has run enough of its calls, so that a share rises with evidence, not
with time. The number of calls needed is lower if the expected traffic until
the deadline is low.
"""

from collections.abc import Sequence
import dataclasses

from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import verdicts

# The old arm keeps the rest until the outcome, as the base of comparison.
SHARES = (0.02, 0.06, 0.2, 0.5, 0.9)
FINAL_STAGE = len(SHARES) - 1
# Calls of the new arm on a route, since the start, that end each stage.
CALLS_NEEDED = (400, 900, 1800, 3500)
# Calls of the new arm on all routes that end the first two stages; with fewer,
# a rise of the failures by one in a hundred calls may not be detected.
CALLS_NEEDED_ON_ALL_ROUTES = 1000
# The plan does not wait for those calls if fewer than this fraction of them is
# expected in the first stage.
MIN_REACHABLE_FRACTION = 0.2
# Fraction of the ramp planned for each stage but the last.
RAMP_FRACTIONS = (0.4, 0.15, 0.1, 0.1)
# Fraction of the calls planned for a stage that must have been run.
NEEDED_FRACTION = 0.5
SUSPECT_SHARE = 0.2
# At larger shares a failure on the new arm is weaker evidence against it.
UNCERTAIN_SHARE = 0.1
# Fraction of the ramp after which uncertainty alone does not limit the share.
UNCERTAINTY_FRACTION = 0.85
RESERVE_FRACTION = 0.1
MIN_RESERVE_S = 5.0
MAX_RESERVE_S = 60.0
HOLD_FRACTION = 0.15
MAX_HOLD_S = 300.0
MIN_DWELL_FRACTION = 0.015
# The call rate counts as unknown until there were so many calls or this
# fraction of the move's time has passed.
MIN_CALLS_FOR_RATE = 30
MIN_FRACTION_FOR_RATE = 0.1
# A route that expects fewer calls is evaluated with all routes of the service.
LOW_TRAFFIC_CALLS = 100
LOW_TRAFFIC_SHARE = 0.5
CALLS_IN_FIRST_STAGE = 5


@dataclasses.dataclass(frozen=True)
class Timetable:
    """Times of a move, all of them wall time in seconds.

    Attributes:
        started: Start of the ramp.
        ramp_end: Latest time to reach the final stage.
        decide_by: Latest time to decide that the move is done; the time
            from then to the deadline is reserved for writing the records.
        deadline: The move's deadline.
    """

    started: float
    ramp_end: float
    decide_by: float
    deadline: float

    @property
    def length_s(self) -> float:
        """Seconds from the start to the deadline."""
        return self.deadline - self.started

    @property
    def hold_s(self) -> float:
        """Seconds for which the final stage is observed."""
        return self.decide_by - self.ramp_end


def timetable(move: moves.Move) -> Timetable:
    """Return the times of a move, computed back from its deadline."""
    length_s = move.deadline - move.started
    reserve_s = max(RESERVE_FRACTION * length_s, MIN_RESERVE_S)
    reserve_s = min(reserve_s, MAX_RESERVE_S, length_s / 3)
    hold_s = min(HOLD_FRACTION * length_s, MAX_HOLD_S)
    decide_by = move.deadline - reserve_s
    return Timetable(move.started, decide_by - hold_s, decide_by, move.deadline)


@dataclasses.dataclass(frozen=True)
class Progress:
    """Numbers of calls and failures on one route.

    Attributes:
        route: Route and class.
        idempotent: True if the calls of the class may run more than once.
        new_calls: Calls of the new arm.
        new_failures: Failures among them.
        old_calls: Calls of the old arm.
        old_failures: Failures among them.
    """

    route: evidence.RouteKey
    idempotent: bool
    new_calls: int = 0
    new_failures: int = 0
    old_calls: int = 0
    old_failures: int = 0

    @property
    def calls(self) -> int:
        """Calls of both arms."""
        return self.new_calls + self.old_calls


@dataclasses.dataclass(frozen=True)
class RouteStage:
    """Stage of one route.

    Attributes:
        route: Route and class.
        stage: Index of the stage.
        share: Share of the calls, 0 to 1, for the new arm.
    """

    route: evidence.RouteKey
    stage: int
    share: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Stages of all routes of a move."""

    routes: tuple[RouteStage, ...]

    @property
    def is_final(self) -> bool:
        """True if every route reached the final stage."""
        return all(r.stage == FINAL_STAGE for r in self.routes)


def total(progress: Sequence[Progress]) -> Progress:
    """Return the sum over all routes."""
    return Progress(
        evidence.RouteKey("", ""),
        True,
        sum(p.new_calls for p in progress),
        sum(p.new_failures for p in progress),
        sum(p.old_calls for p in progress),
        sum(p.old_failures for p in progress),
    )


def derive(
    move: moves.Move,
    progress: Sequence[Progress],
    verdict: verdicts.Verdict,
    now: float,
) -> Plan:
    """Return the stages; a pure function of move, evidence and time.

    Args:
        move: The open move.
        progress: Numbers of calls and failures, one entry per route.
        verdict: Result of the tests of the new arm.
        now: Wall time in seconds.
    """
    times = timetable(move)
    pooled = total(progress)
    stage_by_route = {
        p.route: _stage(p, pooled, times, now) for p in progress if p.calls
    }
    # A route without calls has the lowest stage of the others.
    lowest = min(stage_by_route.values(), default=0)
    is_held_back = _holds_back_non_idempotent(
        progress, stage_by_route, times, now
    )
    routes = []
    for entry in progress:
        stage = stage_by_route.get(entry.route, lowest)
        share = _share(entry, pooled, stage, times, now)
        share = min(share, _highest_share(verdict, times, now))
        if is_held_back and not entry.idempotent:
            stage, share = 0, 0.0
        if verdict.is_faulty:
            share = 0.0
        routes.append(RouteStage(entry.route, stage, share))
    return Plan(tuple(routes))


def _highest_share(
    verdict: verdicts.Verdict, times: Timetable, now: float
) -> float:
    uncertainty_ends_at = times.started + UNCERTAINTY_FRACTION * (
        times.ramp_end - times.started
    )
    if verdict.is_uncertain and now < uncertainty_ends_at:
        return UNCERTAIN_SHARE
    return SUSPECT_SHARE if verdict.is_suspect else 1.0


def is_low_traffic(progress: Progress, times: Timetable, now: float) -> bool:
    """Return True if a route has too few calls for a test of its own."""
    expected = _rate(progress, times, now) * times.length_s
    return expected < LOW_TRAFFIC_CALLS


def _elapsed_s(times: Timetable, now: float) -> float:
    return max(now - times.started, 0.001)


def _rate(progress: Progress, times: Timetable, now: float) -> float:
    return progress.calls / _elapsed_s(times, now)


def _is_rate_known(progress: Progress, times: Timetable, now: float) -> bool:
    elapsed_s = _elapsed_s(times, now)
    return (
        progress.calls >= MIN_CALLS_FOR_RATE
        or elapsed_s >= MIN_FRACTION_FOR_RATE * times.length_s
    )


def _stage(
    progress: Progress, pooled: Progress, times: Timetable, now: float
) -> int:
    """Return the stage that the count of calls and the time allow."""
    if not _is_rate_known(pooled, times, now):
        return 0
    highest = _highest_stage(pooled, times, now)
    if is_low_traffic(progress, times, now):
        progress = pooled
    rate = _rate(progress, times, now)
    ramp_s = times.ramp_end - times.started
    planned = 0.0
    for stage in range(highest):
        share = _planned_share(rate, times, stage)
        planned += share * rate * RAMP_FRACTIONS[stage] * ramp_s
        needed = min(CALLS_NEEDED[stage], max(1.0, NEEDED_FRACTION * planned))
        dwell_s = (stage + 1) * MIN_DWELL_FRACTION * times.length_s
        if progress.new_calls < needed or now < times.started + dwell_s:
            return stage
    return highest


def _highest_stage(pooled: Progress, times: Timetable, now: float) -> int:
    """Return the highest stage allowed by the calls of all routes together."""
    if pooled.new_calls >= CALLS_NEEDED_ON_ALL_ROUTES:
        return FINAL_STAGE
    ramp_s = times.ramp_end - times.started
    planned = SHARES[0] * _rate(pooled, times, now) * RAMP_FRACTIONS[0] * ramp_s
    if planned < CALLS_NEEDED_ON_ALL_ROUTES * MIN_REACHABLE_FRACTION:
        return FINAL_STAGE
    elapsed_s = now - times.started
    if elapsed_s < RAMP_FRACTIONS[0] * ramp_s:
        return 0
    if elapsed_s < (RAMP_FRACTIONS[0] + RAMP_FRACTIONS[1]) * ramp_s:
        return 1
    return FINAL_STAGE


def _planned_share(rate: float, times: Timetable, stage: int) -> float:
    """Return the stage's share, raised if there is little traffic."""
    calls = rate * RAMP_FRACTIONS[0] * (times.ramp_end - times.started)
    if calls * SHARES[0] >= CALLS_IN_FIRST_STAGE:
        return SHARES[stage]
    raised = CALLS_IN_FIRST_STAGE / max(calls, CALLS_IN_FIRST_STAGE)
    return max(SHARES[stage], min(raised, LOW_TRAFFIC_SHARE))


def _share(
    progress: Progress,
    pooled: Progress,
    stage: int,
    times: Timetable,
    now: float,
) -> float:
    if not _is_rate_known(pooled, times, now):
        return SHARES[0]
    if is_low_traffic(progress, times, now):
        progress = pooled
    half_time = (times.started + times.ramp_end) / 2
    if is_low_traffic(pooled, times, now) and now >= half_time:
        return SHARES[FINAL_STAGE]
    return _planned_share(_rate(progress, times, now), times, stage)


def _holds_back_non_idempotent(
    progress: Sequence[Progress],
    stages: dict[evidence.RouteKey, int],
    times: Timetable,
    now: float,
) -> bool:
    """Return True while only idempotent classes may run on the new arm."""
    first = [p for p in progress if p.idempotent and p.calls]
    latest_end = (
        times.started + RAMP_FRACTIONS[0] * (times.ramp_end - times.started) / 3
    )
    if not first or now >= latest_end:
        return False
    needed_calls = CALLS_NEEDED[0] / 4
    return any(
        stages[p.route] == 0 and p.new_calls < needed_calls for p in first
    )
