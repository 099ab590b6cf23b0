import json
import random
import re

import hypothesis
from hypothesis import strategies

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.admin import timeline

_MAX_CLOCK_OFFSET_S = 600.0
_START_WALL_S = 1.7e9


class _JumpingClock:
    """Clock whose time a test sets."""

    def __init__(self, now: float):
        self.now = now

    def wall(self) -> float:
        return self.now

    def monotonic(self) -> float:
        return self.now


@strategies.composite
def _runs(draw):
    """Draw clock offsets of processes in seconds, and their steps."""
    processes = draw(strategies.integers(2, 5))
    offsets = draw(
        strategies.lists(
            strategies.floats(-_MAX_CLOCK_OFFSET_S, _MAX_CLOCK_OFFSET_S),
            min_size=processes,
            max_size=processes,
        )
    )
    steps = draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["emit", "send", "receive", "jump"]),
                strategies.integers(0, processes - 1),
                strategies.integers(0, 7),
            ),
            max_size=60,
        )
    )
    return offsets, steps


@hypothesis.given(_runs())
def test_no_event_sorts_before_its_cause(run):
    offsets, steps = run
    clocks = [_JumpingClock(_START_WALL_S + offset) for offset in offsets]
    logs = [events.EventLog(f"p{i}", c) for i, c in enumerate(clocks)]
    past = [set() for _ in logs]
    in_flight = []
    causes = {}

    def emit(index):
        event = logs[index].emit(events.MOVE_STAGE)
        causes[event.process, event.sequence] = frozenset(past[index])
        past[index].add((event.process, event.sequence))

    for action, index, number in steps:
        clocks[index].now += number / 1000
        if action == "jump":
            clocks[index].now -= 60.0 * number
        elif action == "send":
            stamp = logs[index].hybrid_clock.now()
            in_flight.append((stamp, frozenset(past[index])))
        elif action == "receive" and in_flight:
            stamp, history = in_flight.pop(number % len(in_flight))
            logs[index].hybrid_clock.merge(stamp)
            past[index] |= history
        emit(index)

    order = [list(log.since(0)) for log in logs]
    random.Random(1).shuffle(order)
    merged = timeline.merge(order)
    position = {(e.process, e.sequence): i for i, e in enumerate(merged)}
    assert len(position) == len(steps)
    for effect, earlier in causes.items():
        for cause in earlier:
            assert position[cause] < position[effect]


def test_implausible_stamps_do_not_move_the_clock():
    log = events.EventLog("p", clock_lib.VirtualClock())
    for wall_ms in (2**62, 10**15):
        log.hybrid_clock.merge(events.Stamp(wall_ms, 0))
    assert log.emit(events.NODE_STARTED).stamp.wall_ms == 1_000_000_000


def _event(**fields) -> events.Event:
    defaults = {"stamp": events.Stamp(1, 0), "process": "p", "sequence": 0}
    return events.Event(**{**defaults, "name": "move.done", **fields})


def test_json_lines_round_trip():
    event = _event(subject="m", detail='a"\n</script>', peer="\u2028é")
    data = (timeline.json_line(event) + "\n\n").encode()
    assert timeline.parse_lines(data, "f") == (event,)


def test_wrong_line_is_named():
    good = timeline.json_line(_event())
    for text in ("nothing", "0", "[]", "{}", "null", '"a"'):
        error = timeline.parse_lines(f"{good}\n{text}\n".encode(), "f")
        assert isinstance(error, errors.SettingsError)
        assert error.line == 2


def test_any_stamp_can_be_formatted():
    for wall_ms in (0, -1, 10**18, -(10**18)):
        assert timeline.line(_event(stamp=events.Stamp(wall_ms, 0)))


def test_page_is_self_contained_and_escapes_names():
    name = "</script><img src=x onerror=alert(1)>"
    text = timeline.page([_event(process=name)], "<title>")
    assert name not in text
    data = re.search(r'id="data">(.*?)</script>', text, re.DOTALL)[1]
    assert json.loads(data)[0]["process"] == name
    rest = text.replace(data, "")
    assert not re.search(r"(src|href)=|https?://|@import|url\(", rest)
    assert "&lt;title&gt;" in text


def test_page_shows_template_placeholders_in_events_as_text():
    text = timeline.page([_event(detail="@DATA@ @TITLE@")], "t")
    assert '"detail": "@DATA@ @TITLE@"' in text


def test_frequent_events_do_not_evict_others():
    clock = clock_lib.VirtualClock()
    log = events.EventLog("p", clock)
    seen = []
    log.subscribe(events.CALL_REFUSED, seen.append)
    log.emit(events.MOVE_STARTED)
    for _ in range(3):
        for _ in range(5000):
            log.emit(events.CALL_REFUSED)
        clock.advance(1.0)
    kept = log.since(0)
    assert kept[0].name == "move.started"
    assert len(kept) == 1 + 3 * events.CALL_REFUSED.max_per_s
    assert [event.sequence for event in kept] == list(range(len(kept)))
    assert len(seen) == 15000
