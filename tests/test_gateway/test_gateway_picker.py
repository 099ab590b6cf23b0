"""Tests of the selection of backend servers."""

import dataclasses

from tests.test_gateway import test_gateway_entry
from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.membership import directory
from trefoilwind.routing import regions

_OK = http_types.HttpAnswer(200, ())
_FAILED = http_types.HttpAnswer(500, ())
_FULL = errors.CallError(errors.Reason.OVERLOADED, "target.admit", not_run=True)
_SHED = errors.CallError(
    errors.Reason.OVERLOADED, "backend.call", not_run=True, has_arrived=True
)
_DRAINING = errors.CallError(
    errors.Reason.DRAINING, "target.admit", not_run=True
)
_CALL = calls.Call("GET", "/", (), b"", "s", "", "r", 1, False, 1e9, 1e9, 0.0)


def _picker(far: tuple[int, ...] = ()) -> picker_lib.Picker:
    board = board_lib.MeshBoard()
    nodes = [test_gateway_entry.make_member(n) for n in (1, 2, 3)]
    for number in far:
        node = nodes[number - 1]
        nodes[number - 1] = dataclasses.replace(
            node, data_centre="e", region="q"
        )
    board.members.claim("test")(directory.snapshot(nodes))
    # All slots of the own node are occupied.
    return picker_lib.Picker(
        nodes[0], board, lambda node: True, lambda: 100, lambda: 0.5
    )


def _attempt(
    picker: picker_lib.Picker,
    node: str,
    outcome: calls.Outcome,
    now: float,
) -> None:
    picker.started(node)
    picker.ended(node, outcome, now)


def test_slow_or_full_backend_servers_are_avoided():
    picker = _picker()
    for _ in range(20):
        _attempt(picker, "n2", calls.Outcome(_OK, 0.3, 0, 0.0, 0.3), 1.0)
        _attempt(picker, "n3", calls.Outcome(_OK, 0.09, 0, 0.0, 0.09), 1.0)
    assert picker.pick(_CALL, (), 1.1) == "n3"
    _attempt(picker, "n3", calls.Outcome(_OK, 0.09, 60, 0.0, 0.09), 1.1)
    assert picker.pick(_CALL, (), 1.2) == "n2"


def test_node_that_refuses_without_load_is_paused():
    picker = _picker()
    _attempt(picker, "n2", calls.Outcome(_DRAINING), 1.0)
    assert picker.pick(_CALL, ("n3", "n1"), 1.1) == ""
    later = 1.0 + 2 * picker_lib.REFUSAL_PAUSE_S
    assert picker.pick(_CALL, ("n3", "n1"), later) == "n2"


def test_call_refused_for_load_is_not_sent_to_a_full_server_in_another_region():
    picker = _picker(far=(3,))
    _attempt(picker, "n3", calls.Outcome(_OK, 0.05, 4), 1.0)
    assert picker.pick(_CALL, ("n1", "n2"), 1.1, was_refused=True) == ""
    assert picker.pick(_CALL, ("n1", "n2"), 1.1) == "n3"
    _attempt(picker, "n3", calls.Outcome(_OK, 0.05, 2), 1.2)
    assert picker.pick(_CALL, ("n1", "n2"), 1.3, was_refused=True) == "n3"


def test_fast_failing_backend_server_is_avoided_until_its_failures_decay():
    picker = _picker()
    for _ in range(20):
        _attempt(picker, "n2", calls.Outcome(_FAILED, 0.01, 0), 1.0)
        _attempt(picker, "n3", calls.Outcome(_OK, 0.09, 0), 1.0)
    picker.started("n3")
    assert picker.pick(_CALL, (), 1.1) == "n3"
    assert picker.pick(_CALL, (), 30.0) == "n2"


def test_failure_share_reported_by_the_target_node_is_used():
    picker = _picker()
    _attempt(picker, "n2", calls.Outcome(_OK, 0.01, 0, 0.8), 1.0)
    _attempt(picker, "n3", calls.Outcome(_OK, 0.09, 0), 1.0)
    assert picker.pick(_CALL, (), 1.1) == "n3"


def test_refusals_by_a_node_do_not_count_as_backend_server_failures():
    picker = _picker()
    for _ in range(20):
        _attempt(picker, "n2", calls.Outcome(_FULL, -1.0, 4), 1.0)
    later = 1.0 + 2 * picker_lib.LOAD_LIFETIME_S
    assert picker.pick(_CALL, ("n1", "n3"), later) == "n2"
    shed = calls.Outcome(_SHED, -1.0, 0)
    for _ in range(20):
        _attempt(picker, "n2", shed, later)
        _attempt(picker, "n3", calls.Outcome(_OK, 0.09, 0), later)
    assert picker.pick(_CALL, (), later + 0.1) == "n3"


def test_version_whose_servers_are_all_evacuated_gets_no_calls():
    board = board_lib.MeshBoard()
    old = test_gateway_entry.make_member(1)
    new = dataclasses.replace(
        test_gateway_entry.make_member(2), version="v2", data_centre="e"
    )
    board.members.claim("test")(directory.snapshot([old, new]))
    plan = board_lib.VersionPlan("v1", "v2", 1.0)
    board.versions.claim("test")(board_lib.VersionTable({"s": plan}))
    publish = board.evacuations.claim("test")
    picker = picker_lib.Picker(old, board, lambda node: True, int, lambda: 0.5)
    assert picker.choose_version("s") == "v2"
    publish(regions.Evacuations(frozenset({"e"})))
    assert picker.choose_version("s") == "v1"
    publish(regions.Evacuations(frozenset({"d"})))
    assert picker.choose_version("s") == "v2"
    # The stable version is in the evacuated data centre.
    picker = picker_lib.Picker(old, board, lambda node: True, int, lambda: 1.0)
    assert picker.choose_version("s") == "v2"


def test_only_server_of_a_returning_data_centre_is_found():
    picker = _picker(far=(2, 3))
    evacuations = regions.Evacuations(returned_at={"e": 1.0})
    picker._board.evacuations.claim("test")(evacuations)
    assert picker.pick(_CALL, (), 1.1) == "n1"
    assert picker.pick(_CALL, ("n1",), 1.1) in ("n2", "n3")


def test_large_answers_of_a_route_cross_regions():
    picker = _picker(far=(3,))
    large = http_types.HttpAnswer(200, (), bytes(100_000))
    for _ in range(3):
        picker.started("n2")
        picker.ended("n2", calls.Outcome(large, 0.1, 8, 0.0, 0.1), 1.0, "r")
    assert picker.pick(_CALL, ("n1",), 1.1) == "n2"
    other = dataclasses.replace(_CALL, route_name="other")
    assert picker.pick(other, ("n1",), 1.1) == "n3"


def test_entry_node_does_not_choose_what_the_target_node_would_refuse():
    picker = _picker(far=(2, 3))
    publish = picker._board.evacuations.claim("test")
    near = dataclasses.replace(_CALL, allowed_regions=frozenset({"r"}))
    far = dataclasses.replace(_CALL, allowed_regions=frozenset({"q"}))
    assert picker.pick(near, (), 1.0) == "n1"
    assert picker.pick(near, ("n1",), 1.0) == ""
    assert picker.pick(far, (), 1.0) in ("n2", "n3")
    publish(regions.Evacuations(frozenset({"e"})))
    assert picker.pick(far, (), 1.0) == ""
    assert picker.pick(_CALL, ("n1",), 1.0) == ""
