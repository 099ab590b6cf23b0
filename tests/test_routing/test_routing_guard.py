import threading

from tests.test_routing import fake_mesh
from trefoilwind import clock
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.proxy import calls
from trefoilwind.routing import guard as guard_lib

CALL_TIMEOUT_S = 60.0


def _guard():
    settings = settings_lib.NodeSettings(
        "n0", "perth-a", "perth", settings_lib.LogSettings(url="")
    )
    environment = environment_lib.make(settings, clock.SystemClock(), seed=1)
    return guard_lib.Guard(environment), environment


def _request(environment):
    return calls.Request(
        "catalogue",
        "GET",
        "/",
        (),
        calls.Body(buffered=b""),
        0,
        fake_mesh.LOOKUPS,
        environment.clock.monotonic() + CALL_TIMEOUT_S,
    )


def _answer(length=-1):
    return calls.Answer(200, (), iter((b"x",)), lambda: None, length)


def _fill(guard, environment):
    """Fill all slots with calls; return their unread answers."""
    answers = []
    for _ in range(guard_lib.DEFAULT_SLOTS):
        request = _request(environment)
        answers.append(guard.run(request, lambda _: _answer()))
    return answers


def test_a_queued_call_that_is_cancelled_is_refused_as_not_run():
    guard, environment = _guard()
    _fill(guard, environment)
    request = _request(environment)
    request.cancellation.cancel(errors.Reason.CANCELLED)
    result = guard.run(request, lambda _: _answer())
    assert result.reason is errors.Reason.CANCELLED
    assert result.not_run


def test_a_slot_is_free_when_the_answer_was_read_or_released():
    guard, environment = _guard()
    first, second, *_ = _fill(guard, environment)
    assert b"".join(first.body) == b"x"
    first.close()
    second.close()
    second.close()
    for _ in range(2):
        result = guard.run(_request(environment), lambda _: _answer())
        assert isinstance(result, calls.Answer)


def test_a_queued_call_runs_when_a_slot_becomes_free():
    guard, environment = _guard()
    answers = _fill(guard, environment)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            guard.run(_request(environment), lambda _: _answer(1))
        )
    )
    thread.start()
    for answer in answers:
        answer.close()
    thread.join()
    assert isinstance(results[0], calls.Answer)


def test_an_exception_while_a_call_runs_frees_its_slot():
    guard, environment = _guard()

    def fail(_):
        raise ZeroDivisionError

    for _ in range(2 * guard_lib.DEFAULT_SLOTS):
        try:
            guard.run(_request(environment), fail)
        except ZeroDivisionError:
            continue
    result = guard.run(_request(environment), lambda _: _answer(1))
    assert isinstance(result, calls.Answer)
