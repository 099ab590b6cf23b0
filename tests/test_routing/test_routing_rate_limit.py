"""Rate limit of a backend server: token bucket and queue on a virtual clock."""

import math

import hypothesis
from hypothesis import strategies

from trefoilwind.routing import call_queue
from trefoilwind.routing import rate_limit

# The platform's rule: in no window more than this factor of what the limit
# allows, and this many calls beyond.
_WINDOW_S = 4.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_CALLS = 5
_STEP_S = 0.01

# Limits in calls per second, each with the steps for which it holds.
_limits = strategies.lists(
    strategies.tuples(
        strategies.one_of(strategies.just(0.0), strategies.floats(0.05, 300.0)),
        strategies.integers(1, 800),
    ),
    min_size=1,
    max_size=5,
)


def _ticket(number: int, now: float = 0.0, **changes) -> call_queue.Ticket:
    values = {
        "kind": "r",
        "rank": 1,
        "is_nested": False,
        "target_deadline": now + 10.0,
        "deadline": now + 20.0,
    }
    return call_queue.Ticket(number, **(values | changes))


@hypothesis.given(_limits, strategies.integers(0, 6))
def test_no_window_has_more_calls_than_the_limit_allows(limits, burst):
    bucket = rate_limit.full(limits[0][0], 0.0)
    rates: list[float] = []
    starts: list[int] = []
    for limit_per_s, steps in limits:
        for _ in range(steps):
            now = len(rates) * _STEP_S
            bucket = bucket.with_rate(limit_per_s, now)
            started = 0
            while bucket.may_start and started < burst:
                bucket = bucket.taken()
                started += 1
            rates.append(limit_per_s)
            starts.append(started)
    window = int(_WINDOW_S / _STEP_S)
    for first in range(0, len(rates), 7):
        allowed = sum(rates[first : first + window]) * _STEP_S
        sent = sum(starts[first : first + window])
        assert sent <= _ALLOWED_FACTOR * allowed + _ALLOWED_CALLS


def test_limit_is_used_up_while_more_calls_arrive():
    bucket = rate_limit.full(30.0, 0.0)
    started = 0
    for step in range(1000):
        bucket = bucket.refilled(step * _STEP_S)
        if bucket.may_start:
            bucket = bucket.taken()
            started += 1
    assert 300 <= started <= 310


def test_call_beyond_the_limit_waits_and_starts_with_its_token():
    queue = call_queue.CallQueue(10)
    queue.set_rate_limit(2.0, 0.0)
    assert isinstance(queue.submit(_ticket(1), 0.0), call_queue.Started)
    assert isinstance(queue.submit(_ticket(2), 0.0), call_queue.Queued)
    assert queue.is_rate_limited
    assert queue.advance(0.4).started == ()
    assert queue.advance(0.51).started == (_ticket(2),)


def test_important_calls_get_the_tokens_first():
    queue = call_queue.CallQueue(10)
    queue.set_rate_limit(2.0, 0.0)
    queue.submit(_ticket(1), 0.0)
    queue.submit(_ticket(2, rank=2), 0.0)
    queue.submit(_ticket(3, rank=0), 0.1)
    assert queue.advance(0.6).started == (_ticket(3, rank=0),)


def test_call_that_would_wait_too_long_for_a_token_is_refused_on_arrival():
    queue = call_queue.CallQueue(10)
    queue.set_rate_limit(2.0, 0.0)
    queue.submit(_ticket(1), 0.0)
    verdict = queue.submit(_ticket(2, target_deadline=0.4), 0.0)
    assert isinstance(verdict, call_queue.Refused)
    assert verdict.retry_s == 0.5


def test_lower_limit_refuses_waiting_calls_that_cannot_start_in_time():
    queue = call_queue.CallQueue(10)
    queue.set_rate_limit(10.0, 0.0)
    tickets = [_ticket(number, deadline=1.5) for number in range(1, 13)]
    for ticket in tickets:
        queue.submit(ticket, 0.0)
    assert queue.refuse_overdue(0.0).refused == ()
    queue.set_rate_limit(2.0, 0.0)
    refused = queue.refuse_overdue(0.0).refused
    # Half a token is left, so calls start at 0.25, 0.75 and 1.25 s.
    assert refused == tuple(tickets[-7:])


def test_calls_start_without_delay_once_the_limit_has_ended():
    queue = call_queue.CallQueue(10)
    queue.set_rate_limit(1.0, 0.0)
    tickets = [_ticket(number) for number in range(1, 6)]
    for ticket in tickets:
        queue.submit(ticket, 0.0)
    change = queue.set_rate_limit(math.inf, 0.1)
    assert change.started == tuple(tickets[1:])
    assert not queue.is_rate_limited


def test_load_is_that_of_slots_which_delay_a_call_as_long_as_the_limit():
    queue = call_queue.CallQueue(10)
    assert queue.load == 0
    queue.set_rate_limit(2.0, 0.0)
    queue.submit(_ticket(1), 0.0)
    # Calls take `INITIAL_SERVICE_S`, so 100 of them would take 0.5 s.
    assert queue.load == 9 + 0.5 * 10 / call_queue.INITIAL_SERVICE_S
    queue.set_rate_limit(math.inf, 0.1)
    assert queue.load == queue.occupied == 1


def test_limit_that_comes_and_goes_does_not_allow_a_burst_each_time():
    queue = call_queue.CallQueue(1000)
    started = 0
    for step in range(400):
        now = step * _STEP_S
        queue.set_rate_limit(math.inf, now)
        queue.set_rate_limit(40.0, now)
        verdict = queue.submit(_ticket(step, now, deadline=now), now)
        started += isinstance(verdict, call_queue.Started)
    assert started <= _ALLOWED_FACTOR * 40.0 * 4.0 + _ALLOWED_CALLS
