"""Choice of the backend server by load and distance."""

import collections
import dataclasses
import random

from trefoilwind.routing import placement

_LOCAL = placement.Candidate(
    "near", placement.Distance.DATA_CENTRE, 18, 0.0, 0.1
)
_REGION = dataclasses.replace(
    _LOCAL, node_id="region", distance=placement.Distance.REGION
)
_REMOTE = dataclasses.replace(
    _LOCAL, node_id="far", distance=placement.Distance.OTHER_REGION
)


def test_no_candidates_give_no_choice():
    assert placement.choose(()) is None


def test_equal_load_stays_local():
    assert placement.choose((_REMOTE, _REGION, _LOCAL)) is _LOCAL


def test_full_data_centre_overflows_to_its_region_then_to_another():
    full = dataclasses.replace(_LOCAL, occupied=20.0)
    assert placement.choose((full, _REGION, _REMOTE)) is _REGION
    overfull = dataclasses.replace(_REGION, occupied=40.0)
    fuller = dataclasses.replace(_LOCAL, occupied=40.0)
    assert placement.choose((fuller, overfull, _REMOTE)) is _REMOTE


def test_large_body_stays_local_where_a_small_one_does_not():
    busy = dataclasses.replace(_LOCAL, occupied=14.0)
    assert placement.choose((busy, _REGION), 500) is _REGION
    assert placement.choose((busy, _REGION), 60_000) is busy


def test_slow_backend_server_is_chosen_less():
    slow = dataclasses.replace(_LOCAL, node_id="slow", service_s=0.2)
    assert placement.choose((slow, _LOCAL)) is _LOCAL
    busy = dataclasses.replace(_LOCAL, occupied=60.0)
    assert placement.choose((slow, busy)) is slow


def test_refused_call_crosses_regions_only_for_a_free_slot():
    full = dataclasses.replace(_REMOTE, occupied=18.0)
    assert placement.choose_after_refusal((full,)) is None
    free = dataclasses.replace(full, occupied=17.0)
    assert placement.choose_after_refusal((full, free)) is free


def test_refused_call_tries_full_servers_of_its_region():
    full = dataclasses.replace(_LOCAL, occupied=30.0)
    further = dataclasses.replace(_REGION, occupied=30.0)
    remote = dataclasses.replace(_REMOTE, occupied=30.0)
    assert placement.choose_after_refusal((remote, further, full)) is full
    assert placement.choose_after_refusal((remote, further)) is further


def test_failing_backend_server_gets_calls_only_when_the_others_are_full():
    failing = dataclasses.replace(_LOCAL, node_id="failing", failure_share=1.0)
    busy = dataclasses.replace(_LOCAL, occupied=30.0)
    assert placement.choose((failing, busy)) is busy
    overfull = dataclasses.replace(_LOCAL, occupied=300.0)
    assert placement.choose((failing, overfull)) is failing


def test_failures_usual_in_overload_add_no_cost():
    failing = dataclasses.replace(_LOCAL, node_id="some", failure_share=0.4)
    assert placement.cost_s(failing, 0) == placement.cost_s(_LOCAL, 0)


def test_sample_yields_eligible_members_once_each():
    rng = random.Random(1)
    chosen = list(placement.sample(range(9), lambda n: n % 3 == 0, rng.random))
    assert len(chosen) == placement.SAMPLE_SIZE
    assert set(chosen) < {0, 3, 6}
    assert list(placement.sample((4,), lambda n: True, rng.random)) == [4]
    assert not list(placement.sample(range(9), lambda n: False, rng.random))


def test_samples_are_uniform():
    rng = random.Random(2)
    counts = collections.Counter(
        member
        for _ in range(9000)
        for member in placement.sample("abcdef", lambda n: True, rng.random)
    )
    assert all(2700 < counts[member] < 3300 for member in "abcdef")


def test_server_that_fails_a_third_is_used_while_others_have_room():
    failing = dataclasses.replace(_LOCAL, node_id="f", failure_share=0.33)
    busy = dataclasses.replace(_LOCAL, occupied=10.0)
    assert placement.choose((failing, busy)) is busy
    # In overload, or with room further away only, it is as good as before.
    full = dataclasses.replace(_LOCAL, occupied=30.0)
    assert placement.choose((failing, full)) is failing
    assert placement.choose((failing, _REMOTE)) is failing
