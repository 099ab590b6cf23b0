import socket

from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.proxy import watch as watch_lib


def test_calls_end_at_their_deadline_or_with_their_caller():
    watch = watch_lib.CallWatch()
    late, left, under_way = (calls.Cancellation() for _ in range(3))
    near, far = socket.socketpair()
    kept, other = socket.socketpair()
    with near, far, kept, other:
        watch.add(10.0, late)
        watch.add(float("inf"), left, near)
        call_id = watch.add(20.0, under_way, kept)
        watch.look(9.0)
        assert late.reason is left.reason is under_way.reason is None
        far.close()
        watch.look(10.0)
        assert late.reason is errors.Reason.DEADLINE_EXCEEDED
        assert left.reason is errors.Reason.CANCELLED
        assert under_way.reason is None
        watch.remove(call_id)
        watch.look(30.0)
        assert under_way.reason is None


def test_a_caller_that_only_sends_is_not_gone():
    watch = watch_lib.CallWatch()
    near, far = socket.socketpair()
    with near, far:
        cancellation = calls.Cancellation()
        watch.add(float("inf"), cancellation, near)
        far.sendall(b"more of the body")
        watch.look(0.0)
        assert cancellation.reason is None


def test_a_callback_added_after_the_cancellation_runs_at_once():
    cancellation = calls.Cancellation()
    cancellation.cancel(errors.Reason.CANCELLED)
    ran = []
    cancellation.add(lambda: ran.append(True))
    cancellation.cancel(errors.Reason.DRAINING)
    assert ran == [True]
    assert cancellation.reason is errors.Reason.CANCELLED
