"""Servers that look slow or fast because of the kinds of calls they ran."""

from trefoilwind.routing import kind_times
from trefoilwind.routing import service_time


def test_server_that_ran_long_calls_looks_slow():
    typical = kind_times.TypicalTimes()
    slow = fast = service_time.ReportedTime()
    for _ in range(30):
        for kind, work_s in (("short", 0.04), ("long", 0.64)):
            typical.record(kind, work_s / 0.5)
            typical.record(kind, work_s / 1.5)
        # The fast server runs long calls only, the slow one short ones.
        long_s = typical.seconds("long", 1.0)
        fast = kind_times.slowness(fast, 0.64 / 1.5, long_s, 1.0)
        short_s = typical.seconds("short", 1.0)
        slow = kind_times.slowness(slow, 0.04 / 0.5, short_s, 1.0)
    assert fast.estimate_s(1.0, 1.0) < 0.8 < 1.3 < slow.estimate_s(1.0, 1.0)


def test_slowness_of_long_ago_keeps_calls_away():
    slow = kind_times.slowness(service_time.ReportedTime(), 1.0, 0.1, 0.0)
    assert slow.estimate_s(1.0, 0.0) == 10.0
    assert slow.estimate_s(1.0, 60.0) < 1.2


def test_state_grows_with_each_name_of_a_kind():
    measured = kind_times.MeasuredTimes()
    typical = kind_times.TypicalTimes()
    for number in range(2 * kind_times.MAX_KINDS):
        measured.record(f"k{number}", 0.1)
        typical.record(f"k{number}", 0.1)
    assert measured.mean_s("k0") < 0 < measured.mean_s(f"k{number}")
    assert typical.seconds("k0", 9.0) == 9.0
    assert typical.seconds(f"k{number}", 9.0) == 0.1
