"""Lines of decisions: rate-limited, and never delayed by their reader."""

import io
import json
import logging
import os
import sys
import threading

import pytest

from trefoilwind.logs import decisions
from trefoilwind.logs import json_lines
from trefoilwind.logs import limits

_LOG = logging.getLogger("trefoilwind.test")


@pytest.fixture
def restore_logging():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_line_contains_the_fields_of_the_decision(restore_logging):
    stream = io.StringIO()
    writer = decisions.Writer("n1", stream)
    writer.start()
    decisions.failure(_LOG, "one", "entry: call failed", id=b"9c", status=503)
    writer.stop()
    line = json.loads(stream.getvalue())
    assert line["node"] == "n1"
    assert line["part"] == "entry"
    assert line["message"] == "call failed"
    assert (line["kind"], line["id"], line["status"]) == ("one", "9c", 503)


def test_stalled_reader_does_not_delay_logging_or_stop(restore_logging):
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w", buffering=1)
    writer = decisions.Writer("n1", stream)
    writer.start()
    count = 3 * decisions.MAX_QUEUED_LINES
    for _ in range(count):
        _LOG.info("entry: %s", "x" * 200)
    assert writer.dropped > 0
    # A stop must not wait for the reader either.
    writer.stop()

    def drain() -> None:
        while os.read(read_end, 65536):
            continue

    thread = threading.Thread(target=drain, daemon=True)
    thread.start()


@pytest.mark.parametrize("load", [100, 200, 5000])
def test_lines_of_a_kind_are_bounded_at_any_load(load: int):
    kinds = limits.KindLimits(20.0, 40.0)
    seconds = 30
    written = sum(
        kinds.allows("call_failed", step / load)
        for step in range(seconds * load)
    )
    assert written <= 20 * seconds + 40
    suppressed = kinds.drain_suppressed()
    assert suppressed == {"call_failed": seconds * load - written}
    assert kinds.drain_suppressed() == {}


def test_kinds_have_separate_limits():
    kinds = limits.KindLimits(1.0, 2.0)
    while kinds.allows("call", 0.0):
        pass
    assert kinds.allows("call_failed", 0.0)


def test_line_contains_the_exception():
    formatter = json_lines.JsonFormatter()
    try:
        raise ValueError("odd")
    except ValueError:
        record = _LOG.makeRecord(
            _LOG.name, 40, "", 0, "entry: failed", (), _exc_info()
        )
    assert (
        "ValueError: odd" in json.loads(formatter.format(record))["exception"]
    )


def _exc_info():

    return sys.exc_info()
