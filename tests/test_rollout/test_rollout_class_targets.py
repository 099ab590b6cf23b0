"""The division of a class converges; calls leave the region only for a gain."""

import random

from trefoilwind.model import configuration as configuration_lib
from trefoilwind.rollout import class_targets

_TARGET = configuration_lib.ClassTarget("lookup", True, 0.2, 0.95)
_FIRST_LOCAL = class_targets.Locality("north", "perth-a")
_SECOND_LOCAL = class_targets.Locality("south", "perth-b")
_REMOTE = class_targets.Locality("south", "pilbara-a")
_CALLS = 400


def _served_share(offered: float, capacity: float) -> float:
    return min(1.0, capacity / offered) if offered else 1.0


def _run(
    first_local: float, second_local: float, remote: float, intervals: int = 360
):
    """Run against localities that shed calls beyond their capacity."""
    rng = random.Random(7)
    division = class_targets.Division()
    remote_shares = []
    for index in range(intervals):
        localities = (
            (_FIRST_LOCAL, first_local),
            (_SECOND_LOCAL, second_local),
        )
        total = sum(division.weight(p) for p, _ in localities)
        local_share = 1.0 - division.remote_share
        scores = {}
        for locality, capacity in localities:
            offered = local_share * division.weight(locality) / total
            share = 0.995 * _served_share(offered, capacity)
            calls = round(_CALLS * offered)
            good = sum(rng.random() < share for _ in range(calls))
            scores[locality] = class_targets.Score(True, 2, calls, good)
        calls = round(_CALLS * division.remote_share)
        good = sum(rng.random() < remote for _ in range(calls))
        scores[_REMOTE] = class_targets.Score(False, 4, calls, good)
        now = index * class_targets.INTERVAL_S
        division = class_targets.adjust(division, _TARGET, scores, now)
        remote_shares.append(division.remote_share)
    return division, remote_shares


def _count_reversals(remote_shares: list[float]) -> int:
    steps = [
        b - a for a, b in zip(remote_shares, remote_shares[1:], strict=False)
    ]
    signs = [step > 0 for step in steps if step]
    return sum(a != b for a, b in zip(signs, signs[1:], strict=False))


def test_no_call_leaves_the_region_while_the_target_is_met():
    _, remote_shares = _run(first_local=1.0, second_local=1.0, remote=1.0)
    assert max(remote_shares) == 0.0


def test_calls_of_an_overloaded_locality_first_move_within_the_region():
    division, remote_shares = _run(
        first_local=0.3, second_local=0.8, remote=0.99
    )
    assert division.weight(_FIRST_LOCAL) < division.weight(_SECOND_LOCAL)
    assert remote_shares[-1] <= class_targets.REMOTE_SHARE_STEP


def test_a_region_short_of_capacity_reaches_a_stable_remote_share():
    _, remote_shares = _run(first_local=0.35, second_local=0.35, remote=0.99)
    assert 0.2 <= remote_shares[-1] <= 0.45
    assert _count_reversals(remote_shares[120:]) <= 4


def test_the_mean_remote_share_stays_low_without_a_gain():
    _, remote_shares = _run(first_local=0.35, second_local=0.35, remote=0.5)
    assert sum(remote_shares) / len(remote_shares) < 0.05


def test_a_division_stays_unchanged_with_few_calls():
    division = class_targets.Division()
    scores = {_FIRST_LOCAL: class_targets.Score(True, 2, 3, 0)}
    found = class_targets.adjust(division, _TARGET, scores, 0.0)
    assert found == division
