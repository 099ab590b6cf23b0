"""The division of a class comes to rest and crosses only for a gain."""

import random

from trefoilwind.model import configuration as configuration_lib
from trefoilwind.rollout import class_targets

_TARGET = configuration_lib.ClassTarget("lookup", True, 0.2, 0.95)
_NEAR = class_targets.Place("north", "perth-a")
_OTHER = class_targets.Place("south", "perth-b")
_FAR = class_targets.Place("south", "pilbara-a")
_CALLS = 400


def _share_kept(offered: float, capacity: float) -> float:
    return min(1.0, capacity / offered) if offered else 1.0


def _run(near: float, other: float, far: float, intervals: int = 360):
    """Run against places that shed what exceeds their capacity."""
    rng = random.Random(7)
    division = class_targets.Division()
    crossings = []
    for index in range(intervals):
        places = ((_NEAR, near), (_OTHER, other))
        total = sum(division.weight(p) for p, _ in places)
        kept = 1.0 - division.crossing
        scores = {}
        for place, capacity in places:
            offered = kept * division.weight(place) / total
            share = 0.995 * _share_kept(offered, capacity)
            calls = round(_CALLS * offered)
            good = sum(rng.random() < share for _ in range(calls))
            scores[place] = class_targets.Score(True, 2, calls, good)
        calls = round(_CALLS * division.crossing)
        good = sum(rng.random() < far for _ in range(calls))
        scores[_FAR] = class_targets.Score(False, 4, calls, good)
        now = index * class_targets.INTERVAL_S
        division = class_targets.adjust(division, _TARGET, scores, now)
        crossings.append(division.crossing)
    return division, crossings


def _turns(crossings: list[float]) -> int:
    steps = [b - a for a, b in zip(crossings, crossings[1:], strict=False)]
    signs = [step > 0 for step in steps if step]
    return sum(a != b for a, b in zip(signs, signs[1:], strict=False))


def test_nothing_crosses_while_the_target_is_met():
    _, crossings = _run(near=1.0, other=1.0, far=1.0)
    assert max(crossings) == 0.0


def test_a_weak_place_gives_to_its_neighbour_first():
    division, crossings = _run(near=0.3, other=0.8, far=0.99)
    assert division.weight(_NEAR) < division.weight(_OTHER)
    assert crossings[-1] <= class_targets.CROSSING_STEP


def test_a_region_short_of_capacity_sends_the_rest_across_and_rests():
    _, crossings = _run(near=0.35, other=0.35, far=0.99)
    assert 0.2 <= crossings[-1] <= 0.45
    assert _turns(crossings[120:]) <= 4


def test_nothing_stays_across_without_a_gain():
    _, crossings = _run(near=0.35, other=0.35, far=0.5)
    assert sum(crossings) / len(crossings) < 0.05


def test_few_calls_change_nothing():
    division = class_targets.Division()
    scores = {_NEAR: class_targets.Score(True, 2, 3, 0)}
    found = class_targets.adjust(division, _TARGET, scores, 0.0)
    assert found == division
