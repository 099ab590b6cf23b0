"""Shares never exceed the bound of their stage and rise only with evidence."""

import dataclasses

import hypothesis
from hypothesis import strategies

from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import outcomes
from trefoilwind.rollout import stages
from trefoilwind.rollout import verdicts

_LOOKUP = evidence.RouteKey("/", "lookup")
_ORDER = evidence.RouteKey("/orders", "order")
_MOVE = moves.Move("m", "s", "v2", "v1", deadline=1300.0, started=1000.0)
_FAULTY = verdicts.Verdict(99.0, "failures", "/")
_SUSPECT = verdicts.Verdict(verdicts.SUSPICION_LOG_EVIDENCE, "failures", "/")
_calls = strategies.integers(0, 20_000)


def _progress(
    lookups: tuple[int, int], orders: tuple[int, int]
) -> tuple[stages.Progress, ...]:
    return (
        stages.Progress(_LOOKUP, True, lookups[0], 0, lookups[1], 0),
        stages.Progress(_ORDER, False, orders[0], 0, orders[1], 0),
    )


@hypothesis.given(
    strategies.tuples(_calls, _calls),
    strategies.tuples(_calls, _calls),
    strategies.floats(1000.0, 1400.0),
    strategies.floats(-5.0, 20.0),
)
def test_no_share_exceeds_the_bound_of_its_stage(lookups, orders, now, log):
    verdict = verdicts.Verdict(log, "failures", "/")
    progress = _progress(lookups, orders)
    plan = stages.derive(_MOVE, progress, verdict, now)
    assert plan == stages.derive(_MOVE, progress, verdict, now)
    for found, entry in zip(plan.routes, progress, strict=True):
        busy = entry.calls > 2 * stages.LOW_TRAFFIC_CALLS
        many = busy and entry.calls * stages.SHARES[0] > 250
        if many and now < _MOVE.deadline:
            assert found.share <= stages.SHARES[found.stage]
        assert found.share <= stages.SHARES[stages.FINAL_STAGE]
        if verdict.is_suspect:
            assert found.share <= stages.SUSPECT_SHARE
        if verdict.is_faulty:
            assert found.share == 0.0


@hypothesis.given(
    strategies.integers(15_001, 60_000), strategies.floats(1001.0, 1299.0)
)
def test_without_calls_of_the_new_version_no_busy_share_rises(old, now):
    progress = _progress((0, old), (0, old))
    plan = stages.derive(_MOVE, progress, verdicts.Verdict(), now)
    assert all(route.share <= stages.SHARES[0] for route in plan.routes)


def test_non_idempotent_calls_wait_for_idempotent_ones():
    progress = _progress((10, 3000), (0, 3000))
    plan = stages.derive(_MOVE, progress, verdicts.Verdict(), 1010.0)
    assert [route.share for route in plan.routes] == [stages.SHARES[0], 0.0]


def test_a_route_with_one_call_a_minute_gets_enough_share():
    progress = _progress((0, 1), (0, 0))
    now = _MOVE.started + 0.2 * 300
    plan = stages.derive(_MOVE, progress, verdicts.Verdict(), now)
    assert plan.routes[0].share == stages.LOW_TRAFFIC_SHARE


def test_the_timetable_ends_before_the_deadline():
    for length_s in (5.0, 45.0, 300.0, 86400.0):
        move = dataclasses.replace(_MOVE, deadline=1000.0 + length_s)
        times = stages.timetable(move)
        assert move.started < times.ramp_end < times.decide_by < move.deadline


def _view(progress, **changes) -> outcomes.View:
    plan = stages.derive(_MOVE, progress, verdicts.Verdict(), 1200.0)
    view = outcomes.View(progress, plan, verdicts.Verdict(), servers=3)
    return dataclasses.replace(view, **changes)


def _outcome(view: outcomes.View, now: float) -> tuple[str, str] | None:
    found = outcomes.decide(_MOVE, view, now)
    return found and (found.result.value, found.reason)


def test_each_outcome_has_its_reason():
    judged = _progress((9000, 9000), (9000, 9000))
    unseen = _progress((0, 0), (0, 0))
    failing = (dataclasses.replace(judged[0], new_calls=5, new_failures=5),)
    at_deadline = _MOVE.deadline
    done = _view(judged, final_since=1100.0)
    brake = evidence.Brake("m", "latency", "/", "n1")
    assert _outcome(done, 1250.0) == ("done", "full-share")
    assert _outcome(done, 1120.0) is None
    assert _outcome(_view(judged), at_deadline) == ("undone", "deadline")
    assert _outcome(_view(unseen, servers=0), at_deadline) == (
        "undone",
        "no-backend-server",
    )
    assert _outcome(_view(unseen), at_deadline) == ("undone", "no-traffic")
    assert _outcome(_view(failing), at_deadline) == ("undone", "not-proven")
    assert _outcome(_view(judged, verdict=_SUSPECT), at_deadline) == (
        "undone",
        "not-proven",
    )
    braked = dataclasses.replace(done, brake=brake)
    assert _outcome(braked, 1250.0) == ("undone", "latency")


def test_a_suspect_or_unserved_version_is_not_done():
    judged = _progress((9000, 9000), (9000, 9000))
    suspect = _view(judged, final_since=1100.0, verdict=_SUSPECT)
    unserved = _view(judged, final_since=1100.0, servers=0)
    assert _outcome(suspect, 1250.0) is None
    assert _outcome(unserved, 1250.0) is None
