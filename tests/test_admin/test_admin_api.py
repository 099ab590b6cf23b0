import json
import logging

import pytest

from tests.test_admin import fakes
from trefoilwind import codec
from trefoilwind import events
from trefoilwind.admin import documents
from trefoilwind.log import fold
from trefoilwind.model import lifecycle
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.node import messages

_OPERATOR_PATHS = (
    ("GET", "/v1/status"),
    ("GET", "/v1/events"),
    ("GET", "/v1/moves"),
    ("GET", "/v1/records/a/b"),
    ("GET", "/metrics"),
    ("POST", "/v1/publications"),
    ("POST", "/v1/moves"),
)


def _publication(record_id: str, base: int) -> bytes:
    plain = documents.to_plain(fakes.configuration())
    return json.dumps(
        {"record_id": record_id, "base_version": base, "configuration": plain}
    ).encode()


def _move(**changes) -> bytes:
    body = {"record_id": "m", "service": "catalogue", "version": "v2"}
    return json.dumps({**body, "deadline": 9e6, **changes}).encode()


def _fold_appends(node: fakes.FakeNode) -> None:
    """Fold the records that the log actor received, in the order of the log."""
    state = node.environment.blackboard.state.value
    for append in node.log_actor.received:
        offset = state.next_offset
        folded = fold.fold(state, offset, append.payload)
        node.environment.record_results.add(append.payload, offset, folded)
        state = folded.state
    node.log_actor.received.clear()
    node.publish_state(state)


@pytest.mark.parametrize(("method", "path"), _OPERATOR_PATHS)
@pytest.mark.parametrize(
    "authorization",
    ["", "Bearer", "Bearer ", "Bearer wrong", "Bearer the-token ", "b\xe9"],
)
def test_operators_need_the_token(method, path, authorization):
    node = fakes.FakeNode()
    answer = node.request(method, path, authorization=authorization)
    assert answer.status == 401
    assert answer.plain["reason"] == "unauthorized"
    assert node.log_actor.received == []


def test_empty_token_refuses_operators():
    node = fakes.FakeNode(token="")
    for given in ("Bearer ", "Bearer", ""):
        answer = node.request("GET", "/v1/status", authorization=given)
        assert answer.status == 401


@pytest.mark.parametrize(
    ("peer", "status"),
    [("127.0.0.1", 200), ("::1", 200), ("192.0.2.7", 403), ("", 403)],
)
def test_announcements_come_from_loopback_only(peer, status):
    node = fakes.FakeNode()
    body = b'{"service": "catalogue", "version": "v1", "port": 80}'
    answer = node.request("POST", "/v1/announcement", body, REMOTE_ADDR=peer)
    assert answer.status == status
    assert len(node.control.received) == (1 if status == 200 else 0)


@pytest.mark.parametrize(
    "changes",
    [
        {"port": 0},
        {"port": 65536},
        {"slots": 0},
        {"slots": 10**9},
        {"host": "backend.example"},
        {"service": ""},
        {"service": "a/b"},
        {"labels": [{"key": "", "value": "x"}]},
        {"colour": "red"},
    ],
)
def test_wrong_announcements_have_no_effect(changes):
    node = fakes.FakeNode()
    right = {"service": "catalogue", "version": "v1", "port": 80}
    body = json.dumps({**right, **changes}).encode()
    assert node.request("POST", "/v1/announcement", body).status == 400
    assert node.control.received == []


def test_wrong_method_returns_the_allowed_methods():
    node = fakes.FakeNode()
    answer = node.request("PUT", "/v1/announcement")
    assert answer.status == 405
    assert answer.headers["Allow"] == "POST, DELETE"
    assert node.request("GET", "/v1/nothing").status == 404
    assert node.request("DELETE", "/v1/status").status == 405


def test_bodies_are_limited():
    node = fakes.FakeNode()

    def status_of(**environ: str) -> int:
        return node.request("POST", "/v1/publications", **environ).status

    assert status_of(CONTENT_LENGTH=str(5 * 1024 * 1024)) == 413
    assert status_of(CONTENT_LENGTH="-1") == 411
    assert status_of(CONTENT_LENGTH="²") == 411
    assert status_of(HTTP_TRANSFER_ENCODING="chunked") == 411


def test_internal_error_gives_no_traceback(monkeypatch, caplog):
    node = fakes.FakeNode()
    monkeypatch.setattr(node.environment, "blackboard", None)
    with caplog.at_level(logging.INFO):
        answer = node.request("GET", "/v1/status")
    assert answer.status == 500
    assert answer.plain["reason"] == "internal"
    assert "Traceback" not in caplog.text
    assert "AttributeError" in caplog.text


def test_result_of_a_publication():
    node = fakes.FakeNode()
    body = _publication("p/1", -1)
    assert node.request("GET", "/v1/records/p/1").plain["progress"] == "pending"
    assert node.request("POST", "/v1/publications", body).status == 200
    _fold_appends(node)
    found = node.request("GET", "/v1/records/p/1").plain
    assert (found["progress"], found["offset"]) == ("accepted", 0)


def test_repeat_after_a_lost_answer_appends_nothing():
    node = fakes.FakeNode()
    body = _publication("p/1", -1)
    node.request("POST", "/v1/publications", body)
    _fold_appends(node)
    assert node.request("POST", "/v1/publications", body).status == 200
    assert node.log_actor.received == []


def test_second_of_two_concurrent_publications_is_rejected_as_stale():
    node = fakes.FakeNode()
    for record_id in ("p/1", "p/2"):
        body = _publication(record_id, -1)
        assert node.request("POST", "/v1/publications", body).status == 200
    _fold_appends(node)
    lost = node.request("GET", "/v1/records/p/2").plain
    assert (lost["progress"], lost["reason"]) == ("rejected", "stale-base")
    assert lost["detail"] == "based on -1, current is 0"
    late = node.request("POST", "/v1/publications", _publication("p/3", -1))
    assert late.status == 409
    assert late.plain["detail"] == "based on -1, current is 0"


def test_repeated_record_keeps_its_first_result():
    node = fakes.FakeNode()
    node.request("POST", "/v1/publications", _publication("p/1", -1))
    node.log_actor.received *= 2
    _fold_appends(node)
    found = node.request("GET", "/v1/records/p/1").plain
    assert found["progress"] == "accepted"


def test_record_folded_elsewhere_is_not_pending():
    node = fakes.FakeNode()
    node.publish_state(state_lib.State(recent_ids=("p/1",)))
    assert node.request("GET", "/v1/records/p/1").plain["progress"] == "folded"


def test_moves_are_checked_and_repeated_safely():
    node = fakes.FakeNode()
    node.request("POST", "/v1/publications", _publication("p", -1))
    _fold_appends(node)
    assert node.request("POST", "/v1/moves", _move(service="x")).status == 400
    assert node.request("POST", "/v1/moves", _move(version="")).status == 400
    assert node.request("POST", "/v1/moves", _move(deadline=1.0)).status == 400
    assert node.request("POST", "/v1/moves", _move()).status == 200
    _fold_appends(node)
    assert node.request("POST", "/v1/moves", _move()).status == 200
    other = node.request("POST", "/v1/moves", _move(record_id="n"))
    assert (other.status, other.plain["reason"]) == (409, "move-open")
    assert node.log_actor.received == []


def test_draining_node_accepts_no_publication():
    node = fakes.FakeNode()
    publish = node.environment.blackboard.lifecycle.claim("test")
    publish(lifecycle.Lifecycle(True, 1.0))
    body = _publication("p", -1)
    answer = node.request("POST", "/v1/publications", body)
    assert (answer.status, answer.plain["reason"]) == (503, "draining")
    assert node.request("GET", "/v1/health").status == 503


def test_health_needs_no_token():
    node = fakes.FakeNode()
    answer = node.request("GET", "/v1/health", authorization="")
    assert (answer.status, answer.plain["serving"]) == (503, False)
    node.publish_state(state_lib.State(version=4))
    answer = node.request("GET", "/v1/health", authorization="")
    assert (answer.status, answer.plain["serving"]) == (200, True)


def test_records_carry_the_writers_hybrid_time():
    writer = fakes.FakeNode()
    writer.clock.advance(300.0)
    sent = writer.environment.events.emit(events.NODE_STARTED)
    writer.request("POST", "/v1/publications", _publication("p", -1))
    (append,) = writer.log_actor.received
    record = codec.decode(append.payload, "test")
    assert isinstance(record, records.Record)
    reader = fakes.FakeNode()
    reader.log_actor.received.append(messages.Append("p", append.payload))
    _fold_appends(reader)
    caused = reader.environment.events.emit(events.CONFIGURATION_APPLIED)
    assert caused.stamp > sent.stamp


@pytest.mark.parametrize("since", ["-1", "x", "²", "9" * 5000, ""])
def test_wrong_position_of_events(since):
    answer = fakes.FakeNode().request("GET", f"/v1/events?since={since}")
    assert answer.status in (200, 400)


def test_events_from_a_position_on():
    node = fakes.FakeNode()
    for _ in range(3):
        node.environment.events.emit(events.NODE_STARTED)
    answer = node.request("GET", "/v1/events?since=2")
    assert [event["sequence"] for event in answer.plain] == [2]
