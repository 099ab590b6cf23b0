from tests.test_admin import fakes
from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.admin import metrics
from trefoilwind.admin import observations
from trefoilwind.admin import views
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import calls


def _observation(node_id="b", **changes) -> calls.Observation:
    fields = {
        "move_id": "",
        "service": "catalogue",
        "half": "",
        "path_prefix": "/",
        "class_name": "lookup",
        "version": "v1",
        "node_id": node_id,
        "latency_s": 0.01,
        "failed": False,
    }
    return calls.Observation(**{**fields, **changes})


def _node() -> fakes.FakeNode:
    node = fakes.FakeNode()
    node.publish_state(
        state_lib.State(version=3, configuration=fakes.configuration())
    )
    publish = node.environment.blackboard.members.claim("test")
    publish(
        directory.snapshot(
            members.Member(name, 1, 1, data_centre, addresses.Address())
            for name, data_centre in (("n", "perth-a"), ("s", "pilbara-a"))
        )
    )
    return node


def test_classes_are_summed_by_half():
    node = _node()
    for observation in (
        _observation("n"),
        _observation("n", latency_s=0.9),
        _observation("s", failed=True),
        _observation("s", failed=True, shed=True),
    ):
        observations.count(node.environment, observation)
    found = {
        (c.class_name, c.half): (c.calls, c.failed, c.in_time)
        for c in views.status(node.environment).classes
    }
    assert found["lookup", "north"] == (2, 0, 1)
    assert found["lookup", "south"] == (1, 1, 0)
    assert found["order", "north"] == (0, 0, 0)


def test_window_drops_old_attempts_and_stays_bounded():
    node = _node()
    for _ in range(50):
        observations.count(node.environment, _observation("n"))
        node.clock.advance(30.0)
    recent = node.environment.metrics.recent_attempts()
    assert recent["lookup", "n"].calls <= 2
    node.clock.advance(120.0)
    assert node.environment.metrics.recent_attempts() == {}


def test_number_of_counted_moves_is_bounded():
    counted = metrics.Metrics(clock_lib.VirtualClock())
    for number in range(3 * metrics.MAX_MOVES):
        seen = _observation(move_id=f"m{number}", version="v2")
        counted.attempt_ended(seen, True)
    assert counted.move_attempts("m0") == {}
    last = counted.move_attempts(f"m{3 * metrics.MAX_MOVES - 1}")
    assert last["/", "v2"].calls == 1


def test_text_format():
    node = _node()
    observations.count(node.environment, _observation("n", latency_s=0.002))
    observations.count(
        node.environment, _observation("n", class_name='a"\\b\nc')
    )
    node.environment.metrics.call_refused(
        errors.CallError(errors.Reason.OVERLOADED, "x", not_run=True)
    )
    node.environment.metrics.control_sent(10)
    node.environment.events.emit(events.PEER_CONNECTED)
    node.environment.events.emit(events.LOG_UNAVAILABLE)
    answer = node.request("GET", "/metrics")
    lines = answer.data.decode().splitlines()
    prefix = "trefoilwind_"
    for line in (
        'attempts_total{class="lookup",result="answered"} 1',
        'attempts_total{class="a\\"\\\\b\\nc",result="answered"} 1',
        'refusals_total{reason="overloaded",result="not-run"} 1',
        'control_bytes_total{direction="sent"} 10',
        "configuration_version 3",
        "members 2",
        "peer_streams 1",
        "log_available 0",
        'attempt_latency_seconds_bucket{class="lookup",le="0.001"} 0.0',
        'attempt_latency_seconds_bucket{class="lookup",le="0.0025"} 1.0',
        'attempt_latency_seconds_bucket{class="lookup",le="+Inf"} 1.0',
        'attempt_latency_seconds_count{class="lookup"} 1.0',
    ):
        assert prefix + line in lines
