"""Fuzz tests of JSON files, request bodies and answers."""

import dataclasses
import json

import hypothesis
from hypothesis import strategies
import pytest

from tests.test_admin import fakes
from tests.test_fuzz import values
from trefoilwind import codec
from trefoilwind import errors
from trefoilwind import events
from trefoilwind import settings as settings_lib
from trefoilwind.admin import announcements
from trefoilwind.admin import client
from trefoilwind.admin import documents
from trefoilwind.admin import record_results
from trefoilwind.admin import timeline
from trefoilwind.admin import views
from trefoilwind.log import validation
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import records
from trefoilwind.node import messages

_CLASSES = (
    settings_lib.NodeSettings,
    configuration_lib.Configuration,
    messages.Announcement,
    views.PublicationRequest,
    views.MoveSubmission,
)
_NODE = {
    "node_id": "n",
    "data_centre": "d",
    "region": "r",
    "log": {"url": "http://127.0.0.1:1"},
}
_VALID = {
    settings_lib.NodeSettings: _NODE,
    configuration_lib.Configuration: documents.to_plain(fakes.configuration()),
    messages.Announcement: {"service": "s", "version": "v", "port": 1},
    views.PublicationRequest: {
        "record_id": "r",
        "base_version": -1,
        "configuration": documents.to_plain(fakes.configuration()),
    },
    views.MoveSubmission: {
        "record_id": "r",
        "service": "catalogue",
        "version": "v2",
        "deadline": 9e6,
    },
}


def _paths(plain, prefix=()):
    yield prefix
    items = plain.items() if isinstance(plain, dict) else ()
    if isinstance(plain, list):
        items = enumerate(plain)
    for key, value in items:
        yield from _paths(value, (*prefix, key))


def _replaced(plain, path, value):
    if not path:
        return value
    copy = plain.copy()
    copy[path[0]] = _replaced(plain[path[0]], path[1:], value)
    return copy


@strategies.composite
def _texts(draw, cls):
    """Draw valid documents with a changed value, corrupted ones or any text."""
    plain = _VALID[cls]
    path = draw(strategies.sampled_from(list(_paths(plain))))
    changed = _replaced(plain, path, draw(values.JSON))
    text = json.dumps(changed)
    if draw(strategies.booleans()):
        return text
    valid = strategies.just(text.encode())
    return draw(
        strategies.text(max_size=40)
        | values.corrupted(valid).map(lambda b: b.decode("utf-8", "replace"))
    )


@pytest.mark.parametrize("cls", _CLASSES, ids=lambda c: c.__name__)
@hypothesis.given(strategies.data())
def test_fuzz_settings(cls, data):
    text = data.draw(_texts(cls))
    result = settings_lib.parse(text, cls, "file")
    if isinstance(result, errors.SettingsError):
        assert result.peer == "file"
        assert str(result).startswith("file:")
        return
    assert type(result) is cls
    configuration = getattr(result, "configuration", result)
    if isinstance(configuration, configuration_lib.Configuration):
        _check_configuration(configuration)


def _check_configuration(configuration):
    if validation.validate(configuration):
        return
    body = records.Publication(0, configuration)
    record = codec.decode(records.encode("r", "w", body), "t")
    assert codec.decode(record.body, "t") == body


@hypothesis.given(
    strategies.sampled_from(["GET", "POST", "DELETE", "PUT", "\x00"]),
    strategies.sampled_from(
        [
            "/v1/status",
            "/v1/events",
            "/v1/moves",
            "/v1/publications",
            "/v1/announcement",
            "/v1/records/",
            "/v1/health",
            "/metrics",
            "",
        ]
    ),
    strategies.text(strategies.characters(max_codepoint=255), max_size=8),
    strategies.text(max_size=16),
    strategies.binary(max_size=48),
    strategies.sampled_from(
        [f"Bearer {fakes.TOKEN}", "", "Bearer é", "\udcff"]
    ),
    strategies.sampled_from(["", "-1", "5", "99999999999999999999", "x"]),
)
def test_fuzz_admin_request(method, path, rest, query, body, token, length):
    node = fakes.FakeNode()
    answer = node.request(
        method,
        path + rest,
        body,
        token,
        QUERY_STRING=query,
        CONTENT_LENGTH=length or str(len(body)),
    )
    assert answer.status in (200, 400, 401, 403, 404, 405, 411, 413, 503)
    assert answer.headers["Content-Length"] == str(len(answer.data))
    if answer.status != 200:
        assert node.log_actor.received == []
        assert node.control.received == []


@pytest.mark.parametrize("path", ["publications", "moves", "announcement"])
@hypothesis.given(strategies.data())
def test_fuzz_admin_body(path, data):
    cls = {
        "publications": views.PublicationRequest,
        "moves": views.MoveSubmission,
        "announcement": messages.Announcement,
    }[path]
    node = fakes.FakeNode()
    body = data.draw(_texts(cls)).encode("utf-8", "surrogatepass")
    answer = node.request("POST", f"/v1/{path}", body)
    assert answer.status in (200, 400)
    received = node.log_actor.received + node.control.received
    assert len(received) == (1 if answer.status == 200 else 0)


@hypothesis.given(strategies.data())
def test_fuzz_announcement(data):
    result = announcements.parse(data.draw(_texts(messages.Announcement)))
    if not isinstance(result, errors.Error):
        assert 0 < result.port <= 65535
        assert result.service


@hypothesis.given(
    strategies.integers(100, 599),
    strategies.binary(max_size=40)
    | values.JSON.map(json.dumps).map(str.encode),
    strategies.sampled_from(
        [
            None,
            views.Status,
            tuple[events.Event, ...],
            record_results.RecordResult,
        ]
    ),
)
def test_fuzz_admin_answer(status, data, cls):
    reader = client.AdminClient("http://127.0.0.1:1", "")
    result = reader.read_answer(status, data, cls)
    if status != 200:
        assert isinstance(result, errors.AdminError)


@hypothesis.given(
    strategies.binary(max_size=60)
    | values.corrupted(
        strategies.just(
            timeline.json_line(
                events.Event(events.Stamp(1, 2), "p", 3, "n", detail="d")
            ).encode()
        )
    )
)
def test_fuzz_timeline_file(data):
    result = timeline.parse_lines(data, "file")
    if isinstance(result, errors.Error):
        assert result.line
        return
    merged = timeline.merge([result])
    assert all(timeline.line(event) for event in merged)
    assert timeline.page(merged, "t")


def test_fuzz_classes_have_a_valid_document():
    for cls in _CLASSES:
        text = json.dumps(_VALID[cls])
        result = settings_lib.parse(text, cls, "file")
        assert dataclasses.is_dataclass(result)
        assert type(result) is cls
