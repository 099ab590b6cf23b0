"""Orders of waiting calls and projection of their starts."""

from trefoilwind.routing import call_queue
from trefoilwind.routing import queue_order


def _key(order, number, service_s, rank=1, target=1.0, fairness=1.0, now=0.0):
    ticket = call_queue.Ticket(number, "r", rank, False, target, 3.0)
    return order(ticket, queue_order.Work(service_s, 0.2, fairness), now)


def test_starts_do_not_ignore_how_long_the_running_calls_still_need():
    starts = queue_order.projected_starts([0.3, 0.1], [0.5, 0.1, 0.1], 0.0)
    assert starts == [0.1, 0.3, 0.4]


def test_value_does_not_put_long_work_before_short_work_of_the_same_rank():
    order = queue_order.by_value
    assert _key(order, 2, 0.16) < _key(order, 1, 0.64)


def test_value_does_not_put_a_late_call_before_one_that_can_be_in_time():
    order = queue_order.by_value
    late = _key(order, 1, 0.2, target=0.5, now=0.4)
    assert _key(order, 2, 0.2, target=1.0, now=0.4) < late


def test_weighted_slack_does_not_run_a_patient_call_before_an_urgent_one():
    order = queue_order.by_weighted_slack
    assert _key(order, 2, 0.2, target=0.3) < _key(order, 1, 0.2, target=2.0)


def test_a_starved_kind_does_not_stay_behind_all_higher_ranks():
    order = queue_order.by_rank_and_floor
    starved = _key(order, 1, 0.64, rank=2, fairness=4.0)
    assert starved < _key(order, 2, 0.16, rank=0)
    assert _key(order, 2, 0.16, rank=0) < _key(order, 1, 0.64, rank=2)
