"""Documents of the platform, decoded into this project's types."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind import errors
from trefoilwind.log import keyed
from trefoilwind.model import addresses
from trefoilwind.model import mesh
from trefoilwind.platform import documents

_CONFIGURATION = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout_s",
            "target_latency_s",
            "priority",
            "backends",
            "max_attempts",
            "service",
        ],
        "rows": [
            [
                "r-1",
                "Ficu.example",
                "/lohu/",
                "safe",
                0.8,
                0.4,
                2,
                [
                    {"service": "x", "weight": 90},
                    {"service": "y", "weight": 10},
                ],
                2,
                None,
            ],
            ["r-2", "f.e", "/pufi/", "upload", 1, 0.5, 1, None, 2, "x"],
        ],
    },
    "services": {
        "columns": ["name", "health_path", "max_conns", "protocol", "tls"],
        "rows": [["x", "/health", 110, "h1", False]],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "base_version": 5,
}
_HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "info": {"service": "x", "version": "v1", "zone": "tanta", "slots": 13},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 2.5},
    "born": 1700000000123,
}


def _decode(key: str, document) -> object:
    value = json.dumps(document).encode()
    record = keyed.KeyedRecord(key, value, 12)
    return documents.decode_operator_record(record)


def test_configuration_is_decoded():
    decoded = _decode("config", _CONFIGURATION)
    assert decoded.version == 7
    first, second = decoded.routes
    assert first.host == "ficu.example"
    assert first.is_idempotent
    assert first.destinations == (
        mesh.Destination("x", 90.0),
        mesh.Destination("y", 10.0),
    )
    assert not second.is_idempotent
    assert second.destinations == (mesh.Destination("x", 1.0),)
    assert (second.timeout_s, second.target_s, second.rank) == (1.0, 0.5, 1)
    assert decoded.services == (mesh.ServicePolicy("x", 110),)
    assert decoded.limits.idle_timeout_s == 15.0


def test_rollout_order_id_is_the_offset():
    document = {"service": "x", "target_version": "v2", "duration_s": 12}
    assert _decode("rollout/x", document) == mesh.RolloutOrder(
        12, "x", "v2", 12.0
    )


def test_records_with_other_keys_or_no_value_are_ignored():
    assert _decode("other", {}) is None
    deleted = keyed.KeyedRecord("config", b"", 3)
    assert documents.decode_operator_record(deleted) is None


@pytest.mark.parametrize("missing", ["version", "routes", "services"])
def test_incomplete_configuration_is_rejected_as_a_whole(missing: str):
    document = {k: v for k, v in _CONFIGURATION.items() if k != missing}
    assert isinstance(_decode("config", document), errors.RecordError)


def test_rollout_status_is_encoded():
    status = mesh.RolloutStatus("x", "v2", mesh.RolloutState.UNDONE)
    record = documents.encode_rollout_status(status)
    assert record.key == "rollout/x"
    assert json.loads(record.value) == {
        "state": "rolled_back",
        "target_version": "v2",
    }


def test_heartbeat_is_decoded():
    body = json.dumps(_HEARTBEAT).encode()
    assert documents.decode_heartbeat("i-1", body) == mesh.BackendServer(
        "i-1",
        "x",
        "v1",
        addresses.Address("10.128.0.9", 8080),
        13,
        False,
        1700000000123,
        4,
        2.5,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"address": "nowhere"},
        {"address": 5},
        {"born": 1.5},
        {"born": "1"},
        {"info": {}},
        {"info": _HEARTBEAT["info"] | {"slots": 0}},
        {"info": _HEARTBEAT["info"] | {"service": None}},
        {"status": []},
        {"status": _HEARTBEAT["status"] | {"state": "asleep"}},
        {"status": _HEARTBEAT["status"] | {"seq": True}},
    ],
)
def test_malformed_heartbeat_is_rejected(change: dict):
    body = json.dumps(_HEARTBEAT | change).encode()
    decoded = documents.decode_heartbeat("i-1", body)
    assert isinstance(decoded, errors.RecordError)


@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_decoded_or_rejected(body: bytes):
    decoded = documents.decode_heartbeat("i-1", body)
    assert isinstance(decoded, errors.RecordError)
    record = keyed.KeyedRecord("config", body, 0)
    assert not isinstance(
        documents.decode_operator_record(record), mesh.MeshConfiguration
    )


def _rows(count: int, priority: object) -> bytes:
    """Return a configuration whose last route has the given priority."""
    first = _CONFIGURATION["routes"]["rows"][1]
    rows = [[f"r-{n}", "f.e", f"/{n}/", *first[3:]] for n in range(count)]
    rows[-1][6] = priority
    table = _CONFIGURATION["routes"] | {"rows": rows}
    return json.dumps(_CONFIGURATION | {"routes": table}).encode()


def test_change_does_not_decode_all_routes_again():
    cache = documents.RouteCache()

    def decode(value: bytes) -> object:
        record = keyed.KeyedRecord("config", value, 12)
        return documents.decode_operator_record(record, cache)

    first = decode(_rows(9, 1)).routes
    second = decode(_rows(9, 2)).routes
    assert all(a is b for a, b in zip(first[:-1], second[:-1], strict=True))
    assert second[-1].rank == 2
    # Equal to 1 for Python, but malformed.
    assert isinstance(decode(_rows(9, True)), errors.RecordError)
    assert decode(_rows(9, 1)).routes == first
