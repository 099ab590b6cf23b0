import random

import pytest

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.log import appender as appender_lib
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.standins import log_service

WAIT_S = 10.0


@pytest.fixture
def log():
    return log_service.MemoryLog()


@pytest.fixture
def clock():
    return clock_lib.VirtualClock()


@pytest.fixture
def appender(log, clock):
    return appender_lib.Appender(log, clock, random.Random(1))


def payload(record_id: str) -> bytes:
    outcome = moves.Outcome("move", moves.Result.DONE, "test")
    return records.encode(record_id, "node", outcome)


def test_unknown_append_result_is_resolved_by_reading(log, clock, appender):
    appender.add("a", payload("a"))
    log.faults.lose_append_answers = True
    problem = appender.run(end_offset=0)
    assert problem.reason is errors.Reason.LOG_UNKNOWN_RESULT
    clock.advance(WAIT_S)
    assert appender.run(end_offset=0) is None
    assert (log.appends, appender.pending) == (1, 0)


def test_record_missing_from_the_log_is_appended_again(log, clock, appender):
    log.append(payload("other"))
    appender.add("a", payload("a"))
    log.faults.is_down = True
    assert appender.run(0).reason is errors.Reason.LOG_UNAVAILABLE
    log.faults.is_down = False
    clock.advance(WAIT_S)
    assert appender.run(0) is None
    assert log.read(1, 1).entries[0].payload == payload("a")


def test_record_with_expired_search_offset_is_not_appended_again(
    log, clock, appender
):
    appender.add("a", payload("a"))
    log.faults.lose_append_answers = True
    appender.run(0)
    log.expire_before(1)
    clock.advance(WAIT_S)
    assert appender.run(0) is None
    assert (log.appends, appender.pending) == (1, 0)


def test_record_past_its_deadline_is_dropped(log, clock, appender):
    appender.add("a", payload("a"), deadline=clock.monotonic())
    assert appender.run(0) is None
    assert (log.appends, appender.pending) == (0, 0)
