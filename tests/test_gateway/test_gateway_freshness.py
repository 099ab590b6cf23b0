"""Tests of the age of the knowledge that a node has the newest records."""

from trefoilwind.gateway import freshness

_TIMEOUT_S = freshness.CONFIRMATION_TIMEOUT_S


def test_read_confirms_records_up_to_its_end():
    state = freshness.Freshness(0.0)
    state.note_read(5, 5, 10.0)
    assert state.age_s(11.0) == 1.0
    assert not state.is_stale(10.0 + _TIMEOUT_S)
    assert state.is_stale(10.1 + _TIMEOUT_S)


def test_node_that_lacks_records_of_a_read_is_not_confirmed():
    state = freshness.Freshness(0.0)
    state.note_read(5, 4, 10.0)
    assert state.age_s(10.0) == 10.0
    state.note_offset(None)
    assert state.age_s(10.0) == 10.0


def test_records_that_arrive_later_confirm_the_time_of_the_read():
    state = freshness.Freshness(0.0)
    state.note_read(5, 4, 10.0)
    state.note_offset(5)
    assert state.age_s(11.0) == 1.0


def test_read_that_ended_before_a_later_one_confirms_nothing():
    state = freshness.Freshness(0.0)
    state.note_read(5, 4, 10.0)
    state.note_read(4, 4, 11.0)
    assert state.age_s(11.0) == 11.0


def test_changes_are_reported_once():
    state = freshness.Freshness(0.0)
    reports = [state.take_change(now) for now in (1.0, 3.0, 3.5)]
    state.note_read(1, 1, 3.6)
    reports += [state.take_change(now) for now in (3.7, 3.8, 9.0)]
    assert reports == [False, True, False, True, False, True]
