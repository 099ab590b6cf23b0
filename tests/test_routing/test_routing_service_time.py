"""Times of calls, as target nodes measure and entry nodes believe them."""

import random

import pytest

from trefoilwind.routing import service_time


def test_mean_follows_a_change_of_speed():
    rng = random.Random(3)
    mean = service_time.MeanTime()
    assert mean.seconds < 0
    for _ in range(300):
        mean = mean.after(rng.lognormvariate(-2.0, 0.5))
    before = mean.seconds
    for _ in range(300):
        mean = mean.after(2 * rng.lognormvariate(-2.0, 0.5))
    assert mean.seconds == pytest.approx(2 * before, rel=0.3)


def test_first_samples_count_alike():
    mean = service_time.MeanTime()
    for sample in (0.1, 0.3, 0.2):
        mean = mean.after(sample)
    assert mean.seconds == pytest.approx(0.2)


def test_what_was_told_fades_to_the_usual_time():
    told = service_time.ToldTime(1.0, 5.0)
    assert told.now(0.2, 5.0) == pytest.approx(1.0)
    later = 5.0 + service_time.HALF_LIFE_S
    assert told.now(0.2, later) == pytest.approx(0.6)
    assert service_time.ToldTime().now(0.2, 9.0) == 0.2
