"""Paths that are longer than the placement's constants, or as long."""

import dataclasses

import pytest

from trefoilwind.routing import path_latency
from trefoilwind.routing import placement

_REGION = placement.Distance.REGION
_OTHER = placement.Distance.OTHER_REGION


def _trips(*samples_s: float) -> float:
    trips = path_latency.RoundTrips()
    for sample_s in samples_s:
        trips = trips.with_sample(sample_s)
    return trips.seconds


def test_one_late_or_crossed_answer_decides_the_round_trip():
    assert _trips(0.2) < 0
    assert _trips(0.0, 0.012, 0.2, 0.011) == 0.011
    assert _trips(*[0.5] * 20, *[0.011] * 8) == 0.011


@pytest.mark.parametrize("one_way_s", [0.0, 0.0005, 0.0009, 0.0014])
def test_earlier_deployments_are_placed_anew(one_way_s: float):
    assert path_latency.excess_s(_REGION, 2 * one_way_s) == 0.0
    assert path_latency.excess_s(_OTHER, 0.06 + 2 * one_way_s) == 0.0
    assert path_latency.excess_s(_REGION, -1.0) == 0.0


def test_distant_data_centre_costs_as_little_as_a_near_one():
    near = placement.Candidate("near", _REGION, 3, 0.0, 0.1)
    extra_s = path_latency.excess_s(_REGION, 2 * 0.0054)
    far = dataclasses.replace(near, extra_path_s=extra_s)
    added_s = placement.cost_s(far, 0) - placement.cost_s(near, 0)
    assert 0.008 <= added_s <= 0.011


def test_short_path_makes_another_region_cheaper():
    assert path_latency.excess_s(_OTHER, 0.002) == 0.0
