import dataclasses

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.admin import operations
from trefoilwind.admin import record_results
from trefoilwind.admin import report
from trefoilwind.admin import views
from trefoilwind.model import moves

_URL = "http://127.0.0.1:1"
_UNREACHABLE = errors.AdminError(errors.Reason.PEER_UNREACHABLE, "t", _URL)


class _FakeClient:
    """Client that returns scripted answers in turn; repeats the last one."""

    def __init__(self, *answers, url=_URL):
        self.url = url
        self._answers = list(answers)

    def _next(self):
        if len(self._answers) > 1:
            return self._answers.pop(0)
        return self._answers[0]

    def health(self):
        return self._next()

    def moves(self):
        return self._next()

    def record(self, record_id):
        return self._next()


def _wait(seconds: float = 10.0) -> operations.Wait:
    clock = clock_lib.VirtualClock()
    return operations.Wait(clock, clock.advance, clock.monotonic() + seconds)


def _status(version: int = 1, *found: moves.MoveStatus) -> views.Status:
    return views.Status("n", "d", version, 2, False, (), (), found)


def _result(progress, **fields) -> record_results.RecordResult:
    return record_results.RecordResult("r", progress, **fields)


def _move(result: moves.Result | None = None) -> moves.MoveStatus:
    move = moves.Move("m", "s", "v2", "v1", 100.0, 0.0)
    if result is None:
        return moves.MoveStatus(move)
    return moves.MoveStatus(move, moves.Outcome("m", result, "failures", "/"))


def test_submit_repeats_after_lost_answers_but_not_after_refusals():
    answers = [_UNREACHABLE, _UNREACHABLE, None]
    assert operations.submit(lambda: answers.pop(0), lambda _: None) is None
    stale = errors.AdminError(errors.Reason.STALE_BASE, "t")
    answers = [stale, None]
    assert operations.submit(lambda: answers.pop(0), lambda _: None) == stale
    answers = [_UNREACHABLE] * operations.SUBMIT_ATTEMPTS
    assert (
        operations.submit(lambda: answers.pop(0), lambda _: None)
        == _UNREACHABLE
    )


def test_wait_for_record_survives_an_outage():
    pending = _result(record_results.Progress.PENDING)
    accepted = _result(record_results.Progress.ACCEPTED, offset=4)
    client = _FakeClient(pending, _UNREACHABLE, pending, accepted)
    assert operations.wait_for_record(client, "r", _wait()) == accepted


def test_error_without_result_names_the_record_id_to_repeat():
    client = _FakeClient(_result(record_results.Progress.PENDING))
    error = operations.wait_for_record(client, "r", _wait())
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED
    assert "--record-id r" in error.detail


def test_rejection_returns_reason_and_detail():
    rejected = _result(
        record_results.Progress.REJECTED, reason="stale-base", detail="why"
    )
    error = operations.rejection(rejected, _URL)
    assert (error.reason, error.detail) == (errors.Reason.STALE_BASE, "why")
    accepted = _result(record_results.Progress.ACCEPTED)
    assert operations.rejection(accepted, _URL) is None


def test_version_in_force_names_the_nodes_behind():
    clients = [
        _FakeClient(_status(1), _status(5)),
        _FakeClient(_status(4), url="http://127.0.0.1:2"),
        _FakeClient(_UNREACHABLE, url="http://127.0.0.1:3"),
    ]
    problems = operations.wait_until_in_force(clients, 5, _wait())
    assert [p.reason for p in problems] == [
        errors.Reason.DEADLINE_EXCEEDED,
        errors.Reason.PEER_UNREACHABLE,
    ]


def test_follow_survives_an_outage_until_the_move_ends():
    ended = _status(1, _move(moves.Result.UNDONE))
    still_open = _status(1, _move())
    client = _FakeClient(still_open, _UNREACHABLE, still_open, ended)
    shown = []
    snapshot = operations.follow(client, "m", _wait(), shown.append)
    assert [s.status.is_open for s in shown] == [True, False]
    assert report.move_line(snapshot.status) == "m s v2: undone (failures on /)"


def test_move_that_does_not_end_is_an_error():
    client = _FakeClient(_status(1, _move()))
    error = operations.follow(client, "m", _wait(), lambda _: None)
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED


def test_classes_of_several_nodes_are_summed():
    summary = views.ClassSummary("lookup", "north", 10, 1, 9, 0.95)
    status = dataclasses.replace(_status(), classes=(summary,))
    (total,) = report.total_classes((status, status))
    assert (total.calls, total.in_time) == (20, 18)
    assert "off target, 90.00% of 20 calls" in report.class_line(total)
    quiet = dataclasses.replace(summary, calls=0, failed=0, in_time=0)
    assert "no calls" in report.class_line(quiet)


def test_nodes_behind_are_named():
    behind = dataclasses.replace(_status(1), node_id="b")
    line = report.coverage_line((_status(2), behind))
    assert line == "version 2 is in force on 1 of 2 nodes queried; behind: b"
