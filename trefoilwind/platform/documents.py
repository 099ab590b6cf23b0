"""JSON documents of the platform, decoded once into the product's types."""

import json
from typing import Any

from trefoilwind import errors
from trefoilwind.log import keyed
from trefoilwind.model import addresses
from trefoilwind.model import mesh
from trefoilwind.platform import settings as settings_lib
from trefoilwind.routing import host_routes

CONFIGURATION_KEY = "config"
ROLLOUT_KEY = "rollout/"
_STEP = "platform.decode"
# The only kind of calls that may run more than once.
_IDEMPOTENT_KIND = "safe"
_LEAVING_STATE = "draining"
_STATES = frozenset({"ready", _LEAVING_STATE})

_STATE_NAMES = {
    mesh.RolloutState.RUNNING: "running",
    mesh.RolloutState.DONE: "completed",
    mesh.RolloutState.UNDONE: "rolled_back",
}

# What a malformed document of another writer may raise when it is read.
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError, IndexError)


def decode_operator_record(
    record: keyed.KeyedRecord,
) -> mesh.MeshConfiguration | mesh.RolloutOrder | errors.RecordError | None:
    """Return what a record of the operator says; never raises."""
    if not record.value:
        return None
    try:
        if record.key == CONFIGURATION_KEY:
            return _configuration(json.loads(record.value))
        if record.key.startswith(ROLLOUT_KEY):
            return _order(json.loads(record.value), record.offset)
    except _MALFORMED as error:
        return errors.RecordError(
            errors.Reason.UNDECODABLE,
            _STEP,
            record.key,
            f"{type(error).__name__}: {error}",
        )
    return None


def _rows(table: Any) -> list[dict[str, Any]]:
    """Return the rows of a table of columns; null means left out."""
    columns = table["columns"]
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table["rows"]
    ]


def _configuration(plain: Any) -> mesh.MeshConfiguration:
    version = _whole(plain["version"])
    limits = plain.get("limits") or {}
    default = mesh.CallerLimits()
    return mesh.MeshConfiguration(
        version=version,
        routes=tuple(_route(row) for row in _rows(plain["routes"])),
        services=tuple(
            mesh.ServicePolicy(
                _text(row["name"]), _whole(row.get("max_conns", 0))
            )
            for row in _rows(plain["services"])
        ),
        limits=mesh.CallerLimits(
            max_header_bytes=_whole(
                limits.get("max_header_bytes", default.max_header_bytes)
            ),
            max_body_bytes=_whole(
                limits.get("max_body_bytes", default.max_body_bytes)
            ),
            header_timeout_s=_number(
                limits.get("header_timeout_s", default.header_timeout_s)
            ),
            idle_timeout_s=_number(
                limits.get("idle_timeout_s", default.idle_timeout_s)
            ),
        ),
    )


def _route(row: dict[str, Any]) -> mesh.HostRoute:
    if "backends" in row:
        destinations = tuple(
            mesh.Destination(_text(each["service"]), _number(each["weight"]))
            for each in row["backends"]
        )
    else:
        destinations = (mesh.Destination(_text(row["service"]), 1.0),)
    if not sum(each.weight for each in destinations) > 0:
        raise ValueError("weights add up to nothing")
    return mesh.HostRoute(
        name=_text(row["name"]),
        host=host_routes.normalize_host(_text(row["host"])),
        path_prefix=_text(row["path_prefix"]),
        is_idempotent=_text(row["kind"]) == _IDEMPOTENT_KIND,
        timeout_s=_number(row["timeout_s"]),
        target_s=_number(row["target_latency_s"]),
        rank=_whole(row.get("priority", 0)),
        destinations=destinations,
        max_attempts=max(1, _whole(row.get("max_attempts", 1))),
    )


def _order(plain: Any, offset: int) -> mesh.RolloutOrder:
    return mesh.RolloutOrder(
        order_id=offset,
        service=_text(plain["service"]),
        version=_text(plain["target_version"]),
        duration_s=_number(plain["duration_s"]),
    )


def encode_rollout_status(status: mesh.RolloutStatus) -> keyed.KeyedRecord:
    """Return the record that reports a rollout; it has no offset yet."""
    value = json.dumps(
        {
            "state": _STATE_NAMES[status.state],
            "target_version": status.version,
        }
    )
    return keyed.KeyedRecord(ROLLOUT_KEY + status.service, value.encode(), -1)


def decode_heartbeat(
    instance_id: str, body: bytes
) -> mesh.BackendServer | errors.RecordError:
    """Return what a backend server says of itself; never raises."""
    try:
        return _backend_server(instance_id, json.loads(body))
    except _MALFORMED as error:
        return errors.RecordError(
            errors.Reason.UNDECODABLE,
            _STEP,
            instance_id,
            f"{type(error).__name__}: {error}",
        )


def _backend_server(instance_id: str, plain: Any) -> mesh.BackendServer:
    info = plain["info"]
    status = plain["status"]
    state = _text(status["state"])
    if state not in _STATES:
        raise ValueError("unknown state")
    address = settings_lib.address(_text(plain["address"]))
    if address is None or not instance_id:
        raise ValueError("no address")
    slots = _whole(info["slots"])
    if slots <= 0:
        raise ValueError("no slots")
    return mesh.BackendServer(
        instance_id=instance_id,
        service=_text(info["service"]),
        version=_text(info["version"]),
        address=addresses.Address(address.host, address.port),
        slots=slots,
        is_leaving=state == _LEAVING_STATE,
        started_ms=_whole(plain.get("born", 0)),
        sequence=_whole(status["seq"]),
        cold_s=_number(status.get("cold_left_s", 0)),
    )


def _text(value: Any) -> str:
    if type(value) is not str or not value:
        raise TypeError("text expected")
    return value


def _whole(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError("whole number expected")
    return value


def _number(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise TypeError("number expected")
    return float(value)
