"""Failure share of a backend server, updated by results and decayed by time."""

import pytest

from trefoilwind.routing import failures


def test_failures_raise_the_share_and_answers_lower_it():
    share = failures.FailureShare()
    for _ in range(30):
        share = share.with_result(True, 1.0)
    assert share.current(1.0) > 0.9
    for _ in range(30):
        share = share.with_result(False, 1.0)
    assert share.current(1.0) < 0.1


def test_share_decays_so_that_the_server_is_tried_again():
    share = failures.FailureShare(0.8, 5.0)
    later = 5.0 + failures.HALF_LIFE_S
    assert share.current(later) == pytest.approx(0.4)
    assert failures.FailureShare().current(9.0) == 0.0
