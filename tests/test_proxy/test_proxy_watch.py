import socket

from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.proxy import watch as watch_lib


def test_calls_are_cancelled_at_their_deadline_or_when_the_caller_disconnects():
    watch = watch_lib.CallWatch()
    expired, disconnected, in_flight = (calls.Cancellation() for _ in range(3))
    near, far = socket.socketpair()
    open_end, open_peer = socket.socketpair()
    with near, far, open_end, open_peer:
        watch.add(10.0, expired)
        watch.add(float("inf"), disconnected, near)
        call_id = watch.add(20.0, in_flight, open_end)
        watch.check(9.0)
        assert expired.reason is disconnected.reason is in_flight.reason is None
        far.close()
        watch.check(10.0)
        assert expired.reason is errors.Reason.DEADLINE_EXCEEDED
        assert disconnected.reason is errors.Reason.CANCELLED
        assert in_flight.reason is None
        watch.remove(call_id)
        watch.check(30.0)
        assert in_flight.reason is None


def test_a_call_whose_caller_is_still_sending_is_not_cancelled():
    watch = watch_lib.CallWatch()
    near, far = socket.socketpair()
    with near, far:
        cancellation = calls.Cancellation()
        watch.add(float("inf"), cancellation, near)
        far.sendall(b"more of the body")
        watch.check(0.0)
        assert cancellation.reason is None


def test_a_callback_added_after_the_cancellation_runs_at_once():
    cancellation = calls.Cancellation()
    cancellation.cancel(errors.Reason.CANCELLED)
    ran = []
    cancellation.add(lambda: ran.append(True))
    cancellation.cancel(errors.Reason.DRAINING)
    assert ran == [True]
    assert cancellation.reason is errors.Reason.CANCELLED
