"""Stages of a move: how much of each route's calls the new arm may take.

The plan is worked back from the deadline. A route leaves a stage once the new
arm ran enough of its calls, so that evidence, not time, raises a share; how
many are enough shrinks with what the traffic can give in the time there is.
"""

from collections.abc import Sequence
import dataclasses

from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import verdicts

# The old arm keeps the rest until the outcome, as what to compare with.
SHARES = (0.02, 0.06, 0.2, 0.5, 0.9)
FINAL_STAGE = len(SHARES) - 1
# Calls of the new arm on the route, since the start, that end each stage.
CALLS_NEEDED = (400, 900, 1800, 3500)
# Calls of the new arm on all routes that end the first two stages: before, one
# failure more in a hundred calls may not have shown.
CALLS_NEEDED_IN_ALL = 1000
# Part of those calls below which waiting for them is not worth the time.
WORTHWHILE_PART = 0.2
# Parts of the ramp that are planned for each stage but the last.
RAMP_PARTS = (0.4, 0.15, 0.1, 0.1)
# Part of the calls planned for a stage that must have come.
NEEDED_PART = 0.5
SUSPECT_SHARE = 0.2
# At larger shares a failure on the new arm tells less against it.
DOUBT_SHARE = 0.1
# Part of the ramp after which a doubt alone holds nothing back.
DOUBT_PART = 0.85
RESERVE_PART = 0.1
MIN_RESERVE_S = 5.0
MAX_RESERVE_S = 60.0
HOLD_PART = 0.15
MAX_HOLD_S = 300.0
MIN_DWELL_PART = 0.015
# Until so many calls or this part of the time, the traffic is unknown.
CALLS_TO_KNOW_RATE = 30
PART_TO_KNOW_RATE = 0.1
# Fewer expected calls than this are judged with all routes of the service.
LOW_TRAFFIC_CALLS = 100
LOW_TRAFFIC_SHARE = 0.5
CALLS_IN_FIRST_STAGE = 5


@dataclasses.dataclass(frozen=True)
class Timetable:
    """Times of a move, all wall time in seconds.

    Attributes:
        started: Start of the ramp.
        ramp_end: Latest time to reach the final stage.
        settle_by: Latest time to decide that the move is done; the rest
            until the deadline is for the records.
        deadline: The move's deadline.
    """

    started: float
    ramp_end: float
    settle_by: float
    deadline: float

    @property
    def length_s(self) -> float:
        """Seconds from the start to the deadline."""
        return self.deadline - self.started

    @property
    def hold_s(self) -> float:
        """Seconds for which the final stage is watched."""
        return self.settle_by - self.ramp_end


def timetable(move: moves.Move) -> Timetable:
    """Return the times of a move, worked back from its deadline."""
    length_s = move.deadline - move.started
    reserve_s = max(RESERVE_PART * length_s, MIN_RESERVE_S)
    reserve_s = min(reserve_s, MAX_RESERVE_S, length_s / 3)
    hold_s = min(HOLD_PART * length_s, MAX_HOLD_S)
    settle_by = move.deadline - reserve_s
    return Timetable(move.started, settle_by - hold_s, settle_by, move.deadline)


@dataclasses.dataclass(frozen=True)
class Progress:
    """Evidence on one route, by count.

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
        progress: Evidence by count, one entry per route.
        verdict: What the evidence says of the new arm.
        now: Wall time in seconds.
    """
    times = timetable(move)
    pooled = total(progress)
    busy = {p.route: _stage(p, pooled, times, now) for p in progress if p.calls}
    # A route without calls goes with the slowest of the others.
    lowest = min(busy.values(), default=0)
    waits = _orders_wait(progress, busy, times, now)
    routes = []
    for entry in progress:
        stage = busy.get(entry.route, lowest)
        share = _share(entry, pooled, stage, times, now)
        share = min(share, _highest_share(verdict, times, now))
        if waits and not entry.idempotent:
            stage, share = 0, 0.0
        if verdict.is_faulty:
            share = 0.0
        routes.append(RouteStage(entry.route, stage, share))
    return Plan(tuple(routes))


def _highest_share(
    verdict: verdicts.Verdict, times: Timetable, now: float
) -> float:
    doubt_ends = times.started + DOUBT_PART * (times.ramp_end - times.started)
    if verdict.is_doubtful and now < doubt_ends:
        return DOUBT_SHARE
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
        progress.calls >= CALLS_TO_KNOW_RATE
        or elapsed_s >= PART_TO_KNOW_RATE * times.length_s
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
        planned += share * rate * RAMP_PARTS[stage] * ramp_s
        needed = min(CALLS_NEEDED[stage], max(1.0, NEEDED_PART * planned))
        dwell_s = (stage + 1) * MIN_DWELL_PART * times.length_s
        if progress.new_calls < needed or now < times.started + dwell_s:
            return stage
    return highest


def _highest_stage(pooled: Progress, times: Timetable, now: float) -> int:
    """Return the stage up to which all routes together have shown enough."""
    if pooled.new_calls >= CALLS_NEEDED_IN_ALL:
        return FINAL_STAGE
    ramp_s = times.ramp_end - times.started
    planned = SHARES[0] * _rate(pooled, times, now) * RAMP_PARTS[0] * ramp_s
    if planned < CALLS_NEEDED_IN_ALL * WORTHWHILE_PART:
        return FINAL_STAGE
    elapsed_s = now - times.started
    if elapsed_s < RAMP_PARTS[0] * ramp_s:
        return 0
    if elapsed_s < (RAMP_PARTS[0] + RAMP_PARTS[1]) * ramp_s:
        return 1
    return FINAL_STAGE


def _planned_share(rate: float, times: Timetable, stage: int) -> float:
    """Return the stage's share, raised where there is little traffic."""
    calls = rate * RAMP_PARTS[0] * (times.ramp_end - times.started)
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


def _orders_wait(
    progress: Sequence[Progress],
    stages: dict[evidence.RouteKey, int],
    times: Timetable,
    now: float,
) -> bool:
    """Return True while only idempotent classes may run on the new arm."""
    first = [p for p in progress if p.idempotent and p.calls]
    late = times.started + RAMP_PARTS[0] * (times.ramp_end - times.started) / 3
    if not first or now >= late:
        return False
    enough = CALLS_NEEDED[0] / 4
    return any(stages[p.route] == 0 and p.new_calls < enough for p in first)
