"""Service times, as target nodes measure and entry nodes estimate them."""

import random

import pytest

from trefoilwind.routing import service_time


def test_mean_follows_a_change_of_speed():
    rng = random.Random(3)
    mean = service_time.MeanTime()
    assert mean.seconds < 0
    for _ in range(300):
        mean = mean.with_sample(rng.lognormvariate(-2.0, 0.5))
    before = mean.seconds
    for _ in range(300):
        mean = mean.with_sample(2 * rng.lognormvariate(-2.0, 0.5))
    assert mean.seconds == pytest.approx(2 * before, rel=0.3)


def test_first_samples_have_equal_weight():
    mean = service_time.MeanTime()
    for sample in (0.1, 0.3, 0.2):
        mean = mean.with_sample(sample)
    assert mean.seconds == pytest.approx(0.2)


def test_reported_time_decays_to_the_baseline():
    reported = service_time.ReportedTime(1.0, 5.0)
    assert reported.estimate_s(0.2, 5.0) == pytest.approx(1.0)
    later = 5.0 + service_time.HALF_LIFE_S
    assert reported.estimate_s(0.2, later) == pytest.approx(0.6)
    assert service_time.ReportedTime().estimate_s(0.2, 9.0) == 0.2


def test_longest_time_is_forgotten_after_two_spans():
    span = service_time.LONGEST_LIFETIME_S
    longest = service_time.LongestTime().with_sample(2.0, 100.0)
    longest = longest.with_sample(0.5, 101.0)
    assert longest.seconds == 2.0
    longest = longest.with_sample(0.5, 100.0 + span + 1.0)
    assert longest.seconds == 2.0
    longest = longest.with_sample(0.7, 100.0 + span + 2.0)
    assert longest.seconds == 2.0
    longest = longest.with_sample(0.5, 100.0 + 2 * span + 2.0)
    assert longest.seconds == 0.7
