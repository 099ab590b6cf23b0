"""Cold backend servers that would get more calls than they survive."""

import random

import pytest

from trefoilwind.routing import cold_limit

_PROCESS = ("i-1", 1)
_OVERAGE = 1.5
_SLACK = 8.0


def _most_in_a_second(times: list[float]) -> int:
    times = sorted(times)
    return max(
        (sum(t <= each < t + 1.0 for each in times) for t in times), default=0
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cold_per_s", [6.5, 13.0])
@pytest.mark.parametrize("slots", [3, 6])
def test_cold_server_gets_more_calls_than_its_bound(seed, cold_per_s, slots):
    """Becomes cold and warm at any moment; calls arrive late at random."""
    rng = random.Random(seed)
    bound = cold_limit.limit(cold_per_s, _OVERAGE, _SLACK, slots)
    limiter = cold_limit.ColdLimiter()
    now, cold_until, next_beat, sequence = 0.0, 0.0, 0.0, 0
    pending: list[float] = []
    arrived_while_cold = []
    taken = 0
    while now < 60.0:
        now += rng.expovariate(400.0)
        if now >= next_beat:
            sequence += 1
            next_beat = now + 1.5
            if now >= cold_until and rng.random() < 0.3:
                cold_until = now + rng.uniform(0.5, 6.0)
            limiter.note_heartbeat(
                _PROCESS, sequence, max(0.0, cold_until - now), now
            )
        pending = [each for each in pending if each > now]
        if len(pending) < slots and limiter.take(bound, now):
            # A call holds its slot at least until it has arrived.
            arrives = now + rng.choice([0.0, 0.001, 0.05, 0.8])
            pending.append(arrives + 0.01)
            taken += 1
            if now < cold_until:
                arrived_while_cold.append(arrives)
    assert taken > 60
    allowed = cold_per_s * _OVERAGE + _SLACK
    assert _most_in_a_second(arrived_while_cold) <= allowed


def test_cold_server_is_left_without_calls():
    for slots in (1, 3, 18, 100):
        bound = cold_limit.limit(6.5, _OVERAGE, _SLACK, slots)
        limiter = cold_limit.ColdLimiter()
        limiter.note_heartbeat(_PROCESS, 1, 20.0, 0.0)
        taken = sum(limiter.take(bound, n / 100) for n in range(1000))
        assert 60 <= taken <= 70


def test_calls_before_the_cold_spell_are_not_counted():
    bound = cold_limit.limit(6.5, _OVERAGE, _SLACK, 3)
    limiter = cold_limit.ColdLimiter()
    limiter.note_heartbeat(_PROCESS, 1, 0.0, 0.0)
    assert all(limiter.take(bound, 1.0 + n / 100) for n in range(50))
    limiter.note_heartbeat(_PROCESS, 2, 5.0, 1.5)
    assert not any(limiter.take(bound, 1.5 + n / 100) for n in range(40))
    assert any(limiter.take(bound, 2.0 + n / 100) for n in range(60))


def test_late_or_repeated_heartbeat_prolongs_the_cold_spell():
    limiter = cold_limit.ColdLimiter()
    limiter.note_heartbeat(_PROCESS, 2, 1.0, 0.0)
    limiter.note_heartbeat(_PROCESS, 1, 9.0, 0.5)
    limiter.note_heartbeat(_PROCESS, 2, 9.0, 0.5)
    assert limiter.left_s(1.0) == 0.0


def test_wait_that_is_told_is_too_short():
    bound = cold_limit.limit(6.5, _OVERAGE, _SLACK, 3)
    limiter = cold_limit.ColdLimiter()
    limiter.note_heartbeat(_PROCESS, 1, 20.0, 0.0)
    now = 5.0
    for _ in range(40):
        now += limiter.wait_s(bound, 0, now) + 1e-6
        assert limiter.take(bound, now)
