"""Tests of the division of calls by weight, at many nodes with few calls."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind.model import mesh
from trefoilwind.routing import weighted_choice


def _route(*weights: float, name: str = "r") -> mesh.HostRoute:
    return mesh.HostRoute(
        name,
        "a.example",
        "/",
        True,
        5.0,
        1.0,
        1,
        tuple(
            mesh.Destination(f"s{number}", weight)
            for number, weight in enumerate(weights)
        ),
        2,
    )


@hypothesis.given(
    weights=strategies.lists(
        strategies.floats(0.0, 100.0), min_size=1, max_size=4
    ).filter(lambda weights: sum(weights) > 1.0),
    calls=strategies.integers(1, 400),
    start=strategies.floats(0.0, 1.0, exclude_max=True),
)
def test_calls_of_one_node_follow_the_weights_from_the_first_on(
    weights: list[float], calls: int, start: float
):
    choice = weighted_choice.WeightedChoice(lambda: start)
    route = _route(*weights)
    chosen = collections.Counter(choice.choose(route, 1) for _ in range(calls))
    for number, weight in enumerate(weights):
        expected = calls * weight / sum(weights)
        assert abs(chosen[f"s{number}"] - expected) <= 4.0


@pytest.mark.parametrize("seed", range(50))
def test_shares_of_300_calls_at_many_nodes_are_within_their_bound(seed: int):
    rng = random.Random(seed)
    nodes = [weighted_choice.WeightedChoice(rng.random) for _ in range(13)]
    route = _route(75.0, 25.0)
    chosen = collections.Counter(
        rng.choice(nodes).choose(route, 1) for _ in range(300)
    )
    # Random choices deviate by more than this in one run of twenty-five.
    assert abs(chosen["s1"] / 300 - 0.25) < 0.05


def test_service_without_weight_gets_no_calls():
    choice = weighted_choice.WeightedChoice(random.Random(1).random)
    route = _route(1.0, 0.0)
    assert {choice.choose(route, 1) for _ in range(1000)} == {"s0"}


def test_positions_of_dropped_routes_are_not_kept():
    choice = weighted_choice.WeightedChoice(random.Random(1).random)
    for version in range(1, 50):
        for number in range(20):
            choice.choose(_route(1.0, 1.0, name=f"{version}/{number}"), version)
    assert len(choice._fractions) == 20


def test_new_weights_apply_to_the_next_calls():
    choice = weighted_choice.WeightedChoice(random.Random(1).random)
    for _ in range(100):
        choice.choose(_route(90.0, 10.0), 1)
    after = collections.Counter(
        choice.choose(_route(10.0, 90.0), 2) for _ in range(100)
    )
    assert 86 <= after["s1"] <= 94


@pytest.mark.parametrize("seed", range(50))
def test_shares_drift_while_the_configuration_changes_with_each_call(seed):
    rng = random.Random(seed)
    nodes = [weighted_choice.WeightedChoice(rng.random) for _ in range(13)]
    route = _route(75.0, 25.0)
    chosen = collections.Counter(
        rng.choice(nodes).choose(route, version, lambda: {route.name})
        for version in range(300)
    )
    assert abs(chosen["s1"] / 300 - 0.25) < 0.05
