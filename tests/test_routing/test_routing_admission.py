import pytest

from benchmarks import overload_model
from trefoilwind.routing import admission
from trefoilwind.routing import limits

LATENCY_S = 0.01


def _ticket(importance=1, deadline=10.0, decided=None):
    decided = [] if decided is None else decided
    return admission.Ticket("lookup", importance, deadline, decided.append)


def _full(slots=1):
    state = admission.Admission(slots)
    running = [_ticket() for _ in range(slots)]
    for ticket in running:
        assert state.submit(ticket, 0.0) is admission.Verdict.ADMITTED
    return state, running


def test_the_more_important_call_evicts_the_least_important_one():
    state, running = _full()
    decided = []
    state.submit(_ticket(1, decided=decided), 0.0)
    important = []
    verdict = state.submit(_ticket(2, decided=important), 0.0)
    assert verdict is admission.Verdict.QUEUED
    assert decided == [admission.Verdict.SHED]
    assert state.submit(_ticket(1), 0.0) is admission.Verdict.SHED
    state.ended(running[0], LATENCY_S, False, 0.1)
    assert important == [admission.Verdict.ADMITTED]


def test_a_queued_call_expires_at_its_deadline():
    state, running = _full()
    decided = []
    state.submit(_ticket(deadline=0.1, decided=decided), 0.0)
    state.ended(running[0], LATENCY_S, False, 0.2)
    assert decided == [admission.Verdict.EXPIRED]
    assert (state.in_flight, state.queued) == (0, 0)


def test_a_call_past_its_deadline_is_not_admitted():
    verdict = admission.Admission(1).submit(_ticket(deadline=1.0), 1.0)
    assert verdict is admission.Verdict.EXPIRED


def test_a_withdrawn_ticket_is_not_admitted_later():
    state, running = _full()
    decided = []
    ticket = _ticket(decided=decided)
    state.submit(ticket, 0.0)
    assert state.withdraw(ticket)
    assert not state.withdraw(ticket)
    state.ended(running[0], LATENCY_S, False, 0.1)
    assert decided == []


def test_the_limit_decreases_when_calls_slow_down_and_recovers():
    limit = limits.AdaptiveLimit(20)
    now = 0.0
    for _ in range(20):
        now += 0.1
        limit.ended("lookup", LATENCY_S, False, 20, now)
    assert limit.limit == 20
    for _ in range(100):
        now += 0.1
        limit.ended("lookup", 10 * LATENCY_S, False, 20, now)
    low = limit.limit
    assert 1 <= low < 10
    for _ in range(1000):
        now += 0.1
        limit.ended("lookup", LATENCY_S, False, 20, now)
    assert low < limit.limit <= 20


def test_the_limit_stays_between_one_and_the_slots():
    limit = limits.AdaptiveLimit(4)
    for step in range(100):
        limit.ended("lookup", 0.0, True, 4, float(step))
    assert limit.limit == 1
    for step in range(100, 300):
        limit.ended("lookup", LATENCY_S, False, 4, float(step))
    assert limit.limit == 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_goodput_holds_at_twice_the_capacity(seed):
    seconds = 5.0
    counts = overload_model.Model(seed, has_limits=True).run(2.0, seconds)
    capacity = overload_model.CAPACITY_PER_S * seconds
    assert counts.goodput > 0.8 * capacity
    bulk, lookup, order = (counts.share(c.name) for c in overload_model.CLASSES)
    assert bulk < lookup < order
    assert order > 0.95


def test_without_limits_goodput_collapses():
    counts = overload_model.Model(1, has_limits=False).run(2.0, 5.0)
    assert counts.goodput < 0.2 * overload_model.CAPACITY_PER_S * 5.0


def test_a_server_with_a_tenth_of_the_speed_gets_a_small_share():
    model = overload_model.Model(1, True, speeds=(1.0, 1.0, 0.1))
    counts = model.run(0.4, 10.0)
    slow = counts.by_server["server-2"]
    assert slow < sum(counts.by_server.values()) / 3 / 4
    assert sum(counts.good.values()) > 0.9 * sum(counts.offered.values())
