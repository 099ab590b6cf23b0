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
